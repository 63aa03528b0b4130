//! Workers that a soak starts again under their ids and cuts off soon after, while long tasks are at work.

use std::time::{Duration, Instant};

use fastrand::Rng;
use fuchsiamill_standin::admin::RouteFault;

use super::fleet::{Fleet, job};

/// Makes the generator of a seed's restarts and cuts.
const RECUT_SEED: u64 = 0x7265_6375;

/// One of so many steps starts a worker again.
const RARITY: u32 = 6;

/// Jobs of long tasks, the tasks of each, and how long these take.
const LONG_JOBS: usize = 3;
const LONG_TASKS: u32 = 4;
const LONG_MS: u64 = 4_000;

const PATIENCE: Duration = Duration::from_secs(20);

/// How soon after its restart a worker is cut off: before and after the first report of its next life.
const CUT_AFTER_MS: std::ops::Range<u64> = 0..1_500;

/// How long it is cut off: less and more than a lease.
const CUT_MS: std::ops::Range<u64> = 500..9_000;

/// When the next life writes its entry.
const ENTRY_MS: std::ops::Range<u64> = 50..1_500;

const CUTS: [RouteFault; 4] =
    [RouteFault::Refuse, RouteFault::Cut, RouteFault::HoldForward, RouteFault::HoldBack];

/// The restarts and cuts of a soak.
pub struct Recuts {
    rng: Rng,
    /// When a worker that started again is cut off, its host, how and for how long.
    due: Vec<(Instant, usize, RouteFault, Duration)>,
    /// When a cut is over, and its host.
    cut: Vec<(Instant, usize)>,
}

/// A worker that starts again.
pub struct Restart {
    pub host: usize,
    /// How much later its entry comes.
    pub entry_after: Duration,
}

impl Recuts {
    /// Posts the long jobs.
    pub fn start(fleet: &Fleet, seed: u64) -> Self {
        for _ in 0..LONG_JOBS {
            fleet.accept(&job(LONG_MS, &[LONG_TASKS]), PATIENCE).expect("a long job is accepted");
        }
        Self { rng: Rng::with_seed(seed ^ RECUT_SEED), due: Vec::new(), cut: Vec::new() }
    }

    /// Chooses a worker of `hosts` to start again now, or none, and when it is cut off.
    pub fn restart(&mut self, hosts: usize) -> Option<Restart> {
        if self.rng.u32(0..RARITY) > 0 {
            return None;
        }
        let host = self.rng.usize(0..hosts);
        let at = Instant::now() + Duration::from_millis(self.rng.u64(CUT_AFTER_MS));
        let fault = *self.rng.choice(&CUTS).expect("a fault");
        self.due.push((at, host, fault, Duration::from_millis(self.rng.u64(CUT_MS))));
        Some(Restart { host, entry_after: Duration::from_millis(self.rng.u64(ENTRY_MS)) })
    }

    /// Returns the faults of links that begin or end now, by host.
    pub fn take_due(&mut self) -> Vec<(usize, RouteFault)> {
        let now = Instant::now();
        let over = self.cut.extract_if(.., |it| it.0 <= now).map(|it| (it.1, RouteFault::None));
        let mut due: Vec<(usize, RouteFault)> = over.collect();
        for (_, host, fault, span) in self.due.extract_if(.., |it| it.0 <= now) {
            self.cut.push((now + span, host));
            due.push((host, fault));
        }
        due
    }

    /// Ends all cuts; returns their hosts.
    pub fn finish(&mut self) -> Vec<usize> {
        self.due.clear();
        self.cut.drain(..).map(|it| it.1).collect()
    }
}
