//! The command line.

use std::net::SocketAddr;

use argh::FromArgs;

/// Stand-ins for tests: each prints a line 'NAME ADDRESS' for every port that it listens on.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// which stand-in to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The stand-ins.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// The platform.
    Platform(PlatformArgs),
    /// Backend servers.
    Backends(BackendArgs),
    /// Workers.
    Workers(WorkerArgs),
    /// The TCP proxy.
    Proxy(ProxyArgs),
}

/// Run the platform's table service, object store and host list.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArgs {
    /// where to listen; port 0 takes a free port
    #[argh(option)]
    pub listen: SocketAddr,
}

/// Run backend servers in one process, each on a port of its own.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "backends")]
pub struct BackendArgs {
    /// the address whose free ports are taken
    #[argh(option)]
    pub listen: SocketAddr,
    /// how many backend servers
    #[argh(option, default = "10")]
    pub count: usize,
    /// requests that each runs at once
    #[argh(option, default = "8")]
    pub slots: u32,
    /// how long a request runs unless it says otherwise, in milliseconds
    #[argh(option, default = "20")]
    pub work_ms: u64,
}

/// Run the task agents of workers in one process, each on a port of its own.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "workers")]
pub struct WorkerArgs {
    /// the address whose free ports are taken
    #[argh(option)]
    pub listen: SocketAddr,
    /// how many workers
    #[argh(option, default = "10")]
    pub count: usize,
    /// the lag of their usage figures, in milliseconds
    #[argh(option, default = "1000")]
    pub usage_lag_ms: u64,
}

/// Run a TCP proxy whose routes are made and broken through its admin port.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "proxy")]
pub struct ProxyArgs {
    /// where the admin port listens
    #[argh(option)]
    pub listen: SocketAddr,
}
