//! Entry hosts on threads of one process, for the quick start and for measurements.

use std::{fs, rc::Rc, sync::mpsc, thread};

use anyhow::{Context, Result};
use fuchsiamill_settings::Settings;
use tokio::sync::oneshot;

use crate::{
    entry::{Addresses, Entry},
    run::block_on,
};

/// A running entry host on a thread of its own.
///
/// It runs as long as the process, or until it is killed.
pub struct EntryThread {
    addresses: Addresses,
    thread: Option<u32>,
    kill: oneshot::Sender<()>,
}

impl EntryThread {
    /// Starts an entry host and waits until it listens.
    pub fn start(settings: Settings) -> Result<Self> {
        let (tx, rx) = mpsc::channel();
        let (kill, killed) = oneshot::channel();
        thread::spawn(move || {
            let thread = thread_id();
            block_on(async move {
                let entry = Entry::start(Rc::new(settings)).await;
                let addresses = entry.as_ref().map(Entry::addresses);
                let _ = tx.send((thread, addresses.map_err(|e| format!("{e:#}"))));
                if entry.is_ok() && killed.await.is_err() {
                    std::future::pending::<()>().await;
                }
            });
        });
        let (thread, addresses) = rx.recv().context("The entry host's thread ended.")?;
        Ok(Self { addresses: addresses.map_err(anyhow::Error::msg)?, thread, kill })
    }

    /// Where it listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Its thread as the operating system names it, where that is known.
    pub fn thread(&self) -> Option<u32> {
        self.thread
    }

    /// Ends it at once, without a graceful shutdown.
    pub fn kill(self) {
        let _ = self.kill.send(());
    }
}

fn thread_id() -> Option<u32> {
    let link = fs::read_link("/proc/thread-self").ok()?;
    link.file_name()?.to_str()?.parse().ok()
}
