//! Tasks that run until they are cancelled, while hosts are short, and a check of them from outside.

use std::{
    collections::{BTreeMap, BTreeSet},
    thread,
    time::{Duration, Instant},
};

use fastrand::Rng;
use fuchsiamill_standin::fleet::{DUTY_TIME, Loss, RunRecord, World};
use http::Method;
use serde_json::{Value, json};

use super::{
    PATIENCE,
    fleet::{Fleet, KEY, Layout, job, lasting_job},
    wait_until,
};

/// A task waits for room this long before it asks for a host.
const WAIT_TIME: Duration = Duration::from_millis(1_000);

/// Until the next plan of the hosts.
const PLAN_TIME: Duration = Duration::from_millis(100);

/// How long a short task runs.
const SHORT_TIME: Duration = Duration::from_millis(800);

/// The placement, its record and the order to start.
pub const START_TIME: Duration = Duration::from_millis(500);

/// The pause between two reads of the list of hosts, in which the coordinator sees all that can change once.
pub const TURN_TIME: Duration = Duration::from_millis(400);

/// How long a lasting task waits while another pool has hosts for short tasks: one of its hosts is emptied and moved.
pub const START_BOUND: Duration = WAIT_TIME
    .saturating_add(PLAN_TIME)
    .saturating_add(SHORT_TIME)
    .saturating_add(DUTY_TIME)
    .saturating_add(START_TIME)
    .saturating_add(TURN_TIME);

/// Until a worker that is gone is known to be: two polls unanswered (1 s each, 200 ms between them) and two reads of the
/// list of hosts.
const LOSS_TIME: Duration =
    Duration::from_millis(2_200).saturating_add(TURN_TIME.saturating_mul(2));

/// The longest time for which the entry of a lost worker stays.
const LAPSE_TIME: Duration = Duration::from_secs(3);

/// Short tasks fill a host by fours.
const SHORT_CPU: u32 = 2_000;

/// Lasting tasks fill a host by twos.
const LASTING_CPU: u32 = 4_000;

/// The millicores of a task of any other job.
const OTHER_CPU: u32 = 500;

/// The millicores of a host.
const HOST_CPU: u32 = 8_000;

/// Makes the generator of what makes a seed's hosts short.
const SCARCE_SEED: u64 = 0x7363_6172;

/// Pools beside `web`, of which a soak has one: their names come before and after it.
const POOLS: [&str; 2] = ["able", "zulu"];

/// The lasting tasks that run from the start.
const FIRST_TASKS: u32 = 3;

/// Short tasks that a soak begins with: some seconds of work for all hosts.
const FIRST_SHORT_TASKS: std::ops::Range<u32> = 100..400;

/// Short tasks for more than [`WATCH_TIME`] on all hosts.
const SHORT_TASKS: u32 = 700;

/// The lasting tasks that come after these: more than their pool has hosts for.
const MORE_TASKS: std::ops::Range<u32> = 5..9;

/// So long after the short tasks the lasting ones come.
const LEAD_TIME: Duration = Duration::from_millis(1_500);

/// When a wave or a loss begins, after the short tasks.
const EVENT_MS: std::ops::Range<u64> = 500..3_000;

/// [`EVENT_MS`], [`LOSS_TIME`], [`START_BOUND`] and a second.
const WATCH_TIME: Duration = Duration::from_millis(10_100);

/// The most hosts of a wave that are maintained at once.
const MAX_AT_ONCE: usize = 2;

/// A job of short tasks that fill whole hosts.
pub fn short_job(tasks: u32) -> Value {
    let mut job = job(SHORT_TIME.as_millis() as u64, &[tasks]);
    job["steps"][0]["cpu"] = json!(SHORT_CPU);
    job
}

/// The runs of each task of a job that has run.
pub fn runs_by_task(fleet: &Fleet, id: &str) -> BTreeMap<String, Vec<RunRecord>> {
    let mut by_task: BTreeMap<String, Vec<RunRecord>> = BTreeMap::new();
    for run in fleet.site.world().runs.iter().filter(|it| it.task.starts_with(id)) {
        by_task.entry(run.task.clone()).or_default().push(run.clone());
    }
    by_task
}

/// Requests the maintenance of hosts, of so many at once.
pub fn request_wave(fleet: &Fleet, number: u64, hosts: &[usize], at_once: usize) {
    let hosts: Vec<String> = hosts.iter().map(|it| format!("m-{it}")).collect();
    let wave = json!({ "wave": number, "machines": hosts, "duration_s": 60, "cap": at_once });
    fleet.site.world().rows.put("op", &format!("wave/{number}"), &wave);
}

struct LastingJob {
    id: String,
    pool: &'static str,
    tasks: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Lasting,
    Wave,
    Loss,
}

