//! Runs the stand-in that the command line names.

use std::{future::pending, io::Write, net::SocketAddr};

use anyhow::Result;
use monoio::{LegacyDriver, RuntimeBuilder};

use crate::{
    backend,
    cli::{Args, Command},
    platform, proxy, worker,
};

/// Runs until the process is ended.
pub fn run(args: Args) -> Result<()> {
    block_on(async move {
        match args.command {
            Command::Platform(args) => announce("platform", platform::start(args.listen)?),
            Command::Backends(args) => {
                let started = backend::start(&args.into())?;
                for (name, addr) in &started.servers {
                    announce(name, *addr);
                }
                announce("admin", started.admin);
            }
            Command::Workers(args) => {
                let started = worker::start(&args.into())?;
                for (name, addr) in &started.workers {
                    announce(name, *addr);
                }
                announce("admin", started.admin);
            }
            Command::Proxy(args) => announce("admin", proxy::start(args.listen)?),
        }
        pending().await
    })
}

/// Runs a future on a runtime with the epoll driver.
pub fn block_on<F: Future>(future: F) -> F::Output {
    let built = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    built.expect("the epoll driver is there").block_on(future)
}

fn announce(name: &str, addr: SocketAddr) {
    println!("{name} {addr}");
    let _ = std::io::stdout().flush();
}
