//! What tests tell the stand-ins, as JSON.

use std::net::SocketAddr;

use fuchsiamill_ports::Liveness;
use serde::{Deserialize, Serialize};

/// How the platform misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum PlatformFault {
    /// Not at all.
    #[default]
    None,
    /// It refuses every call with 503; nothing takes effect.
    Down,
    /// It answers no call and nothing takes effect.
    Silent,
    /// It answers after a delay.
    Slow {
        /// The delay in milliseconds.
        ms: u64,
    },
    /// The next commits take effect and their answers are lost.
    LoseAnswers {
        /// How many.
        count: u32,
    },
}

/// How a backend server behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "kebab-case")]
pub enum BackendMode {
    /// It serves.
    #[default]
    Serving,
    /// It finishes what it runs, says so in its answers and probes, and refuses new work.
    Draining,
    /// It runs the work and answers later than asked.
    Late {
        /// The extra delay in milliseconds.
        ms: u64,
    },
    /// It runs the work and cuts the answer short.
    Cut,
    /// It fails everything it starts.
    Failing,
    /// It refuses everything before it runs anything.
    Refusing,
    /// It reads requests and begins none of them until it has another mode.
    Holding,
}

/// Sets the mode of one backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SetMode {
    /// The server's name.
    pub server: String,
    /// Its new mode.
    pub mode: BackendMode,
}

/// Sets what the host list says of a host, after a lag.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SetLiveness {
    /// The host.
    pub host: String,
    /// What the list says from then on.
    pub liveness: Liveness,
    /// The lag in milliseconds.
    pub lag_ms: u64,
}

/// How a host restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "kebab-case")]
pub enum RestartMode {
    /// It is back after a time.
    Back {
        /// The time in milliseconds.
        ms: u64,
    },
    /// It never comes back.
    Never,
}

impl Default for RestartMode {
    fn default() -> Self {
        RestartMode::Back { ms: 200 }
    }
}

/// Sets how a host restarts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SetRestart {
    /// The host.
    pub host: String,
    /// How it restarts from then on.
    pub mode: RestartMode,
}

/// A route of the proxy.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Route {
    /// Where it listens; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Where it connects to.
    pub to: SocketAddr,
}

/// What the proxy does to the bytes of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum RouteFault {
    /// Passes them on.
    #[default]
    None,
    /// Passes them on after a delay.
    Delay {
        /// The delay in milliseconds.
        ms: u64,
    },
    /// Passes on so much in a second, on each connection and each way.
    Narrow {
        /// The bytes a second.
        bytes_per_s: u32,
    },
    /// Closes every connection and takes no new one.
    Cut,
    /// Closes every connection and refuses new ones, as a cut does that resets connections.
    Refuse,
    /// Holds what flows from the client to the server until the fault is lifted.
    HoldForward,
    /// Holds what flows from the server to the client until the fault is lifted.
    HoldBack,
    /// Holds both ways until the fault is lifted.
    HoldBoth,
}

/// Sets the fault of one route.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SetRouteFault {
    /// Where the route listens.
    pub listen: SocketAddr,
    /// Its fault from then on.
    pub fault: RouteFault,
}
