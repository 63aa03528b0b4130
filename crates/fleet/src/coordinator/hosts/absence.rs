//! How long lists of hosts have lacked hosts of a wave.

use fuchsiamill_model::{
    FastMap, FastSet,
    units::{Millisecond, Moment},
};

use super::host::LOST_MS;
use crate::{HostState, Name, coordinator::Coordinator, worker::HostListing};

/// The most that the time between two lists counts, and the longest time with a failed list that counts. Lists of the largest
/// fleet take 4 s.
const MAX_GAP_MS: Millisecond = 5_000;

/// What a list shows of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shown {
    /// It is there.
    Present,
    /// A whole list has it as down, or lacks it.
    Away,
    /// It is down or missing, but not all entries could be read.
    Unknown,
}

/// For how long lists have shown a host to be away.
#[derive(Clone, Copy, Debug)]
struct Absence {
    /// When the last list that showed it was requested.
    last: Moment,
    /// Whether a later list failed or did not tell.
    is_interrupted: bool,
    /// The time between such lists.
    ms: Millisecond,
}

/// Hosts of a wave that are away, by lists that were requested after the wave was read. The time without such lists is no
/// evidence: the hosts may have joined meanwhile.
#[derive(Clone, Debug)]
pub(super) struct Absences {
    read: Moment,
    away: FastMap<Name, Absence>,
}

impl Absence {
    /// Counts the time until a list that shows it.
    fn extend(&mut self, asked: Moment) {
        let gap = asked.since(self.last);
        self.ms += match self.is_interrupted && gap > MAX_GAP_MS {
            true => 0,
            false => gap.min(MAX_GAP_MS),
        };
        (self.last, self.is_interrupted) = (asked, false);
    }
}

impl Absences {
    /// `read` is when the wave was read.
    pub(super) fn since(read: Moment) -> Self {
        Self { read, away: FastMap::default() }
    }

    /// Records what a list shows of a host.
    fn note(&mut self, host: &Name, shown: Shown, asked: Moment) {
        if asked < self.read {
            return;
        }
        match shown {
            Shown::Present => drop(self.away.remove(host)),
            Shown::Unknown => {
                self.away.get_mut(host).into_iter().for_each(|it| it.is_interrupted = true);
            }
            Shown::Away => {
                let new = Absence { last: asked, is_interrupted: false, ms: 0 };
                self.away.entry(host.clone()).or_insert(new).extend(asked);
            }
        }
    }

    /// Records that a list could not be read.
    fn note_failed_list(&mut self) {
        self.away.values_mut().for_each(|it| it.is_interrupted = true);
    }

    /// Returns whether a host is considered lost.
    pub(super) fn is_lost(&self, host: &Name) -> bool {
        self.away.get(host).is_some_and(|it| it.ms >= LOST_MS)
    }
}

impl Coordinator {
    /// Records that the list of hosts could not be read.
    pub fn host_list_failed(&mut self) {
        self.waves.iter_mut().for_each(|it| it.absences.note_failed_list());
    }

    /// Records which hosts of open waves a list shows to be away; `names` has the hosts of the list.
    pub(super) fn note_absences(&mut self, listing: &HostListing, names: &FastSet<&Name>) {
        let shows_all = listing.is_whole && !listing.hosts.is_empty();
        let hosts = &self.hosts;
        let is_up = |host: &Name| {
            let seen = hosts.get(host).filter(|_| names.contains(host));
            seen.is_some_and(|it| it.seen.state != HostState::Down)
        };
        let shown = |host: &Name| match is_up(host) {
            true => Shown::Present,
            false if shows_all => Shown::Away,
            false => Shown::Unknown,
        };
        for state in self.waves.iter_mut().filter(|it| !it.is_completed) {
            let left = state.wave.hosts.iter().filter(|it| !state.begun.contains(*it));
            left.for_each(|it| state.absences.note(it, shown(it), listing.asked));
        }
    }
}
