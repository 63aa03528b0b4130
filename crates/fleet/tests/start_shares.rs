//! While more tasks wait than may be started at once, pools share the starts.

mod common;

use common::{Bench, config, cores, job, starts, step, worker};
use fuchsiamill_fleet::{
    Config, Ending, JobSpec, Pool, Step, TaskId, WorkerInfo,
    coordinator::{StartReply, WaitReason},
    job::RouteSettings,
};

/// The starts of one placement.
const MOST: usize = 8;

/// The time between two placements.
const ROUND_MS: u64 = 100;

const BUSY: &str = "busy";
const CALM: &str = "calm";

/// Two pools with a worker each.
struct Pools {
    bench: Bench,
    /// The runs of the busy pool.
    runs: Vec<(TaskId, u32)>,
    /// Whether these end before the next placement.
    do_end: bool,
}

fn pools() -> Config {
    let mut config = config();
    for name in [BUSY, CALM] {
        let pool = Pool { name: name.into(), spare: false, health_probe: None };
        config.pools.insert(name.into(), pool);
    }
    config
}

fn in_pool(pool: &str, priority: u32, spec: JobSpec) -> JobSpec {
    let route = RouteSettings { pool: pool.into(), priority, ..spec.route.clone() };
    JobSpec { route, ..spec }
}

impl Pools {
    /// Fills the worker of one pool and has more work wait there than its tasks make room for.
    fn new() -> Self {
        let mut bench = Bench::with(pools());
        for pool in [BUSY, CALM] {
            let capacity = cores(16);
            bench.add(WorkerInfo { pool: pool.into(), capacity, ..worker(pool) });
        }
        for number in 0..100 {
            bench.accept(&format!("b{number:03}"), in_pool(BUSY, 0, job(vec![step(10)])));
        }
        Self { bench, runs: Vec::new(), do_end: true }
    }

    /// Ends the runs of the busy pool and places tasks once. Returns the jobs whose tasks started.
    fn round(&mut self) -> Vec<String> {
        self.bench.wait(ROUND_MS);
        if self.do_end {
            let ended: Vec<_> = self.runs.drain(..).map(|it| (it.0, it.1, Ending::Done)).collect();
            self.bench.report(BUSY, &[], &ended);
        }
        self.bench.coordinator.place_at_most(MOST, self.bench.now);
        while self.bench.coordinator.next_commit().is_some() {
            self.bench.coordinator.committed(self.bench.now);
        }
        let started = starts(&self.bench.coordinator.take_orders());
        for (task, run, on) in &started {
            let reply = StartReply::Running;
            self.bench.coordinator.start_answered(task, *run, reply, self.bench.now);
            if on == BUSY {
                self.runs.push((task.clone(), *run));
            }
        }
        started.into_iter().map(|it| it.0.job.to_string()).collect()
    }

    /// Returns the round in which a task of the job starts, if one does within so many.
    fn started_in(&mut self, id: &str, rounds: usize) -> Option<usize> {
        (0..rounds).find(|_| self.round().iter().any(|it| it == id))
    }
}

#[test]
fn idle_worker_of_a_pool_is_not_left_without_starts_by_another_pool() {
    let mut pools = Pools::new();
    pools.round();
    let spec = Step { size: cores(4), ..step(2) };
    pools.bench.accept("z", in_pool(CALM, 0, job(vec![spec])));
    assert_eq!(pools.started_in("z", 3), Some(0));
}

#[test]
fn lasting_task_of_a_less_urgent_queue_is_not_left_waiting_beside_its_idle_worker() {
    let mut pools = Pools::new();
    pools.round();
    let lasting = Step { long_running: true, ..step(2) };
    pools.bench.accept("z", in_pool(CALM, 1, job(vec![lasting])));
    assert_eq!(pools.started_in("z", 3), Some(0));
}

#[test]
fn full_pool_leaves_its_starts_to_others() {
    let mut pools = Pools::new();
    pools.do_end = false;
    assert_eq!((pools.round().len(), pools.round().len()), (MOST, MOST));
    pools.bench.accept("z", in_pool(CALM, 1, job(vec![step(16)])));
    let counts: Vec<usize> =
        (0..3).map(|_| pools.round().iter().filter(|it| *it == "z").count()).collect();
    assert_eq!(counts, [MOST, MOST, 0]);
}

#[test]
fn busy_pool_is_not_held_back_by_one_that_has_no_room() {
    let mut pools = Pools::new();
    let lasting = Step { long_running: true, size: cores(16), ..step(1) };
    pools.bench.accept("y", in_pool(CALM, 0, job(vec![lasting])));
    pools.round();
    pools.bench.accept("z", in_pool(CALM, 0, job(vec![step(1_000)])));
    assert_eq!(pools.round().len(), MOST);
}

/// The reason of the last placement that looked at a step would send operators to look for room.
#[test]
fn step_that_is_not_looked_at_tells_that_it_waits_for_its_turn() {
    let mut pools = Pools::new();
    pools.bench.accept("z", in_pool(BUSY, 1, job(vec![step(1)])));
    pools.round();
    let waits: Vec<_> = pools.bench.coordinator.waiting_steps(pools.bench.now).collect();
    let last = waits.iter().find(|it| it.step.job == "z").map(|it| it.reason);
    assert_eq!(last, Some(WaitReason::Turn));
}

#[test]
fn single_task_is_not_passed_over_for_the_work_of_many_pools() {
    let mut pools = Pools::new();
    let names: Vec<String> = (0..30).map(|it| format!("p{it:02}")).collect();
    let mut config = self::pools();
    for name in names.iter().map(String::as_str) {
        let pool = Pool { name: name.into(), spare: false, health_probe: None };
        config.pools.insert(name.into(), pool);
    }
    pools.bench.coordinator.configure(config.into());
    for name in names.iter().map(String::as_str) {
        let capacity = cores(1_000);
        pools.bench.add(WorkerInfo { pool: name.into(), capacity, ..worker(name) });
        pools.bench.accept(&format!("j-{name}"), in_pool(name, 0, job(vec![step(900)])));
    }
    pools.round();
    pools.bench.accept("z", in_pool(CALM, 1, job(vec![step(1)])));
    let rounds = (names.len() + 2).div_ceil(MOST / 2);
    assert!(pools.started_in("z", rounds).is_some());
}
