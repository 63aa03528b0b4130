//! A throttled task is released once there is room, also after a change of owner or a lost order.

use std::collections::BTreeMap;

use fuchsiamill_model::{
    Host, HostState, JobId, Moment, Resources, TeamName, WallTime,
    task::{Fence, TaskOrder, WorkerAnswer, WorkerSync},
    team::Urgency,
};
use fuchsiamill_policy::jobs::{
    AnswerOutcome, Begun, Cancel, JobCore, JobRow, JobSpec, Proposal, Rerun, Scheduler, Stage,
    Timing, Weight, WriteId,
};
use fuchsiamill_standin::worker::Agent;

const TIMING: Timing = Timing { lease: 5_000 };
const STEP_MS: u64 = 100;
/// How far the worker's usage figures lag behind the task.
const USAGE_LAG_MS: u64 = 300;

fn host() -> Host {
    let addr = "127.0.0.1:1".parse().unwrap();
    Host {
        name: "h".parse().unwrap(),
        pool: "p".parse().unwrap(),
        rack: "r".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        region: "r".parse().unwrap(),
        backend: addr,
        worker: addr,
        slots: 8,
        connections: 64,
        resources: Resources { millicores: 4_000, memory_mib: 8_000, accelerators: 0 },
        state: HostState::Serving,
    }
}

/// A simulation of one owner and one worker.
struct Sim {
    owner: Scheduler,
    agent: Agent,
    now: u64,
    rows: BTreeMap<JobId, (JobRow, u64)>,
    used: BTreeMap<JobId, u32>,
}

impl Sim {
    fn new() -> Self {
        Self {
            owner: owner(Fence(1), 0),
            agent: Agent::new("b".parse().unwrap(), USAGE_LAG_MS),
            now: 0,
            rows: BTreeMap::new(),
            used: BTreeMap::new(),
        }
    }

    fn submit(&mut self, id: &str, declared: u32, uses: u32, run_ms: u64) {
        let id: JobId = id.parse().unwrap();
        let uses = format!(r#""uses":{{"millicores":{uses},"memory_mib":100,"accelerators":0}}"#);
        let spec = JobSpec {
            kind: id.as_str().parse().unwrap(),
            resources: Resources { millicores: declared, memory_mib: 100, accelerators: 0 },
            run_time: run_ms,
            payload: format!(r#"{{"run_ms":{run_ms},{uses}}}"#),
            rerun: Rerun::AtMostOnce,
        };
        let core = JobCore {
            id: id.clone(),
            pool: "p".parse().unwrap(),
            team: "t".parse().unwrap(),
            spec,
            accepted_at: WallTime(0),
            attempt: 0,
            begun: Begun::Never,
            failed_on: Vec::new(),
            cancel: Cancel::No,
            writes: vec![WriteId("w".into())],
        };
        let row = JobRow::accepted(core);
        self.rows.insert(id, (row.clone(), 1));
        self.owner.begin_read();
        self.owner.end_partial_read(vec![(row, 1)]);
    }

    fn change_owner(&mut self) {
        self.owner = owner(Fence(2), self.now);
        self.owner.begin_read();
        self.owner.end_read(self.rows.values().cloned().collect());
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        let orders = self.owner.orders(&host().name);
        self.deliver(orders);
    }

    fn deliver(&mut self, orders: WorkerSync) {
        let (now, name) = (Moment(self.now), host().name);
        let mut ids = || WriteId("w".into());
        let answer = self.agent.sync(orders, now);
        self.note_usage(&answer);
        let outcome = self.owner.on_answer(&name, answer, &mut ids, now);
        let AnswerOutcome::Propose(ends) = outcome else { panic!("superseded") };
        self.commit(ends);
        self.owner.refresh_workers(now);
        let weight = |_: &TeamName| Some(Weight { share: 1, urgency: Urgency::Normal });
        let starts = self.owner.place_next(8, weight, |_| 8, &mut ids, now);
        self.commit(starts);
    }

    fn note_usage(&mut self, answer: &WorkerAnswer) {
        let WorkerAnswer::Report { tasks, .. } = answer else { return };
        let used = tasks.iter().filter_map(|it| Some((it, it.usage?.peak.millicores)));
        self.used = used.map(|(it, used)| (it.task.job.clone(), used)).collect();
    }

    fn commit(&mut self, proposals: Vec<Proposal>) {
        for Proposal { version, row, .. } in proposals {
            let id = row.core.id.clone();
            self.owner.committed(&id, version + 1);
            match row.stage {
                Stage::Ended(_) => drop(self.rows.remove(&id)),
                _ => drop(self.rows.insert(id, (row, version + 1))),
            }
        }
    }

    fn used(&self, id: &str) -> u32 {
        self.used.get(&id.parse::<JobId>().unwrap()).copied().unwrap_or(0)
    }
}

fn owner(fence: Fence, now: u64) -> Scheduler {
    let mut owner = Scheduler::new("p".parse().unwrap(), fence, TIMING, Moment(now));
    owner.set_hosts([host()].iter());
    owner
}

/// Runs a task that uses the whole host and exceeds its reservation beside one that needs half of the host for 3 s.
fn with_throttled_task() -> Sim {
    let mut sim = Sim::new();
    sim.submit("greedy", 1_000, 4_000, 60_000);
    sim.submit("short", 2_000, 2_000, 3_000);
    sim.run(1_500);
    assert_eq!(sim.used("greedy"), 1_000, "not throttled");
    sim
}

#[test]
fn throttled_task_is_released_when_there_is_room() {
    let mut sim = with_throttled_task();
    sim.run(1_000);
    assert_eq!(sim.used("greedy"), 1_000, "released beside the other task");
    sim.run(2_500);
    assert_eq!(sim.used("greedy"), 4_000);
}

#[test]
fn next_owner_releases_throttled_task() {
    let mut sim = with_throttled_task();
    sim.change_owner();
    sim.run(4_000);
    assert_eq!(sim.used("greedy"), 4_000);
}

#[test]
fn lost_release_is_ordered_again() {
    let mut sim = with_throttled_task();
    let releases =
        |it: &TaskOrder| matches!(it, TaskOrder::Throttle { to, .. } if to.millicores == 4_000);
    for _ in 0..40 {
        sim.now += STEP_MS;
        let orders = sim.owner.orders(&host().name);
        if orders.orders.iter().any(releases) {
            sim.run(1_000);
            assert_eq!(sim.used("greedy"), 4_000);
            return;
        }
        sim.deliver(orders);
    }
    panic!("never released");
}
