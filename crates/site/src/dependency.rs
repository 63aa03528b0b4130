//! Tells when something that this process depends on is lost, and when it is back.

use std::{cell::Cell, fmt::Display};

use monoio::time::Instant;

/// A service that this process asks again and again.
pub struct Dependency {
    name: &'static str,
    lost: Cell<Option<Instant>>,
}

impl Dependency {
    /// A service that is taken to be there.
    pub fn new(name: &'static str) -> Self {
        Self { name, lost: Cell::default() }
    }

    /// It has answered.
    pub fn answered(&self) {
        if let Some(lost) = self.lost.take() {
            let lost_ms = lost.elapsed().as_millis() as u64;
            tracing::info!(event = "dependency-regained", dependency = self.name, lost_ms);
        }
    }

    /// It has not answered.
    pub fn failed(&self, why: &dyn Display) {
        if self.lost.get().is_none() {
            self.lost.set(Some(Instant::now()));
            tracing::warn!(event = "dependency-lost", dependency = self.name, error = %why);
        }
    }
}
