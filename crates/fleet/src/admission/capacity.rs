//! What the coordinator publishes for entry hosts.

use fuchsiamill_model::{
    FastMap, Resources,
    units::{Millisecond, Moment},
};
use serde::{Deserialize, Serialize};

use crate::Name;

/// The part of a pool's processors that short work is expected to use, in per cent: tasks do not fill hosts evenly.
const USABLE_PERCENT: u64 = 90;

/// A pool is full only if the tasks that wait for room are work for so long, also for the hosts that are about to come. With 200
/// and 300 ms, bursts of a load that the site carries were refused more often.
const FULL_WAIT_MS: Millisecond = 400;

/// The part of the waiting work of larger and of late jobs that counts for a new job, in per cent. They yield to it, so that
/// without any part they would wait until they are worth nothing while a surge lasts: 3.7 % of the jobs of a surge of seven
/// times, and 12 % where callers return. With 35, a tenth fewer jobs were in time.
const LARGER_PERCENT: u64 = 20;

/// How long a pool stays full after the last sign of it, so that entry hosts do not lose the data between two bursts.
const HOLD_MS: Millisecond = 1_000;

/// The capacities of the pools that are full, and what entry hosts need to take their shares.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Capacities {
    /// The full pools. Posts to others are not refused.
    pub pools: FastMap<Name, PoolCapacity>,
    /// The jobs that teams with a weight have sent within the last second; only of teams that have used half of their weight.
    pub teams: FastMap<Name, u32>,
    /// The part of the recently accepted jobs that each entry host accepted, in thousandths, by its address.
    pub shares: FastMap<Name, u32>,
}

/// How much work a pool does and has. Work is in millicore-milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PoolCapacity {
    /// The processors that do the pool's short work, in millicores.
    pub rate: u64,
    /// The part of `rate` on which nothing runs.
    pub free: u64,
    /// The processors of hosts that are about to come, in millicores.
    pub coming: u64,
    /// The capacity of a host, by which memory counts as processors.
    pub host: Resources,
    /// The waiting work, ordered by priority and size.
    pub ahead: Vec<WaitingWork>,
}

/// The waiting work of jobs of one priority and about the same size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WaitingWork {
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The size of the jobs; see [`size_class`].
    pub size: u32,
    /// The work of jobs that teams sent within their weight.
    pub owed: u64,
    /// The work of jobs that teams sent beyond their weight.
    pub excess: u64,
}

impl PoolCapacity {
    /// Computes a capacity from the processors of the workers that take tasks, of their runs, and of the hosts that are
    /// about to come, all in millicores.
    pub fn new(host: Resources, present: u64, standing: u64, short: u64, coming: u64) -> Self {
        let usable = |it: u64| it.saturating_mul(USABLE_PERCENT) / 100;
        let rate = usable(present.saturating_sub(standing));
        Self {
            rate,
            free: rate.saturating_sub(short),
            coming: usable(coming),
            host,
            ahead: Vec::new(),
        }
    }

    /// Adds waiting work of a job with so much work left.
    pub fn add(&mut self, priority: u32, is_excess: bool, left: u64, work: u64) {
        if work == 0 {
            return;
        }
        let key = (priority, size_class(left));
        let at = match self.ahead.binary_search_by_key(&key, |it| (it.priority, it.size)) {
            Ok(at) => at,
            Err(at) => {
                let (priority, size) = key;
                self.ahead.insert(at, WaitingWork { priority, size, ..WaitingWork::default() });
                at
            }
        };
        let sum = match is_excess {
            true => &mut self.ahead[at].excess,
            false => &mut self.ahead[at].owed,
        };
        *sum = sum.saturating_add(work);
    }

    /// Returns the work that waits ahead of a job with so much work. Of jobs of one priority the smaller ones come first, and a
    /// part of the larger ones counts. A job beyond its team's weight comes after all other work; the others do not wait for
    /// such jobs.
    pub fn ahead_of(&self, priority: u32, is_excess: bool, work: u64) -> u64 {
        let key = (priority, size_class(work));
        let works = self.ahead.iter();
        let parts = works.map(|it| match is_excess {
            true => it.owed.saturating_add(it.excess),
            false if (it.priority, it.size) <= key => it.owed,
            false if it.priority == priority => it.owed / 100 * LARGER_PERCENT,
            false => 0,
        });
        parts.fold(0, u64::saturating_add)
    }

    /// Returns whether tasks wait for room, where `startable` is the work of waiting tasks that could run.
    pub fn is_full(&self, startable: u64) -> bool {
        startable > self.rate.saturating_add(self.coming).saturating_mul(FULL_WAIT_MS)
    }
}

/// The work by which late jobs count: they come after all that can be in time.
pub const LATE_WORK: u64 = u64::MAX;

/// Returns the class of a job by its work: two classes for each doubling.
pub fn size_class(work: u64) -> u32 {
    let work = work.max(1);
    let octave = work.ilog2();
    2 * octave + u32::from(octave > 0 && work >> (octave - 1) & 1 == 1)
}

/// When pools were last found in a state.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldPools(FastMap<Name, Moment>);

impl HeldPools {
    /// Notes whether a pool is in the state at present, and returns whether it is or was so recently.
    pub(crate) fn note(&mut self, pool: &Name, is_so: bool, now: Moment) -> bool {
        if is_so {
            self.0.insert(pool.clone(), now);
        }
        self.0.get(pool).is_some_and(|last| now.since(*last) < HOLD_MS)
    }
}
