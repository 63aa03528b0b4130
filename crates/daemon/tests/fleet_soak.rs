//! A randomised soak: real entry hosts under faults that come in series and overlap.
//!
//! `SOAK_SEEDS=50 SOAK_SECONDS=20 cargo test -p fuchsiamill-daemon --test fleet_soak` runs many by hand; a seed that
//! failed stays in [`REGRESSIONS`] with its cause.

mod common;

use std::{
    net::SocketAddr,
    panic::catch_unwind,
    thread,
    time::{Duration, Instant},
};

use common::{
    callers::{Call, Callers},
    fleet::{Fleet, Process, job},
    losses::Losses,
    wait_until,
};
use fastrand::Rng;
use fuchsiamill_standin::{
    admin::RouteFault,
    fleet::{NarrowLinks, StoreFault, Worker, WorkerFault},
};

/// Seeds that failed once, each with a line on its cause.
const REGRESSIONS: &[u64] = &[
    // The proxy held a guard of the fault over a delay, so that lifting it blocked its thread for ever.
    914754811545,
    // A worker crashed before the end of a run was acknowledged: the stand-in took the next run as one too many.
    140069876269,
    // A stop that was unanswered when the coordinator was lost was not ordered anew (issue 16).
    9002,
    9008,
    // A post that was given up was stored after its cancellation, which had found no job and left no trace.
    9010,
];

const ENTRY_HOSTS: usize = 3;
const HOSTS: usize = 5;
const CALLERS: u64 = 3;

/// The most actions without a pause between them.
const SERIES: usize = 3;

/// The longest pause between two actions.
const PAUSE_MS: u64 = 250;

/// How long a paused process stands still.
const FREEZE_MS: u64 = 2_500;

/// The longest time for which the entry of a worker is gone.
const LAPSE_MS: u64 = 3_000;

/// The bandwidth of a narrow link. A poll takes some 400 bytes.
const LINK_BYTES_PER_S: std::ops::Range<u32> = 6_000..60_000;

/// Makes a second generator of a seed.
const LATE_SEED: u64 = 0x6c61_7465;

/// Makes a third generator of a seed.
const LINK_SEED: u64 = 0x6c69_6e6b;

/// How long the links of workers refuse connections: less and more than a lease.
const REFUSE_MS: std::ops::Range<u64> = 100..7_000;

/// When the next life of a worker writes its entry.
const ENTRY_MS: u64 = 1_500;

/// Settings of an entry host that is much weaker than the others.
const WEAK: &str = "link-mbps = 10";

/// How long a run goes on after the order to stop it.
const STOP_TIME: Duration = Duration::from_millis(300);

/// A run of a cancelled job is not begun later than this after the answer: `cancel_ms` of the platform.
const BEGIN_TIME: Duration = Duration::from_millis(3_000);

/// It ends within this time: `cancel_ms` and `stop_ms`.
const END_TIME: Duration = Duration::from_millis(4_000);

/// How long everybody has to be in order again.
const PATIENCE: Duration = Duration::from_secs(20);

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

#[test]
fn promises_hold_under_overlapping_faults() {
    let fresh = number("SOAK_SEED", fastrand::u64(..1 << 40));
    let seeds =
        REGRESSIONS.iter().copied().chain((0..number("SOAK_SEEDS", 2)).map(|it| fresh + it));
    let time = Duration::from_secs(number("SOAK_SECONDS", 6));
    let fails = |seed: &u64| {
        println!("seed {seed}");
        // What is lost for good leaves the scripts of kept seeds as they were.
        catch_unwind(|| soak(*seed, time, !REGRESSIONS.contains(seed))).is_err()
    };
    let failed: Vec<u64> = seeds.filter(fails).collect();
    assert!(failed.is_empty(), "failed, each for the reason above: {failed:?}");
}

