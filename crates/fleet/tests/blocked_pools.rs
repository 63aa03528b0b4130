//! Pools whose tasks cannot start, or start all together, do not keep the starts of others.

mod common;

use common::{Bench, WALL, config, cores, job, starts, step, worker};
use fuchsiamill_fleet::{
    Config, Ending, JobSpec, Order, Pool, Step, TaskId, WorkerInfo,
    coordinator::{StartReply, WaitReason},
    job::RouteSettings,
};
use fuchsiamill_model::units::WallTime;

/// The time between two placements.
const ROUND_MS: u64 = 100;

const BUSY: &str = "busy";
const CALM: &str = "calm";

/// A busy and a calm pool with a worker each, and pools without workers.
struct Pools {
    bench: Bench,
    /// The runs of the busy pool, which end before the next placement.
    runs: Vec<(TaskId, u32)>,
}

fn with_pools(names: &[String]) -> Config {
    let mut config = config();
    for name in names {
        let pool = Pool { name: name.as_str().into(), spare: false, health_probe: None };
        config.pools.insert(name.as_str().into(), pool);
    }
    config
}

fn in_pool(pool: &str, priority: u32, spec: JobSpec) -> JobSpec {
    let route = RouteSettings { pool: pool.into(), priority, ..spec.route.clone() };
    JobSpec { route, ..spec }
}

/// A job that is late, so that its tier is that of the others.
fn late(spec: JobSpec) -> JobSpec {
    JobSpec { accepted: WallTime(WALL.0 - 100_000), ..spec }
}

fn lasting(count: u32) -> JobSpec {
    job(vec![Step { long_running: true, ..step(count) }])
}

impl Pools {
    fn new(blocked: usize) -> Self {
        let mut names: Vec<String> = (0..blocked).map(|it| format!("a{it:02}")).collect();
        names.extend([BUSY.into(), CALM.into()]);
        let mut bench = Bench::with(with_pools(&names));
        for pool in [BUSY, CALM] {
            let capacity = cores(400);
            bench.add(WorkerInfo { pool: pool.into(), capacity, ..worker(pool) });
        }
        Self { bench, runs: Vec::new() }
    }

    fn accept_busy(&mut self, count: usize, spec: &JobSpec) {
        (0..count)
            .for_each(|it| self.bench.accept(&format!("b{it}"), in_pool(BUSY, 0, spec.clone())));
    }

    /// Places at most so many tasks; returns the jobs of those that start.
    fn round(&mut self, most: usize) -> Vec<String> {
        self.bench.wait(ROUND_MS);
        let ended: Vec<_> = self.runs.drain(..).map(|it| (it.0, it.1, Ending::Done)).collect();
        self.bench.report(BUSY, &[], &ended);
        self.bench.coordinator.tick(self.bench.now, WALL);
        self.bench.coordinator.place_at_most(most, self.bench.now);
        while self.bench.coordinator.next_commit().is_some() {
            self.bench.coordinator.committed(self.bench.now);
        }
        let started = starts(&self.bench.coordinator.take_orders());
        for (task, run, on) in &started {
            self.bench.coordinator.start_answered(task, *run, StartReply::Running, self.bench.now);
            if on == BUSY {
                self.runs.push((task.clone(), *run));
            }
        }
        started.into_iter().map(|it| it.0.job.to_string()).collect()
    }

    fn started_in(&mut self, id: &str, most: usize, rounds: usize) -> Option<usize> {
        (0..rounds).find(|_| self.round(most).iter().any(|it| it == id))
    }
}

/// Returns the round in which a task of the calm pool starts beside a busy pool and blocked ones.
fn beside_blocked(blocked: usize, task: &JobSpec, other: &JobSpec, most: usize) -> Option<usize> {
    let mut pools = Pools::new(blocked);
    for number in 0..blocked {
        let pool = format!("a{number:02}");
        pools.bench.accept(&format!("f{number}"), in_pool(&pool, 0, other.clone()));
    }
    pools.accept_busy(100, &late(job(vec![step(20)])));
    pools.round(8);
    pools.bench.accept("z", in_pool(CALM, 1, task.clone()));
    pools.started_in("z", most, 100)
}

/// The starts that are given one by one would go to pools that never start anything.
#[test]
fn pools_without_workers_do_not_keep_the_turns_of_others() {
    let short = (late(job(vec![step(1)])), late(job(vec![step(20)])));
    for (task, other) in [short, (lasting(1), lasting(20))] {
        for (blocked, most) in [(0, 8), (3, 8), (4, 8), (10, 8), (20, 8), (30, 16), (60, 128)] {
            let at = beside_blocked(blocked, &task, &other, most);
            let bound = (blocked + 2).div_ceil(most / 2);
            assert!(at.is_some_and(|it| it <= bound), "{blocked} {most}: {at:?}");
        }
    }
}

/// A full window has room for one start each time an answer arrives.
#[test]
fn single_starts_reach_all_pools() {
    let short = late(job(vec![step(1)]));
    let at = [1, 2, 3].map(|most| beside_blocked(0, &short, &short, most));
    assert!(at.iter().all(|it| it.is_some_and(|round| round <= 2)), "{at:?}");
}

