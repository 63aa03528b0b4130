//! Links of little bandwidth.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

use super::owners::Owners;

/// Added to each body for the head of the message and for the headers of its packets.
const HEAD_BYTES: usize = 250;

const POLL_PATH: &str = "/hold";

/// The links of the entry hosts to the workers, one for each process and all of one bandwidth. Calls pass a link one
/// after another, whether their senders still wait for the answer or not.
#[derive(Debug)]
pub struct NarrowLinks {
    bytes_per_s: f64,
    /// Whether polls, which are small, pass a link at once.
    polls_overtake: bool,
    /// When the link of each process is free again.
    free: HashMap<Option<u32>, Instant>,
    owners: Owners,
}

impl NarrowLinks {
    /// Links of this bandwidth.
    pub fn new(bytes_per_s: u32) -> Self {
        let (free, owners) = (HashMap::new(), Owners::start());
        Self { bytes_per_s: bytes_per_s.into(), polls_overtake: false, free, owners }
    }

    /// Links of this bandwidth where polls overtake the calls that wait.
    pub fn with_fast_polls(bytes_per_s: u32) -> Self {
        Self { polls_overtake: true, ..Self::new(bytes_per_s) }
    }

    /// Returns whether calls with this path wait for those before them.
    pub(super) fn holds(&self, path: &str) -> bool {
        !self.polls_overtake || path != POLL_PATH
    }

    /// Asks which process has the connection from `peer`; a connection that is closed already has none.
    pub(super) fn ask_owner(&self, peer: SocketAddr) -> oneshot::Receiver<Option<u32>> {
        self.owners.ask(peer)
    }

    /// Queues a call that arrived at `arrived` on the link of its sender; returns how long it is still on its way.
    pub(super) fn pass(
        &mut self,
        sender: Option<u32>,
        body_bytes: usize,
        arrived: Instant,
    ) -> Duration {
        let bytes = (HEAD_BYTES + body_bytes) as f64;
        let free = self.free.entry(sender).or_insert(arrived);
        *free = (*free).max(arrived) + Duration::from_secs_f64(bytes / self.bytes_per_s);
        free.saturating_duration_since(Instant::now())
    }
}