fn soak(seed: u64, time: Duration, loses: bool) {
    // A generator of its own leaves the scripts of kept seeds as they were.
    let mut late_rng = Rng::with_seed(seed ^ LATE_SEED);
    let weak = if late_rng.bool() { WEAK } else { "" };
    let fleet = Fleet::start_each(&[weak, "", ""], HOSTS, |_| {});
    each_worker(&fleet, |it| it.stop_time = STOP_TIME);
    let fronts: Vec<_> = fleet.entries.iter().map(|it| it.front).collect();
    let routes = fleet.route_workers();
    let losses = Losses::start(&fleet, seed, loses.then_some(time));
    let callers = Callers::start(CALLERS, &fronts, seed);
    let mut soak = Soak {
        routes,
        losses,
        fleet,
        rng: Rng::with_seed(seed),
        late_rng,
        link_rng: Rng::with_seed(seed ^ LINK_SEED),
        refused: Vec::new(),
        frozen: Vec::new(),
        lapsed: Vec::new(),
        version: 1,
    };
    let until = Instant::now() + time;
    while Instant::now() < until {
        soak.thaw();
        for _ in 0..soak.rng.usize(1..=SERIES) {
            soak.act();
        }
        soak.delay_coordinators();
        soak.lose_links();
        soak.lose_for_good();
        thread::sleep(Duration::from_millis(soak.rng.u64(0..PAUSE_MS)));
    }
    soak.heal();
    soak.losses.check_lasting(&soak.fleet);
    let calls = callers.finish();
    soak.check(&calls, seed);
}

struct Soak {
    fleet: Fleet,
    rng: Rng,
    /// Decides what makes coordinators late.
    late_rng: Rng,
    /// Decides what happens to the links of workers.
    link_rng: Rng,
    /// The way to each host's worker, through the proxy.
    routes: Vec<SocketAddr>,
    /// Hosts whose links refuse connections, and until when.
    refused: Vec<(Instant, usize)>,
    losses: Losses,
    /// Entry hosts that stand still, and until when.
    frozen: Vec<(Instant, usize)>,
    /// Workers whose entries lapsed, and when these come back.
    lapsed: Vec<(Instant, usize)>,
    /// Of the configuration.
    version: u64,
}

impl Soak {
    fn thaw(&mut self) {
        let now = Instant::now();
        for (_, entry) in self.frozen.extract_if(.., |it| it.0 <= now) {
            self.fleet.entries[entry].signal("CONT");
        }
        for (_, host) in self.lapsed.extract_if(.., |it| it.0 <= now) {
            self.fleet.site.world().list(host);
        }
        for (_, host) in self.refused.extract_if(.., |it| it.0 <= now) {
            self.fleet.route_fault(self.routes[host], RouteFault::None);
        }
    }

    /// Refuses the connections of a worker or of all, or starts a worker again under its id; its entry follows.
    fn lose_links(&mut self) {
        let host = self.link_rng.usize(0..self.routes.len());
        let refused = match self.link_rng.u32(0..12) {
            0 | 1 => vec![host],
            2 => (0..self.routes.len()).collect(),
            3 | 4 => return self.restart_worker(host),
            _ => return,
        };
        let span = Duration::from_millis(self.link_rng.u64(REFUSE_MS));
        for host in refused {
            self.fleet.route_fault(self.routes[host], RouteFault::Refuse);
            self.refused.push((Instant::now() + span, host));
        }
    }

    fn restart_worker(&mut self, host: usize) {
        let route = self.routes[host];
        self.fleet.route_fault(route, RouteFault::Cut);
        {
            let mut world = self.fleet.site.world();
            world.rebirth_with_former_entry(host);
            if let Some(worker) = world.worker_mut(host) {
                worker.stop_time = STOP_TIME;
            }
        }
        self.fleet.route_fault(route, RouteFault::None);
        let back = Instant::now() + Duration::from_millis(self.link_rng.u64(50..ENTRY_MS));
        self.lapsed.push((back, host));
    }