#[test]
fn gangs_do_not_take_the_starts_of_other_pools() {
    let mut pools = Pools::new(0);
    pools.accept_busy(200, &job(vec![Step { gang: true, ..step(12) }]));
    pools.round(8);
    pools.bench.accept("z", in_pool(CALM, 1, lasting(1)));
    assert_eq!(pools.started_in("z", 8, 60), Some(0));
}

/// Among the pools with room the calm one has a tenth of the tasks that wait.
#[test]
fn starts_that_a_full_pool_leaves_are_divided_too() {
    let mut pools = Pools::new(1);
    for number in 0..100 {
        pools.bench.accept(&format!("f{number}"), in_pool("a00", 0, job(vec![step(1_000)])));
    }
    pools.accept_busy(50, &job(vec![step(20)]));
    pools.round(64);
    pools.bench.accept("z", in_pool(CALM, 1, job(vec![step(100)])));
    let first = pools.round(64).iter().filter(|it| *it == "z").count();
    assert!(first >= 6, "{first}");
}

#[test]
fn step_that_belongs_in_one_rack_is_not_spread_by_its_turns() {
    let mut bench = Bench::with(with_pools(&[BUSY.into(), CALM.into()]));
    bench.add(WorkerInfo { pool: BUSY.into(), capacity: cores(400), ..worker(BUSY) });
    for (rack, size) in [("rack-1", 2), ("rack-2", 8)] {
        let (labels, capacity) = (vec!["a".into(), rack.into()], cores(size));
        bench.add(WorkerInfo { pool: CALM.into(), capacity, labels, ..worker(rack) });
    }
    bench.accept("b", in_pool(BUSY, 0, job(vec![step(1_000)])));
    let together = Step { one_rack: true, ..step(8) };
    bench.accept("z", in_pool(CALM, 0, job(vec![together])));
    let mut pools = Pools { bench, runs: Vec::new() };
    (0..20).for_each(|_| drop(pools.round(16)));
    let live = pools.bench.coordinator.job("z").expect("a job").live_tasks();
    assert_eq!(live.len(), 8);
    assert!(live.iter().all(|it| it.1.worker == "rack-2"), "{live:?}");
}

/// Tasks that last would no longer ask for hosts, and give up the room that is held for them.
#[test]
fn step_without_a_turn_still_asks_for_hosts() {
    let mut pools = Pools::new(1);
    pools.bench.add(WorkerInfo { pool: "a00".into(), capacity: cores(8), ..worker("w") });
    let wide = Step { long_running: true, size: cores(8), ..step(4) };
    pools.bench.accept("f", in_pool("a00", 1, job(vec![wide])));
    let wanted = |pools: &Pools| {
        let needs = pools.bench.coordinator.pool_needs();
        needs.iter().find(|it| it.pool == "a00").map_or(0, |it| it.claim)
    };
    (0..30).for_each(|_| drop(pools.round(100)));
    pools.bench.coordinator.plan_hosts(pools.bench.now);
    let before = wanted(&pools);
    pools.accept_busy(100, &late(job(vec![step(20)])));
    for _ in 0..10 {
        pools.round(1);
        pools.bench.coordinator.plan_hosts(pools.bench.now);
        assert!(wanted(&pools) >= before, "{before}");
    }
    let waits: Vec<_> = pools.bench.coordinator.waiting_steps(pools.bench.now).collect();
    let reason = waits.iter().find(|it| it.step.job == "f").map(|it| it.reason);
    assert!(matches!(reason, Some(WaitReason::Room | WaitReason::Turn)), "{reason:?}");
}

/// The worker would have its next polls put off, and its ends would not be taken note of.
#[test]
fn acknowledgements_do_not_wait_for_what_is_placed_after_them() {
    for most in [64, 128, 512, 2_048] {
        let mut pools = Pools::new(0);
        let capacity = cores(60_000);
        pools.bench.add(WorkerInfo { pool: BUSY.into(), capacity, ..worker("huge") });
        pools.accept_busy(5_000, &job(vec![step(1)]));
        pools.bench.accept("z", in_pool(CALM, 0, job(vec![step(1)])));
        let mut run = None;
        let mut waited = 0;
        let acknowledged = (0..60).find(|_| {
            pools.bench.wait(ROUND_MS);
            pools.bench.coordinator.place_at_most(most, pools.bench.now);
            let _ = pools.bench.coordinator.next_commit();
            pools.bench.coordinator.committed(pools.bench.now);
            let orders = pools.bench.coordinator.take_orders();
            waited += usize::from(run.is_some());
            for (task, number, _) in starts(&orders) {
                let reply = StartReply::Running;
                pools.bench.coordinator.start_answered(&task, number, reply, pools.bench.now);
                if task.job == "z" {
                    pools.bench.report(CALM, &[], &[(task.clone(), number, Ending::Done)]);
                    run = Some(task);
                }
            }
            let is_end =
                |it: &Order| matches!(it, Order::Acknowledge { worker, .. } if worker == CALM);
            orders.iter().any(is_end)
        });
        assert!(
            acknowledged.is_some() && waited <= 3,
            "{most}: {acknowledged:?}, {waited} commits"
        );
    }
}
