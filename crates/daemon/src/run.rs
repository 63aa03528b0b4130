//! Starts the daemon from its command line and runs it until it is told to stop.

use std::{rc::Rc, thread};

use anyhow::{Context, Result};
use fuchsiamill_settings::Settings;
use monoio::{LegacyDriver, RuntimeBuilder};

use crate::{cli::Args, entry::Entry, logging, signals};

/// Checks the settings, then serves until SIGTERM or SIGINT.
pub fn run(args: &Args) -> Result<()> {
    let settings = Settings::load(&args.config)?;
    if args.check {
        println!("The settings in {} are right.", args.config.display());
        return Ok(());
    }
    logging::start(settings.log_level)?;
    let stop = signals::listen().context("The signals cannot be listened to.")?;
    block_on(async move {
        let entry = Entry::start(Rc::new(settings)).await?;
        let addresses = entry.addresses();
        log::info!("listening: caller {}, operator {}", addresses.caller, addresses.operator);
        log::info!("listening: peer {}, metrics {}", addresses.peer, addresses.metrics);
        let _ = stop.await;
        entry.stop().await;
        Ok(())
    })
}

/// Runs a future to its end on a single-threaded runtime with the epoll driver.
pub fn block_on<F: Future>(future: F) -> F::Output {
    let built = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    built
        .unwrap_or_else(|e| panic!("no epoll on {:?}: {e}", thread::current().id()))
        .block_on(future)
}
