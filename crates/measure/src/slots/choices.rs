//! No agreement between entry hosts: each sends at once to a server that it picks by itself, and
//! again after a pause when that one is busy.

use fastrand::Rng;
use fuchsiamill_model::{FastMap, Millisecond, Slots};

use super::driver::{Driver, ENTRIES, SERVERS, Way};

const FIRST_PAUSE: Millisecond = 5;
const LONGEST_PAUSE: Millisecond = 160;

/// How an entry host picks a server.
#[derive(Clone, Copy, Debug)]
pub enum Pick {
    /// Of two at random the one that reported fewer slots in use.
    LessLoadedOfTwo,
    /// One after the other.
    InTurn,
}

/// Each entry host's picture of the servers.
pub struct Choices {
    pick: Pick,
    rng: Rng,
    reported: Vec<[Slots; SERVERS]>,
    next: [usize; ENTRIES],
    pauses: FastMap<usize, Millisecond>,
}

impl Choices {
    /// Entry hosts that know of no load yet.
    pub fn new(pick: Pick, seed: u64) -> Self {
        Self {
            pick,
            rng: Rng::with_seed(seed),
            reported: vec![[0; SERVERS]; ENTRIES],
            next: [0; ENTRIES],
            pauses: FastMap::default(),
        }
    }

    fn send(&mut self, cx: &mut Driver, request: usize) {
        if cx.is_overdue(request) {
            return cx.refuse(request);
        }
        let entry = cx.requests[request].entry;
        let server = match self.pick {
            Pick::LessLoadedOfTwo => {
                let (a, b) = (self.rng.usize(..SERVERS), self.rng.usize(..SERVERS));
                let reported = &self.reported[entry];
                if reported[a] <= reported[b] { a } else { b }
            }
            Pick::InTurn => {
                self.next[entry] = (self.next[entry] + 1) % SERVERS;
                self.next[entry]
            }
        };
        self.reported[entry][server] += 1;
        cx.send(request, server);
    }
}

impl Way for Choices {
    fn arrive(&mut self, cx: &mut Driver, request: usize) {
        self.send(cx, request);
    }

    fn answer(&mut self, cx: &mut Driver, request: usize, server: usize, in_use: Slots) {
        self.pauses.remove(&request);
        self.reported[cx.requests[request].entry][server] = in_use;
    }

    fn busy(&mut self, cx: &mut Driver, request: usize, server: usize, in_use: Slots) {
        self.reported[cx.requests[request].entry][server] = in_use;
        let longest = self.pauses.entry(request).or_insert(FIRST_PAUSE);
        let pause = self.rng.u64(1..=*longest);
        *longest = (*longest * 2).min(LONGEST_PAUSE);
        cx.pause(request, pause);
    }

    fn timer(&mut self, cx: &mut Driver, request: usize) {
        self.send(cx, request);
    }
}
