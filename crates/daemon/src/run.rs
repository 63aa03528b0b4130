//! Starts the daemon from its command line and runs it until it is told to stop.

use std::{path::PathBuf, rc::Rc, thread};

use anyhow::{Context, Result};
use fuchsiamill_settings::{Fleet, Settings};
use monoio::{LegacyDriver, RuntimeBuilder};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{cli::Args, entry::Entry, logging, signals};

/// Checks the settings, then serves until SIGTERM or SIGINT.
pub fn run(args: &Args) -> Result<()> {
    if let Some(settings) = Fleet::load(&args.config)? {
        return run_on_platform(args, &settings);
    }
    let settings = Settings::load(&args.config)?;
    if args.check {
        println!("The settings in {} are right.", args.config.display());
        return Ok(());
    }
    logging::start(settings.log_level)?;
    let told = signals::listen().context("The signals cannot be listened to.")?;
    block_on(async move {
        let entry = Entry::start(Rc::new(settings)).await?;
        let addresses = entry.addresses();
        log::info!("listening: caller {}, operator {}", addresses.caller, addresses.operator);
        log::info!("listening: peer {}, metrics {}", addresses.peer, addresses.metrics);
        let _ = told.stop.await;
        entry.stop().await;
        Ok(())
    })
}

/// Serves on a site's platform until SIGTERM or SIGINT.
fn run_on_platform(args: &Args, settings: &Fleet) -> Result<()> {
    if args.check {
        println!("The settings in {} are right.", args.config.display());
        return Ok(());
    }
    let guard = fuchsiamill_site::logging::start(settings.log_level);
    let told = signals::listen().context("The signals cannot be listened to.")?;
    let file = args.config.clone();
    block_on(async move {
        let entry = fuchsiamill_site::Entry::start(settings)?;
        tracing::info!(event = "started", name = %settings.name, callers = %settings.callers);
        monoio::spawn(check_on_reload(told.reload, file));
        let _ = told.stop.await;
        tracing::info!(event = "stopping", name = %settings.name);
        entry.stop().await;
        drop(guard);
        Ok(())
    })
}

/// Addresses and time limits hold for the life of a process: a changed file is checked and told of.
async fn check_on_reload(mut reload: UnboundedReceiver<()>, file: PathBuf) {
    while reload.recv().await.is_some() {
        match Fleet::load(&file) {
            Ok(_) => tracing::info!(event = "settings-checked", file = %file.display()),
            Err(e) => tracing::error!(event = "settings-refused", error = %e),
        }
    }
}

/// Runs a future to its end on a single-threaded runtime with the epoll driver.
pub fn block_on<F: Future>(future: F) -> F::Output {
    let built = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    built
        .unwrap_or_else(|e| panic!("no epoll on {:?}: {e}", thread::current().id()))
        .block_on(future)
}