/// Makes hosts short, and watches the lasting tasks.
pub struct Standing {
    rng: Rng,
    /// The pool beside `web`.
    pool: &'static str,
    lasting: Vec<LastingJob>,
    /// Jobs of short tasks, each after its queue.
    short: Vec<(String, String)>,
    waves: u64,
    /// When a wave begins under faults.
    wave_due: Option<Instant>,
    /// Entries of lost workers, and when they lapse.
    lapsing: Vec<(Instant, String)>,
    /// What was lost last is known to be from then on.
    calm_from: Instant,
}

impl Standing {
    /// The pools of a seed's soak, with so many hosts in `web` and as many spare ones.
    pub fn layout(seed: u64, hosts: usize) -> Layout {
        Layout { own: vec![(pool_of(seed), 0)], ..Layout::of_web(hosts) }
    }

    /// Starts lasting tasks and then more short ones than the hosts can run; a wave begins within `time`.
    pub fn start(fleet: &Fleet, seed: u64, time: Duration) -> Self {
        let mut rng = Rng::with_seed(seed ^ SCARCE_SEED);
        let wave_due = Some(Instant::now() + time.mul_f64(rng.f64()));
        let mut standing = Self {
            pool: pool_of(seed),
            rng,
            lasting: Vec::new(),
            short: Vec::new(),
            waves: 0,
            wave_due,
            lapsing: Vec::new(),
            calm_from: Instant::now(),
        };
        standing.accept_lasting(fleet, standing.pool, FIRST_TASKS);
        let id = &standing.lasting[0].id;
        wait_until("its tasks run", || runs_by_task(fleet, id).len() == FIRST_TASKS as usize);
        let tasks = standing.rng.u32(FIRST_SHORT_TASKS);
        standing.accept_short(fleet, standing.pool, tasks);
        standing
    }

    /// Begins a wave if it is due.
    pub fn act(&mut self, fleet: &Fleet) {
        if self.wave_due.take_if(|it| *it <= Instant::now()).is_some() {
            self.begin_wave(fleet);
        }
    }

    /// Makes hosts short while nothing else is wrong, and checks that no lasting task is without a run for longer than
    /// [`START_BOUND`] in a part in which there is a host for it all the time.
    pub fn check(&mut self, fleet: &Fleet, seed: u64) {
        let (short, long) = match self.rng.bool() {
            true => ("web", self.pool),
            false => (self.pool, "web"),
        };
        let begin = Instant::now();
        self.calm_from = begin;
        let mut due = vec![(begin + LEAD_TIME, Event::Lasting)];
        for event in [Event::Wave, Event::Loss] {
            let at = begin + Duration::from_millis(self.rng.u64(EVENT_MS));
            due.extend(self.rng.bool().then_some((at, event)));
        }
        let script: Vec<_> = due.iter().map(|it| (it.1, it.0 - begin)).collect();
        println!("seed {seed}: short tasks in {short}, lasting ones in {long}, {script:?}");
        self.accept_short(fleet, short, SHORT_TASKS);
        let mut longest = Duration::ZERO;
        let mut away: BTreeMap<String, Instant> = BTreeMap::new();
        while begin.elapsed() < WATCH_TIME {
            let now = Instant::now();
            for (_, event) in due.extract_if(.., |it| it.0 <= now) {
                match event {
                    Event::Lasting => {
                        let tasks = self.rng.u32(MORE_TASKS);
                        self.accept_lasting(fleet, long, tasks);
                    }
                    Event::Wave => self.begin_wave(fleet),
                    Event::Loss => self.lose(fleet),
                }
            }
            for (_, id) in self.lapsing.extract_if(.., |it| it.0 <= now) {
                fleet.site.world().rows.drop_row("servers", &id);
            }
            let late = self.late(&fleet.site.world(), &mut away, &mut longest);
            if let Some(task) = late {
                fleet.print_story(&task);
                panic!("{task} does not run for {START_BOUND:?} although a host could run it");
            }
            thread::sleep(Duration::from_millis(10));
        }
        let twice = fleet.site.world().twice.clone();
        assert!(twice.is_empty(), "ran twice: {twice:?}");
        println!(
            "seed {seed}: lasting tasks waited for {longest:.2?} at most beside a host for them"
        );
    }

    /// Cancels what fills the hosts.
    pub fn finish(&mut self, fleet: &Fleet) {
        let lasting = self.lasting.drain(..).map(|it| (queue_of(it.pool).to_owned(), it.id));
        for (queue, id) in lasting.chain(self.short.drain(..)) {
            fleet.jobs.borrow_mut().retain(|it| *it != id);
            wait_until("the cancellation is answered", || {
                let entry = &fleet.entries[fastrand::usize(0..fleet.entries.len())];
                let path = format!("/{queue}/{id}");
                let answer = entry.send_to(Method::DELETE, &path, None, KEY);
                answer.is_some_and(|it| it.status.is_success())
            });
        }
    }

