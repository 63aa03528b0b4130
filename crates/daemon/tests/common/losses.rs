//! What a soak loses for good, and the tasks that last meanwhile.

use std::{
    collections::{BTreeMap, BTreeSet},
    thread,
    time::{Duration, Instant},
};

use fastrand::Rng;
use fuchsiamill_standin::fleet::{Loss, World};

use super::{
    PATIENCE,
    callers::Call,
    fleet::{Fleet, job},
    wait_until,
};

/// Makes the generator of a seed's losses.
const LOSS_SEED: u64 = 0x6c6f_7373;

/// The most hosts that are lost.
const MAX_HOSTS: usize = 2;

/// The longest time between the loss of the workers and that of the coordinator.
const PAUSE_MS: u64 = 600;

/// The longest time for which the entry of a lost worker stays.
const LAPSE_MS: u64 = 3_000;

const LASTING_MS: u64 = 300_000;

const LASTING_TASKS: u32 = 4;

/// The users' rule LOST: nothing that was accepted waits longer than this beside a free worker.
const IDLE_TIME: Duration = Duration::from_secs(9);

/// A worker with fewer tasks has room for another one of 500 millicores, whatever else was ordered there: half of its room.
const FREE_TASKS: usize = 8;

/// Loses workers and then the coordinator, and watches what lasts.
pub struct Losses {
    rng: Rng,
    /// When something is lost; none if nothing is, or if it has been.
    due: Option<Instant>,
    /// The job whose tasks last.
    lasting: String,
    /// The entry host that is silent for good.
    pub silent: Option<usize>,
    /// Entries of lost workers, and when they lapse.
    lapsing: Vec<(Instant, String)>,
}

impl Losses {
    /// Starts the tasks that last; something is lost within `time`, if that is given.
    pub fn start(fleet: &Fleet, seed: u64, time: Option<Duration>) -> Self {
        let lasting = fleet.accept(&job(LASTING_MS, &[LASTING_TASKS]), PATIENCE).expect("accepted");
        // It does not end within the soak.
        fleet.jobs.borrow_mut().retain(|it| *it != lasting);
        wait_until("all of its tasks run", || {
            open_tasks(&fleet.site.world(), &lasting).len() == LASTING_TASKS as usize
        });
        let mut rng = Rng::with_seed(seed ^ LOSS_SEED);
        let due = time.map(|it| Instant::now() + it.mul_f64(rng.f64()));
        Self { rng, due, lasting, silent: None, lapsing: Vec::new() }
    }

    /// Loses workers of tasks that last and right after them the coordinator, unless `is_frozen` holds for it.
    pub fn act(&mut self, fleet: &Fleet, is_frozen: impl Fn(usize) -> bool) {
        self.lapse(fleet, Instant::now());
        if self.due.is_none_or(|it| Instant::now() < it) {
            return;
        }
        let Some(leader) = fleet.coordinator().filter(|it| !is_frozen(*it)) else { return };
        {
            let mut world = fleet.site.world();
            let mut workers = workers_of(&world, &self.lasting);
            if workers.is_empty() {
                return;
            }
            self.rng.shuffle(&mut workers);
            for it in workers.into_iter().take(MAX_HOSTS) {
                let Some(host) = world.host_of(&it) else { continue };
                world.lose(host, if self.rng.bool() { Loss::Down } else { Loss::Unlisted });
                let lapse = Duration::from_millis(self.rng.u64(0..LAPSE_MS));
                self.lapsing.push((Instant::now() + lapse, it));
            }
        }
        thread::sleep(Duration::from_millis(self.rng.u64(0..PAUSE_MS)));
        fleet.entries[leader].signal("STOP");
        println!("{} workers and entry host {leader} are lost", self.lapsing.len());
        self.silent = Some(leader);
        self.due = None;
    }