    fn act(&mut self) {
        match self.rng.u32(0..24) {
            0 => self.freeze(),
            1 => self.restart(),
            2 => self.restart_several(),
            3 | 4 => self.lose_coordinator(),
            5 => {
                let entry = self.any_entry();
                if entry.hears_hup() {
                    entry.signal("HUP");
                }
            }
            6 => self.configure(),
            7 | 8 => {
                let fault = *self.rng.choice(&ROUTE_FAULTS).expect("a fault");
                self.fleet.store_fault(self.rng.usize(0..ENTRY_HOSTS), fault);
            }
            9..=11 => self.fleet.store_fault(self.rng.usize(0..ENTRY_HOSTS), RouteFault::None),
            12 => {
                let fault = *self.rng.choice(&STORE_FAULTS).expect("a fault");
                self.fleet.site.world().rows.fault = fault;
            }
            13 | 14 => self.fleet.site.world().rows.fault = StoreFault::None,
            15 => self.fleet.site.world().rows.forget_history(),
            16 => {
                let mut world = self.fleet.site.world();
                let host = self.rng.usize(0..world.host_count());
                world.crash(host);
                if let Some(worker) = world.worker_mut(host) {
                    worker.stop_time = STOP_TIME;
                }
            }
            17 | 18 => self.lapse(),
            19 => {
                let fault = *self.rng.choice(&WORKER_FAULTS).expect("a fault");
                each_worker(&self.fleet, |it| it.fault = fault);
            }
            _ => {
                let fault = *self.rng.choice(&WORKER_FAULTS).expect("a fault");
                let mut world = self.fleet.site.world();
                let host = self.rng.usize(0..world.host_count());
                if let Some(worker) = world.worker_mut(host) {
                    worker.fault = fault;
                }
            }
        }
    }

    /// Narrows the link to the workers, silences the feed of jobs, or ends both.
    fn delay_coordinators(&mut self) {
        let mut world = self.fleet.site.world();
        match self.late_rng.u32(0..12) {
            0 => world.links = Some(NarrowLinks::new(self.late_rng.u32(LINK_BYTES_PER_S))),
            1 => world.rows.mute_feed = Some("jobs"),
            2 | 3 => world.links = None,
            4 | 5 => world.rows.mute_feed = None,
            _ => {}
        }
    }

    fn any_entry(&mut self) -> &Process {
        &self.fleet.entries[self.rng.usize(0..ENTRY_HOSTS)]
    }

    fn is_frozen(&self, entry: usize) -> bool {
        self.losses.silent == Some(entry) || self.frozen.iter().any(|it| it.1 == entry)
    }

    fn lose_for_good(&mut self) {
        self.losses.act(&self.fleet, |entry| self.frozen.iter().any(|it| it.1 == entry));
    }

    fn freeze(&mut self) {
        let entry = self.rng.usize(0..ENTRY_HOSTS);
        if !self.is_frozen(entry) {
            self.fleet.entries[entry].signal("STOP");
            let span = Duration::from_millis(self.rng.u64(100..FREEZE_MS));
            self.frozen.push((Instant::now() + span, entry));
        }
    }

    fn restart(&mut self) {
        let entry = self.rng.usize(0..ENTRY_HOSTS);
        if !self.is_frozen(entry) {
            self.fleet.entries[entry].replace(self.rng.bool());
        }
    }

    /// Several shut down at once while a configuration comes, one after another is up again.
    fn restart_several(&mut self) {
        let first = self.rng.usize(0..ENTRY_HOSTS);
        let others = (0..ENTRY_HOSTS).filter(|it| *it != first && !self.is_frozen(*it));
        let others: Vec<usize> = others.collect();
        others.iter().for_each(|it| self.fleet.entries[*it].signal("TERM"));
        self.configure();
        for entry in others {
            self.fleet.entries[entry].wait_end();
            self.fleet.entries[entry].restart();
        }
    }

    fn lose_coordinator(&mut self) {
        if let Some(leader) = self.fleet.coordinator().filter(|it| !self.is_frozen(*it)) {
            self.fleet.entries[leader].replace(false);
        }
    }

    fn configure(&mut self) {
        self.version += 1;
        let queues: &[&str] = if self.rng.bool() { &["/jobs/"] } else { &["/jobs/", "/other/"] };
        self.fleet.configure(self.version, queues);
    }

    fn lapse(&mut self) {
        let mut world = self.fleet.site.world();
        let host = self.rng.usize(0..world.host_count());
        let back = Instant::now() + Duration::from_millis(self.rng.u64(50..LAPSE_MS));
        world.lapse(host);
        self.lapsed.push((back, host));
    }

    fn heal(&mut self) {
        for (_, entry) in self.frozen.drain(..) {
            self.fleet.entries[entry].signal("CONT");
        }
        for entry in 0..ENTRY_HOSTS {
            self.fleet.store_fault(entry, RouteFault::None);
        }
        {
            let mut world = self.fleet.site.world();
            world.rows.fault = StoreFault::None;
            world.rows.mute_feed = None;
            world.links = None;
        }
        for (_, host) in self.lapsed.drain(..) {
            self.fleet.site.world().list(host);
        }
        for (_, host) in self.refused.drain(..) {
            self.fleet.route_fault(self.routes[host], RouteFault::None);
        }
        each_worker(&self.fleet, |it| it.fault = WorkerFault::None);
    }

