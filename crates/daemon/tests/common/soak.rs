//! What a soak does to a site: faults in series that overlap, and their end.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use fastrand::Rng;
use fuchsiamill_standin::{
    admin::RouteFault,
    fleet::{NarrowLinks, StoreFault, WorkerFault},
};

use super::{
    evacuations::Evacuations,
    fleet::{Fleet, Layout},
    losses::Losses,
    order_log::{self, LOGS},
    recuts::Recuts,
    shared_ids::PREFIXES,
    soak_faults::{ROUTE_FAULTS, STORE_FAULTS, WORKER_FAULTS, each_worker},
    standing::Standing,
    unanswered::Disturbances,
};

pub(super) const ENTRY_HOSTS: usize = 3;
const HOSTS: usize = 5;

/// The most actions without a pause between them.
const SERIES: usize = 3;

/// The longest pause between two actions.
const PAUSE_MS: u64 = 250;

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
const WEAK: &str = "log-level = debug\nlink-mbps = 10";

/// How long a run goes on after the order to stop it.
const STOP_TIME: Duration = Duration::from_millis(300);

/// A site under faults.
pub struct Soak {
    pub fleet: Fleet,
    pub(super) rng: Rng,
    /// Decides what makes coordinators late.
    late_rng: Rng,
    /// Decides what happens to the links of workers.
    link_rng: Rng,
    /// The way to each host's worker, through the proxy.
    routes: Vec<SocketAddr>,
    /// Hosts whose links refuse connections, and until when.
    refused: Vec<(Instant, usize)>,
    pub losses: Losses,
    /// The tasks that run until they are cancelled; none for kept seeds.
    pub standing: Option<Standing>,
    /// The evacuations of data centres; none for kept seeds.
    pub evacuations: Option<Evacuations>,
    /// The workers that start again and are cut off soon after; none for kept seeds.
    recuts: Option<Recuts>,
    /// Entry hosts that stand still, and until when.
    pub(super) frozen: Vec<(Instant, usize)>,
    /// Workers whose entries lapsed, and when these come back.
    lapsed: Vec<(Instant, usize)>,
    /// Of the configuration.
    pub(super) version: u64,
    pub(super) seed: u64,
    /// What was done, and when.
    acts: Vec<(Instant, String)>,
    /// What concerns entry hosts and the store.
    pub disturbances: Disturbances,
    /// The queues of other accounts, if there are any.
    pub(super) shared: &'static [&'static str],
}

/// A soak that fails keeps the order of what happened.
impl Drop for Soak {
    fn drop(&mut self) {
        if thread::panicking() {
            let failure = format!("soak-{}", self.seed);
            eprintln!("kept {}", order_log::keep(&self.fleet, &failure, &self.acts).display());
        }
    }
}

impl Soak {
    /// Starts a site and the tasks that last on it. A kept seed has the script of its time: nothing is lost for good, and
    /// there is one pool.
    pub fn start(seed: u64, time: Duration, is_kept: bool) -> Self {
        // A generator of its own leaves the scripts of kept seeds as they were.
        let mut late_rng = Rng::with_seed(seed ^ LATE_SEED);
        let weak = if late_rng.bool() { WEAK } else { LOGS };
        let layout = match is_kept {
            true => Layout::of_web(HOSTS),
            false => Standing::layout(seed, HOSTS),
        };
        let fleet = Fleet::start_pools(&[weak, LOGS, LOGS], layout, |_| {});
        each_worker(&fleet, |it| it.stop_time = STOP_TIME);
        let routes = fleet.route_workers();
        let losses = Losses::start(&fleet, seed, (!is_kept).then_some(time));
        let standing = (!is_kept).then(|| Standing::start(&fleet, seed, time));
        Self {
            routes,
            losses,
            standing,
            evacuations: (!is_kept).then(|| Evacuations::start(seed)),
            recuts: None,
            fleet,
            rng: Rng::with_seed(seed),
            late_rng,
            link_rng: Rng::with_seed(seed ^ LINK_SEED),
            refused: Vec::new(),
            frozen: Vec::new(),
            lapsed: Vec::new(),
            version: 1,
            seed,
            acts: Vec::new(),
            disturbances: Disturbances::default(),
            shared: &[],
        }
    }

    /// Adds long tasks, and workers that start again and are cut off soon after.
    pub fn add_recuts(&mut self) {
        self.recuts = Some(Recuts::start(&self.fleet, self.seed));
    }

    /// Adds the queues of other client accounts.
    pub fn add_accounts(&mut self) {
        self.shared = &PREFIXES;
        self.version += 1;
        self.fleet.configure(self.version, &["/jobs/", PREFIXES[0], PREFIXES[1]]);
    }

    /// Does what is due and a series of actions, and pauses.
    pub fn step(&mut self) {
        self.thaw();
        for _ in 0..self.rng.usize(1..=SERIES) {
            self.act();
        }
        self.delay_coordinators();
        self.lose_links();
        self.recut();
        self.lose_for_good();
        if let Some(it) = &mut self.standing {
            it.act(&self.fleet);
        }
        if let Some(act) = self.evacuations.as_mut().and_then(|it| it.act(&self.fleet)) {
            self.note(act);
        }
        thread::sleep(Duration::from_millis(self.rng.u64(0..PAUSE_MS)));
    }

