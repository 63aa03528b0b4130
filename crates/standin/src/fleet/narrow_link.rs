//! A link of little bandwidth.

use std::time::{Duration, Instant};

/// Added to each body for the head of the message and for the headers of its packets.
const HEAD_BYTES: usize = 250;

/// A link that calls pass one after another, whether their senders still wait for the answer or not.
#[derive(Debug)]
pub struct NarrowLink {
    bytes_per_s: f64,
    free: Instant,
}

impl NarrowLink {
    /// A link of this bandwidth.
    pub fn new(bytes_per_s: u32) -> Self {
        Self { bytes_per_s: bytes_per_s.into(), free: Instant::now() }
    }

    /// Queues a call; returns how long it is on its way.
    pub(super) fn pass(&mut self, body_bytes: usize) -> Duration {
        let now = Instant::now();
        let bytes = (HEAD_BYTES + body_bytes) as f64;
        self.free = self.free.max(now) + Duration::from_secs_f64(bytes / self.bytes_per_s);
        self.free - now
    }
}