    /// Checks what callers were promised, now that nothing is in the way.
    fn check(&self, calls: &[Call], seed: u64) {
        self.fleet.wait_ready();
        self.losses.check(&self.fleet, calls);
        let probe = self.fleet.accept(&job(20, &[1]), PATIENCE).expect("a job is accepted");
        self.fleet.wait_state(&probe, "completed");
        let calm = Instant::now();
        thread::sleep(END_TIME);
        let broken = self.broken_cancellations(calls, calm);
        if let Some(first) = broken.first().and_then(|it| it.split(':').next()) {
            self.fleet.print_story(first);
        }
        assert!(broken.is_empty(), "seed {seed}: work of cancelled jobs: {broken:#?}");
        for it in calls.iter().filter(|it| it.cancelled.is_some()) {
            self.check_told(it);
        }
        let kept = calls.iter().filter(|it| it.is_accepted && it.cancelled.is_none());
        let kept: Vec<&Call> = kept.collect();
        self.fleet.jobs.borrow_mut().extend(kept.iter().map(|it| it.id.clone()));
        self.fleet.check();
        let world = self.fleet.site.world();
        let lost = kept.iter().any(|it| world.done_tasks(&it.id) != it.tasks);
        assert!(!lost, "seed {seed}: a job is completed without all of its tasks");
        let cancelled = calls.iter().filter(|it| it.cancelled.is_some()).count();
        println!("seed {seed}: {} jobs, {cancelled} of them cancelled", calls.len());
    }

    /// Runs of cancelled jobs that are at work, or were begun too late, since everybody is in order.
    fn broken_cancellations(&self, calls: &[Call], calm: Instant) -> Vec<String> {
        let world = self.fleet.site.world();
        let mut broken = Vec::new();
        for call in calls {
            let Some((answered, status)) = call.cancelled else { continue };
            for run in world.runs.iter().filter(|it| it.task.starts_with(&call.id)) {
                let is_late = run.began > calm.max(answered + BEGIN_TIME);
                let fault = match (run.ended.is_none(), is_late) {
                    (true, _) => "at work",
                    (false, true) => "begun late",
                    _ => continue,
                };
                let since = calm.saturating_duration_since(answered);
                broken.push(format!(
                    "{}: run {} {fault}, its job was cancelled {since:?} before the calm ({status}, {})",
                    run.task,
                    run.run,
                    if call.is_accepted { "accepted" } else { "post unanswered" },
                ));
            }
        }
        broken
    }

    fn check_told(&self, call: &Call) {
        let mut told = None;
        wait_until("a state is told", || {
            told = self.fleet.state(&call.id);
            told.is_some()
        });
        let told = told.unwrap_or_default();
        let is_unknown = told == "gone" && call.cancelled.is_some_and(|it| it.1 == 410);
        let is_right = is_unknown || told == "cancelled" || told == "completed";
        assert!(is_right, "{call:?} is told as {told}");
    }
}

fn each_worker(fleet: &Fleet, mut act: impl FnMut(&mut Worker)) {
    let mut world = fleet.site.world();
    for host in 0..world.host_count() {
        if let Some(worker) = world.worker_mut(host) {
            act(worker);
        }
    }
}

const ROUTE_FAULTS: [RouteFault; 5] = [
    RouteFault::Delay { ms: 150 },
    RouteFault::Cut,
    RouteFault::HoldForward,
    RouteFault::HoldBack,
    RouteFault::HoldBoth,
];

const STORE_FAULTS: [StoreFault; 4] =
    [StoreFault::Down, StoreFault::Silent, StoreFault::Slow(200), StoreFault::LoseAnswers(40)];

const WORKER_FAULTS: [WorkerFault; 8] = [
    WorkerFault::None,
    WorkerFault::None,
    WorkerFault::Silent,
    WorkerFault::AnswersLost,
    WorkerFault::Late(1_500),
    WorkerFault::StopsLate(1_000),
    WorkerFault::StopsLate(6_000),
    WorkerFault::OrdersLate(1_500),
];