    /// Notes since when each lasting task has been without a run beside a host for it; returns one for which that is too long.
    fn late(
        &self,
        world: &World,
        away: &mut BTreeMap<String, Instant>,
        longest: &mut Duration,
    ) -> Option<String> {
        let now = Instant::now();
        let open: Vec<&RunRecord> = world.runs.iter().filter(|it| it.ended.is_none()).collect();
        let at_work: BTreeSet<&str> = open.iter().map(|it| it.task.as_str()).collect();
        let mut waiting = BTreeSet::new();
        for it in self.lasting.iter().filter(|_| now >= self.calm_from) {
            if self.has_host(world, &open, it.pool) {
                let tasks = (0..it.tasks).map(|number| format!("{}.0.0.{number}", it.id));
                waiting.extend(tasks.filter(|task| !at_work.contains(task.as_str())));
            }
        }
        away.retain(|it, _| waiting.contains(it));
        for it in waiting {
            away.entry(it).or_insert(now);
        }
        let (task, since) = away.iter().min_by_key(|it| it.1)?;
        *longest = (*longest).max(now - *since);
        (now - *since > START_BOUND).then(|| task.clone())
    }

    /// Whether a worker of the pool has room for two lasting tasks, or one of another pool runs short tasks only.
    fn has_host(&self, world: &World, open: &[&RunRecord], pool: &str) -> bool {
        (0..world.host_count()).any(|host| {
            let Some(worker) = world.worker(host) else { return false };
            let runs = || open.iter().copied().filter(|it| it.worker == worker.id);
            if world.pool(host) == pool {
                let used: u32 = runs().map(|it| self.cpu_of(it)).sum();
                return used + 2 * LASTING_CPU <= HOST_CPU;
            }
            runs().next().is_some() && runs().all(|it| self.is_short(it))
        })
    }

    fn is_short(&self, run: &RunRecord) -> bool {
        self.short.iter().any(|it| run.task.starts_with(&it.1))
    }

    fn is_lasting(&self, run: &RunRecord) -> bool {
        self.lasting.iter().any(|it| run.task.starts_with(&it.id))
    }

    fn cpu_of(&self, run: &RunRecord) -> u32 {
        match (self.is_short(run), self.is_lasting(run)) {
            (true, _) => SHORT_CPU,
            (_, true) => LASTING_CPU,
            _ => OTHER_CPU,
        }
    }

    fn accept_lasting(&mut self, fleet: &Fleet, pool: &'static str, tasks: u32) {
        let job = lasting_job(tasks, LASTING_CPU);
        let id = fleet.accept_in(queue_of(pool), &job, PATIENCE).expect("accepted");
        // It does not end within the soak.
        fleet.jobs.borrow_mut().retain(|it| *it != id);
        self.lasting.push(LastingJob { id, pool, tasks });
    }

    fn accept_short(&mut self, fleet: &Fleet, pool: &str, tasks: u32) {
        let queue = queue_of(pool);
        let id = fleet.accept_in(queue, &short_job(tasks), PATIENCE);
        self.short.push((queue.to_owned(), id.expect("accepted")));
    }

    /// Begins a wave over some of the hosts.
    fn begin_wave(&mut self, fleet: &Fleet) {
        let hosts = {
            let world = fleet.site.world();
            let mut hosts: Vec<usize> =
                (0..world.host_count()).filter(|it| !world.is_lost(*it)).collect();
            self.rng.shuffle(&mut hosts);
            hosts.truncate(self.rng.usize(1..=hosts.len()));
            hosts
        };
        self.waves += 1;
        request_wave(fleet, self.waves, &hosts, self.rng.usize(1..=MAX_AT_ONCE));
    }

    /// Loses a worker of lasting tasks for good.
    fn lose(&mut self, fleet: &Fleet) {
        let mut world = fleet.site.world();
        let open = world.runs.iter().filter(|it| it.ended.is_none() && self.is_lasting(it));
        let mut workers: Vec<String> = open.map(|it| it.worker.clone()).collect();
        workers.sort();
        workers.dedup();
        let Some(id) = self.rng.choice(&workers).cloned() else { return };
        let Some(host) = world.host_of(&id) else { return };
        world.lose(host, if self.rng.bool() { Loss::Down } else { Loss::Unlisted });
        let now = Instant::now();
        self.lapsing.push((now + LAPSE_TIME.mul_f64(self.rng.f64()), id));
        self.calm_from = now + LOSS_TIME;
    }
}

fn pool_of(seed: u64) -> &'static str {
    POOLS[Rng::with_seed(seed ^ SCARCE_SEED).usize(0..POOLS.len())]
}

fn queue_of(pool: &str) -> &str {
    if pool == "web" { "jobs" } else { pool }
}
