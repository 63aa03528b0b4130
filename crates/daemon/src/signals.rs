//! Signals that end the process gracefully.

use std::{io, thread};

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use tokio::sync::oneshot;

/// A receiver that resolves at the first SIGTERM or SIGINT.
pub fn listen() -> io::Result<oneshot::Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (tx, rx) = oneshot::channel();
    thread::Builder::new().name("signals".into()).spawn(move || {
        if signals.forever().next().is_some() {
            let _ = tx.send(());
        }
    })?;
    Ok(rx)
}
