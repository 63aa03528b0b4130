//! Logs when a service that this process depends on stops answering, and when it answers again.

use std::{cell::Cell, fmt::Display};

use monoio::time::Instant;

/// The availability of a service that this process calls periodically.
pub struct Dependency {
    name: &'static str,
    lost: Cell<Option<Instant>>,
}

impl Dependency {
    /// Creates the record of a service that is assumed available.
    pub fn new(name: &'static str) -> Self {
        Self { name, lost: Cell::default() }
    }

    /// Records that the service answered a call.
    pub fn answered(&self) {
        if let Some(lost) = self.lost.take() {
            let lost_ms = lost.elapsed().as_millis() as u64;
            tracing::info!(event = "dependency-regained", dependency = self.name, lost_ms);
        }
    }

    /// Records a failed call; `why` is the error to log.
    pub fn failed(&self, why: &dyn Display) {
        if self.lost.get().is_none() {
            self.lost.set(Some(Instant::now()));
            tracing::warn!(event = "dependency-lost", dependency = self.name, error = %why);
        }
    }
}
