//! Signals: SIGTERM and SIGINT end the process gracefully, SIGHUP says that the settings changed.

use std::{io, thread};

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use tokio::sync::{mpsc, oneshot};

/// What the process is told by signals.
pub struct Told {
    /// Resolves at the first SIGTERM or SIGINT.
    pub stop: oneshot::Receiver<()>,
    /// Yields at each SIGHUP.
    pub reload: mpsc::UnboundedReceiver<()>,
}

/// Listens to signals on a thread of its own.
pub fn listen() -> io::Result<Told> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (stop_tx, stop) = oneshot::channel();
    let (reload_tx, reload) = mpsc::unbounded_channel();
    thread::Builder::new().name("signals".into()).spawn(move || {
        for signal in signals.forever() {
            if signal != SIGHUP {
                let _ = stop_tx.send(());
                return;
            }
            let _ = reload_tx.send(());
        }
    })?;
    Ok(Told { stop, reload })
}