    /// Waits until the entry hosts that are not lost are ready, and checks what lasts while the lost one is silent. Then
    /// that one is killed and started anew.
    pub fn check_lasting(&mut self, fleet: &Fleet) {
        self.lapse(fleet, Instant::now() + Duration::from_millis(LAPSE_MS));
        for (_, it) in fleet.entries.iter().enumerate().filter(|it| self.silent != Some(it.0)) {
            wait_until("the entry host is ready", || it.is_ready());
        }
        self.check(fleet, &[]);
        if let Some(entry) = self.silent.take() {
            fleet.entries[entry].replace(false);
        }
    }

    fn lapse(&mut self, fleet: &Fleet, until: Instant) {
        for (_, id) in self.lapsing.extract_if(.., |it| it.0 <= until) {
            fleet.site.world().rows.drop_row("servers", &id);
        }
    }

    /// Checks from outside, in a quiet stretch, that all tasks that last and some task of each job that is not over run,
    /// or have not waited longer than [`IDLE_TIME`] beside a free worker.
    pub fn check(&self, fleet: &Fleet, calls: &[Call]) {
        let kept = calls.iter().filter(|it| it.is_accepted && it.cancelled.is_none());
        let kept: Vec<&Call> = kept.collect();
        let begin = Instant::now();
        let mut idle_since: BTreeMap<String, Instant> = BTreeMap::new();
        while begin.elapsed() < PATIENCE {
            let now = Instant::now();
            let (idle, is_free) = {
                let world = fleet.site.world();
                (self.idle(&world, &kept), has_free_worker(&world))
            };
            if idle.is_empty() {
                println!("nothing waits {:.2?} into the quiet stretch", begin.elapsed());
                return;
            }
            idle_since.retain(|it, _| is_free && idle.contains(it));
            for it in idle {
                idle_since.entry(it).or_insert(now);
            }
            let late = idle_since.iter().filter(|(_, since)| now - **since > IDLE_TIME);
            let late: Vec<&String> = late.map(|(it, _)| it).collect();
            if let Some(first) = late.first() {
                print_story(fleet, first);
                panic!("nothing of these has run for {IDLE_TIME:?} beside a free worker: {late:?}");
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("something waits {PATIENCE:?} into the quiet stretch: {idle_since:?}");
    }

    /// Tasks that last and jobs that are not over of which nothing runs.
    fn idle(&self, world: &World, kept: &[&Call]) -> BTreeSet<String> {
        let open = open_tasks(world, &self.lasting);
        let lasting = (0..LASTING_TASKS).map(|it| format!("{}.0.0.{it}", self.lasting));
        let waits = |it: &&&Call| {
            open_tasks(world, &it.id).is_empty() && world.done_tasks(&it.id) < it.tasks
        };
        let jobs = kept.iter().filter(waits).map(|it| it.id.clone());
        lasting.filter(|it| !open.contains(it.as_str())).chain(jobs).collect()
    }
}

/// Prints the story of a task, or of the first task of a job that ran.
fn print_story(fleet: &Fleet, name: &str) {
    let task = {
        let world = fleet.site.world();
        world.runs.iter().find(|it| it.task.starts_with(name)).map(|it| it.task.clone())
    };
    fleet.print_story(task.as_deref().unwrap_or(name));
}

/// The tasks of a job that run.
fn open_tasks<'a>(world: &'a World, job: &str) -> BTreeSet<&'a str> {
    let runs = world.runs.iter().filter(|it| it.ended.is_none() && it.task.starts_with(job));
    runs.map(|it| it.task.as_str()).collect()
}

/// The workers on which tasks of a job run.
fn workers_of(world: &World, job: &str) -> Vec<String> {
    let runs = world.runs.iter().filter(|it| it.ended.is_none() && it.task.starts_with(job));
    let workers: BTreeSet<String> = runs.map(|it| it.worker.clone()).collect();
    workers.into_iter().collect()
}

fn has_free_worker(world: &World) -> bool {
    let running =
        |id: &str| world.runs.iter().filter(|it| it.ended.is_none() && it.worker == *id).count();
    let mut up = world.hosts_up("web").into_iter().filter_map(|it| world.worker(it));
    up.any(|it| running(&it.id) < FREE_TASKS)
}