    fn note(&mut self, act: String) {
        self.acts.push((Instant::now(), act));
    }

    fn thaw(&mut self) {
        let now = Instant::now();
        for (_, entry) in self.frozen.extract_if(.., |it| it.0 <= now) {
            self.fleet.entries[entry].signal("CONT");
            self.disturbances.end("freeze", Some(entry));
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
            3 | 4 => {
                let entry_after = Duration::from_millis(self.link_rng.u64(50..ENTRY_MS));
                return self.restart_worker(host, entry_after);
            }
            _ => return,
        };
        let span = Duration::from_millis(self.link_rng.u64(REFUSE_MS));
        self.note(format!("links of hosts {refused:?} refuse connections for {span:?}"));
        for host in refused {
            self.fleet.route_fault(self.routes[host], RouteFault::Refuse);
            self.refused.push((Instant::now() + span, host));
        }
    }

    /// Starts a worker again under its id and cuts off those whose time has come.
    fn recut(&mut self) {
        let Some(recuts) = &mut self.recuts else { return };
        let restart = recuts.restart(self.routes.len());
        for (host, fault) in recuts.take_due() {
            self.fleet.route_fault(self.routes[host], fault);
            self.note(format!("link of host {host}: {fault:?}"));
        }
        if let Some(it) = restart {
            self.restart_worker(it.host, it.entry_after);
        }
    }

    fn restart_worker(&mut self, host: usize, entry_after: Duration) {
        self.note(format!("the worker of host {host} starts again under its id"));
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
        self.lapsed.push((Instant::now() + entry_after, host));
    }

    fn act(&mut self) {
        let act = self.rng.u32(0..24);
        self.note(format!("act {act}, by its number in Soak::act"));
        match act {
            0 => self.freeze(),
            1 => self.restart(),
            2 => self.restart_several(),
            3 | 4 => self.lose_coordinator(),
            5 => {
                let entry = self.rng.usize(0..ENTRY_HOSTS);
                self.reload(entry);
            }
            6 => self.configure(),
            7 | 8 => {
                let fault = *self.rng.choice(&ROUTE_FAULTS).expect("a fault");
                let entry = self.rng.usize(0..ENTRY_HOSTS);
                self.disturb_store_of(entry, fault);
            }
            9..=11 => {
                let entry = self.rng.usize(0..ENTRY_HOSTS);
                self.disturb_store_of(entry, RouteFault::None);
            }
            12 => {
                let fault = *self.rng.choice(&STORE_FAULTS).expect("a fault");
                self.disturbances.begin("store fault", None);
                self.fleet.site.world().rows.fault = fault;
            }
            13 | 14 => {
                self.fleet.site.world().rows.fault = StoreFault::None;
                self.disturbances.end("store fault", None);
            }
            15 => {
                self.disturbances.strike("lost history", None);
                self.fleet.site.world().rows.forget_history();
            }
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
            0 => {
                self.disturbances.begin("narrow links", None);
                world.links = Some(NarrowLinks::new(self.late_rng.u32(LINK_BYTES_PER_S)));
            }
            1 => {
                self.disturbances.begin("mute feed", None);
                world.rows.mute_feed = Some("jobs");
            }
            2 | 3 => {
                world.links = None;
                self.disturbances.end("narrow links", None);
            }
            4 | 5 => {
                world.rows.mute_feed = None;
                self.disturbances.end("mute feed", None);
            }
            _ => {}
        }
    }

    fn lapse(&mut self) {
        let mut world = self.fleet.site.world();
        let host = self.rng.usize(0..world.host_count());
        let back = Instant::now() + Duration::from_millis(self.rng.u64(50..LAPSE_MS));
        world.lapse(host);
        self.lapsed.push((back, host));
    }

    /// Ends all faults but what is lost for good.
    pub fn heal(&mut self) {
        for (_, entry) in self.frozen.drain(..) {
            self.fleet.entries[entry].signal("CONT");
            self.disturbances.end("freeze", Some(entry));
        }
        for entry in 0..ENTRY_HOSTS {
            self.disturb_store_of(entry, RouteFault::None);
        }
        {
            let mut world = self.fleet.site.world();
            world.rows.fault = StoreFault::None;
            world.rows.mute_feed = None;
            world.links = None;
        }
        for it in ["store fault", "narrow links", "mute feed"] {
            self.disturbances.end(it, None);
        }
        for (_, host) in self.lapsed.drain(..) {
            self.fleet.site.world().list(host);
        }
        let cut = self.recuts.as_mut().map(Recuts::finish).unwrap_or_default();
        for host in self.refused.drain(..).map(|it| it.1).chain(cut) {
            self.fleet.route_fault(self.routes[host], RouteFault::None);
        }
        each_worker(&self.fleet, |it| it.fault = WorkerFault::None);
    }
}
