//! Divides the process's descriptors among the kinds of connections, so that no kind takes those of the others.

use rustix::process::{Resource, getrlimit};

/// Descriptors reserved for files.
const FILES: usize = 200;

/// The files' part of a small limit, as a divisor.
const FILES_DIVISOR: usize = 4;

/// The limit that is assumed where there is none.
const UNLIMITED: usize = 65_536;

/// The most connections of callers: each takes some kilobytes of memory.
const MAX_CALLERS: usize = 2_000;

/// The parts of the sockets that other kinds of connections take, as divisors. What is left is the callers'.
const CALLER_READS_DIVISOR: usize = 10;
const RELAYED_CALLS_DIVISOR: usize = 10;
const PEERS_DIVISOR: usize = 16;
const STATUS_DIVISOR: usize = 32;
const OWN_DIVISOR: usize = 8;

/// The bounds of connections to be refused with an answer, together, as a divisor.
const REFUSED_DIVISOR: usize = 48;

/// The least number of connections of each kind.
const MIN_CONNECTIONS: usize = 4;

/// The listeners for readiness and metrics.
const STATUS_LISTENERS: usize = 2;

/// The most connections of each kind. With those of the process's own calls they stay below the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Open connections of callers.
    pub callers: usize,
    /// Reads of the store for callers.
    pub caller_reads: usize,
    /// Calls to the store for other entry hosts.
    pub relayed_calls: usize,
    /// Open connections of other entry hosts.
    pub peers: usize,
    /// Open connections of each listener for readiness and metrics.
    pub status: usize,
    /// What is left for the process's own calls to the store, workers and other entry hosts. It is not enforced: their number
    /// follows from that of the workers and of the starts under way.
    pub own: usize,
}

impl Shares {
    /// Divides a limit of so many descriptors.
    pub fn of(limit: usize) -> Self {
        let sockets = limit - FILES.min(limit / FILES_DIVISOR);
        let share = |divisor: usize| (sockets / divisor).max(MIN_CONNECTIONS);
        let (caller_reads, relayed_calls) =
            (share(CALLER_READS_DIVISOR), share(RELAYED_CALLS_DIVISOR));
        let (peers, status, own) =
            (share(PEERS_DIVISOR), share(STATUS_DIVISOR), share(OWN_DIVISOR));
        let others = caller_reads
            + relayed_calls
            + peers
            + STATUS_LISTENERS * status
            + own
            + share(REFUSED_DIVISOR);
        let callers = sockets.saturating_sub(others).clamp(MIN_CONNECTIONS, MAX_CALLERS);
        Self { callers, caller_reads, relayed_calls, peers, status, own }
    }
}

/// Returns the process's limit of open descriptors.
pub fn limit() -> usize {
    getrlimit(Resource::Nofile).current.map_or(UNLIMITED, |it| it as usize)
}
