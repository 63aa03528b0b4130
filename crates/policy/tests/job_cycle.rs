//! Job scheduling under lost answers, late writes, late orders, worker restarts and changes of owner.

use std::collections::BTreeMap;

use fuchsiamill_model::{
    FastMap, Host, HostName, HostState, Incarnation, JobId, Moment, Resources, RunState, TeamName,
    Units, WallTime,
    task::{Fence, TaskState, WorkerAnswer, WorkerSync},
    team::Urgency,
};
use fuchsiamill_policy::jobs::{
    AnswerOutcome, Begun, Cancel, Ended, Job, JobCore, JobRow, JobSpec, Proposal, Rerun,
    Resolution, Scheduler, Stage, Timing, UnitChange, Waiting, Weight, WriteId, resolve,
};
use fuchsiamill_standin::worker::{Agent, Conduct, Run, RunEnd};
use quickcheck::{Gen, QuickCheck};

const HOSTS: usize = 4;
const LIMIT: Units = 3;
const TIMING: Timing = Timing { lease: 5_000 };
const EVENTS: usize = 400;
/// Rates of the workers' clocks relative to the owner's, in thousandths.
const RATES: [u64; HOSTS] = [985, 1_000, 1_000, 1_015];

fn host(n: usize) -> Host {
    let addr = "127.0.0.1:1".parse().unwrap();
    Host {
        name: format!("h{n}").parse().unwrap(),
        pool: "p".parse().unwrap(),
        rack: format!("r{}", n / 2).parse().unwrap(),
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

#[derive(Clone, Copy, PartialEq)]
enum Faults {
    On,
    Off,
}

struct Sim {
    rng: fastrand::Rng,
    faults: Faults,
    now: u64,
    rows: BTreeMap<JobId, (JobRow, u64)>,
    ended: BTreeMap<JobId, JobRow>,
    units: FastMap<TeamName, Units>,
    fence: Fence,
    versions: u64,
    writes: u64,
    owner: Scheduler,
    hosts: Vec<Host>,
    agents: Vec<Agent>,
    past_runs: Vec<Run>,
    late_orders: Vec<(usize, WorkerSync)>,
    late_writes: Vec<(Fence, Proposal)>,
    retries: Vec<Proposal>,
    read: Option<Vec<(JobRow, u64)>>,
    boots: u64,
    limit: Units,
}

impl Sim {
    fn new(seed: u64) -> Self {
        let hosts: Vec<Host> = (0..HOSTS).map(host).collect();
        let mut owner = Scheduler::new("p".parse().unwrap(), Fence(1), TIMING, Moment(0));
        owner.set_hosts(hosts.iter());
        let agent = |n: usize| Agent::new(format!("b{n}").parse().unwrap(), 300);
        Self {
            rng: fastrand::Rng::with_seed(seed),
            faults: Faults::On,
            now: 0,
            rows: BTreeMap::new(),
            ended: BTreeMap::new(),
            units: FastMap::default(),
            fence: Fence(1),
            versions: 0,
            writes: 0,
            owner,
            hosts,
            agents: (0..HOSTS).map(agent).collect(),
            past_runs: Vec::new(),
            late_orders: Vec::new(),
            late_writes: Vec::new(),
            retries: Vec::new(),
            read: None,
            boots: HOSTS as u64,
            limit: LIMIT,
        }
    }

    fn agent_now(&self, n: usize) -> Moment {
        Moment(self.now * RATES[n] / 1_000 + 7_777 * n as u64)
    }

    fn submit_sized(&mut self, team: &str, millicores: u32, run_ms: u64) -> JobId {
        self.submit();
        let job = self.rows.iter().max_by_key(|(_, (_, version))| *version).unwrap().0.clone();
        let core = &mut self.rows.get_mut(&job).unwrap().0.core;
        core.team = team.parse().unwrap();
        core.spec.resources.millicores = millicores;
        core.spec.payload = format!(
            r#"{{"run_ms":{run_ms},"uses":{{"millicores":{millicores},"memory_mib":500}}}}"#
        );
        job
    }

    fn submit(&mut self) {
        let id: JobId = format!("j{}", self.rows.len() + self.ended.len()).parse().unwrap();
        let run_ms = self.rng.u64(0..8_000);
        let rerun = if self.rng.bool() { Rerun::Idempotent } else { Rerun::AtMostOnce };
        let spec = JobSpec {
            kind: "k".parse().unwrap(),
            resources: Resources {
                millicores: self.rng.u32(100..4_400),
                memory_mib: 500,
                accelerators: 0,
            },
            run_time: 1,
            payload: format!(r#"{{"run_ms":{run_ms},"fails":{}}}"#, self.rng.u8(0..10) == 0),
            rerun,
        };
        let core = JobCore {
            id: id.clone(),
            pool: "p".parse().unwrap(),
            team: format!("t{}", self.rng.u8(0..2)).parse().unwrap(),
            spec,
            accepted_at: WallTime(0),
            attempt: 0,
            begun: Begun::Never,
            failed_on: Vec::new(),
            cancel: Cancel::No,
            writes: vec![WriteId(format!("accept-{id}"))],
        };
        self.versions += 1;
        self.rows.insert(id, (JobRow::accepted(core), self.versions));
    }

    fn cancel(&mut self) {
        let Some(job) = self.rng.choice(self.rows.keys().cloned().collect::<Vec<_>>()) else {
            return;
        };
        let (row, version) = self.rows[&job].clone();
        self.writes += 1;
        let write = WriteId(format!("c{}", self.writes));
        let row: JobRow = match Job::<Waiting>::try_from(row.clone()) {
            Ok(waiting) => waiting.cancel(write).into(),
            Err(_) => Job::<fuchsiamill_policy::jobs::Running>::try_from(row)
                .unwrap()
                .request_cancel(write)
                .into(),
        };
        let proposal = Proposal { version, row, unit: UnitChange::None };
        assert!(self.write(self.fence, &proposal));
    }

    /// Makes one conditional write of several rows, as the table does; returns whether it took effect.
    fn write(&mut self, fence: Fence, proposal: &Proposal) -> bool {
        let job = &proposal.row.core.id;
        let matches = self.rows.get(job).is_some_and(|(_, version)| *version == proposal.version);
        if fence != self.fence || !matches {
            return false;
        }
        let units = self.units.entry(proposal.row.core.team.clone()).or_default();
        if proposal.unit == UnitChange::Take && *units >= self.limit {
            return false;
        }
        match proposal.unit {
            UnitChange::Take => *units += 1,
            UnitChange::GiveBack => *units -= 1,
            UnitChange::None => (),
        }
        self.versions += 1;
        if matches!(proposal.row.stage, Stage::Ended(_)) {
            self.rows.remove(job);
            self.ended.insert(job.clone(), proposal.row.clone());
        } else {
            self.rows.insert(job.clone(), (proposal.row.clone(), self.versions));
        }
        true
    }

    fn is_full(&self, proposal: &Proposal) -> bool {
        let units = self.units.get(&proposal.row.core.team).copied().unwrap_or(0);
        proposal.unit == UnitChange::Take && units >= self.limit
    }

    fn row_now(&self, job: &JobId) -> Option<(JobRow, u64)> {
        let ended = self.ended.get(job).map(|row| (row.clone(), u64::MAX));
        self.rows.get(job).cloned().or(ended)
    }

    fn write_all(&mut self, proposals: Vec<Proposal>) {
        for proposal in proposals {
            let job = proposal.row.core.id.clone();
            let fate = if self.faults == Faults::On { self.rng.u8(0..8) } else { 0 };
            match fate {
                7 => self.late_writes.push((self.owner.fence(), proposal.clone())),
                _ => {
                    self.write(self.owner.fence(), &proposal);
                }
            }
            // Every answer counts as lost, so the outcome is read back.
            let write = proposal.row.core.writes.last().unwrap();
            let now = self.row_now(&job);
            let version = now.as_ref().map_or(0, |(_, version)| *version);
            match resolve(proposal.version, write, now.as_ref().map(|(row, it)| (row, *it))) {
                Resolution::TookEffect => self.owner.committed(&job, version),
                Resolution::Unchanged if self.is_full(&proposal) => {
                    // The escrow row that refuses the write has a newer version, so a late copy cannot take effect.
                    self.late_writes.retain(|(_, it)| *it != proposal);
                    self.owner.rejected(&job);
                }
                Resolution::Unchanged => self.retries.push(proposal),
                Resolution::Overtaken => {
                    self.owner.overtaken(&job, self.rows.get(&job).cloned());
                }
            }
        }
    }

    /// Ends the read that is under way, with the rows as they were when it began, and begins the next one.
    fn refresh(&mut self) {
        if let Some(rows) = self.read.take() {
            self.owner.end_read(rows);
        }
        self.owner.begin_read();
        self.read = Some(self.rows.values().cloned().collect());
        if self.faults == Faults::Off {
            self.owner.end_read(self.read.take().unwrap());
        }
    }

    fn step_owner(&mut self) {
        let retries = std::mem::take(&mut self.retries);
        self.write_all(retries);
        self.refresh();
        let now = Moment(self.now);
        let mut writes = self.writes;
        let mut ids = id_source(&mut writes);
        let mut proposals = self.owner.give_up_lapsed(&mut ids, now);
        self.owner.refresh_workers(now);
        let units = &self.units;
        let room = |team: &TeamName| self.limit - units.get(team).copied().unwrap_or(0);
        let weight = |_: &TeamName| Some(Weight { share: 1, urgency: Urgency::Normal });
        proposals.extend(self.owner.place_next(4, weight, room, &mut ids, now));
        drop(ids);
        self.writes = writes;
        self.write_all(proposals);
    }

    fn sync_host(&mut self, n: usize) {
        let name: HostName = self.hosts[n].name.clone();
        let sync = self.owner.orders(&name);
        let fate = if self.faults == Faults::On { self.rng.u8(0..6) } else { 0 };
        match fate {
            5 => self.late_orders.push((n, sync)),
            4 => {
                let now = self.agent_now(n);
                self.agents[n].sync(sync, now);
            }
            _ => {
                let now = self.agent_now(n);
                let answer = self.agents[n].sync(sync, now);
                self.on_answer(&name, answer);
            }
        }
    }

    fn on_answer(&mut self, name: &HostName, answer: WorkerAnswer) {
        let outcome = {
            let mut ids = id_source(&mut self.writes);
            self.owner.on_answer(name, answer, &mut ids, Moment(self.now))
        };
        match outcome {
            AnswerOutcome::Propose(proposals) => self.write_all(proposals),
            AnswerOutcome::Superseded(_) => panic!("the newest owner was superseded"),
        }
    }

    fn take_over(&mut self) {
        self.retries.clear();
        self.read = None;
        self.fence = Fence(self.fence.0 + 1);
        let pool = self.owner.pool().clone();
        self.owner = Scheduler::new(pool, self.fence, TIMING, Moment(self.now));
        self.owner.set_hosts(self.hosts.iter());
        self.owner.begin_read();
        self.owner.end_read(self.rows.values().cloned().collect());
    }

    fn restart_worker(&mut self, n: usize) {
        let now = self.agent_now(n);
        self.agents[n].restart(now);
        self.boots += 1;
        let boot: Incarnation = format!("b{}", self.boots).parse().unwrap();
        let old = std::mem::replace(&mut self.agents[n], Agent::new(boot, 300));
        self.past_runs.extend(old.record().iter().cloned());
    }

    fn event(&mut self) {
        match self.rng.u8(0..24) {
            0..=5 => self.now += self.rng.u64(0..1_500),
            6..=7 if self.rows.len() < 30 => self.submit(),
            8 => self.cancel(),
            9..=12 => self.step_owner(),
            13..=19 => {
                let n = self.rng.usize(0..HOSTS);
                self.sync_host(n);
            }
            20 if self.rng.u8(0..4) == 0 => self.take_over(),
            21 if self.rng.u8(0..4) == 0 => {
                let n = self.rng.usize(0..HOSTS);
                self.restart_worker(n);
            }
            22 if !self.late_orders.is_empty() => {
                let at = self.rng.usize(0..self.late_orders.len());
                let (n, sync) = self.late_orders.swap_remove(at);
                let now = self.agent_now(n);
                self.agents[n].sync(sync, now);
            }
            23 if !self.late_writes.is_empty() => {
                let at = self.rng.usize(0..self.late_writes.len());
                let (fence, proposal) = self.late_writes.swap_remove(at);
                self.write(fence, &proposal);
            }
            _ => {
                let n = self.rng.usize(0..HOSTS);
                let state = if self.rng.bool() { HostState::Serving } else { HostState::Draining };
                self.hosts[n].state = state;
                self.owner.set_hosts(self.hosts.iter());
            }
        }
    }

    fn check(&mut self) {
        for n in 0..HOSTS {
            let now = self.agent_now(n);
            self.agents[n].advance(now);
        }
        let mut held: FastMap<TeamName, Units> = FastMap::default();
        for (row, _) in self.rows.values() {
            *held.entry(row.core.team.clone()).or_default() += row.units();
        }
        for (team, units) in &self.units {
            assert_eq!(held.get(team).copied().unwrap_or(0), *units, "units of {team}");
        }
        for run in self.agents.iter().flat_map(|it| it.record()).filter(|it| it.ended.is_none()) {
            let row = self.rows.get(&run.task.job).map(|(row, _)| row);
            let runs = row.is_some_and(|it| it.units() == 1 && it.core.task() == run.task);
            assert!(runs, "{:?} runs but its row is {row:?}", run.task);
        }
    }

    fn runs_of(&self, job: &JobId) -> Vec<&Run> {
        let now = self.agents.iter().flat_map(|it| it.record());
        self.past_runs.iter().chain(now).filter(|it| &it.task.job == job).collect()
    }

    fn check_ends(&self) {
        for (job, row) in &self.ended {
            let Stage::Ended(ended) = &row.stage else { unreachable!() };
            let runs = self.runs_of(job);
            let with = |end| runs.iter().any(|it| it.ended.is_some_and(|(_, it)| it == end));
            let not_run = match ended {
                Ended::Refused { problem } => problem.run == RunState::NotRun,
                Ended::Cancelled { run } => *run == RunState::NotRun,
                _ => false,
            };
            assert!(!not_run || runs.is_empty(), "{job} was reported as not run but ran");
            assert!(!matches!(ended, Ended::Finished { .. }) || with(RunEnd::Finished), "{job}");
            assert!(!matches!(ended, Ended::Failed { .. }) || with(RunEnd::Failed), "{job}");
            if row.core.spec.rerun == Rerun::AtMostOnce {
                let resumed =
                    |it: &&&Run| it.ended.is_none_or(|(_, end)| end != RunEnd::Checkpointed);
                assert!(runs.iter().filter(resumed).count() <= 1, "{job} ran twice: {runs:?}");
                let fresh = runs.iter().filter(|it| it.checkpoint.is_none()).count();
                assert!(fresh <= 1, "{job} began twice: {runs:?}");
            }
        }
    }

    fn settle(&mut self) {
        self.faults = Faults::Off;
        self.hosts.iter_mut().for_each(|it| it.state = HostState::Serving);
        self.owner.set_hosts(self.hosts.iter());
        for _ in 0..2_000 {
            if self.rows.is_empty() {
                return;
            }
            self.now += 500;
            self.step_owner();
            (0..HOSTS).for_each(|n| self.sync_host(n));
            self.check();
        }
        panic!("jobs never ended: {:?}", self.rows);
    }
}

fn id_source(writes: &mut u64) -> impl FnMut() -> WriteId {
    move || {
        *writes += 1;
        WriteId(format!("w{writes}"))
    }
}

fn keeps_invariants(seed: u64) -> bool {
    println!("seed {seed}");
    let mut sim = Sim::new(seed);
    for _ in 0..EVENTS {
        sim.event();
        sim.check();
    }
    sim.settle();
    sim.check_ends();
    true
}

#[test]
fn invariants_hold_under_faults() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 20_261))
        .tests(400)
        .quickcheck(keeps_invariants as fn(u64) -> bool);
}

#[test]
fn worker_that_fails_everything_is_ejected() {
    let mut sim = Sim::new(1);
    sim.faults = Faults::Off;
    sim.agents[0].set_conduct(Conduct::FailsEverything);
    for _ in 0..40 {
        sim.submit();
    }
    sim.settle();
    sim.check_ends();
    let failed = |it: &&Run| it.ended.is_some_and(|(_, it)| it == RunEnd::Failed);
    let there = sim.agents[0].record().iter().filter(failed).count();
    let finished =
        sim.ended.values().filter(|it| matches!(it.stage, Stage::Ended(Ended::Finished { .. })));
    assert!(there < 10, "{there} tasks failed on the broken worker");
    assert!(finished.count() >= 20);
}

#[test]
fn order_with_old_ticket_starts_nothing() {
    let mut agent = Agent::new("b".parse().unwrap(), 0);
    let mut sim = Sim::new(3);
    sim.submit();
    let first = sim.owner.orders(&"h0".parse().unwrap());
    let WorkerAnswer::Report { ticket, .. } = agent.sync(first.clone(), Moment(0)) else {
        panic!("fenced")
    };
    let (row, _) = sim.rows.values().next().unwrap().clone();
    let start = fuchsiamill_model::task::TaskStart {
        task: row.core.task(),
        payload: String::new(),
        resources: row.core.spec.resources,
        checkpoint: None,
    };
    let orders = vec![fuchsiamill_model::task::TaskOrder::Start(start)];
    let late = WorkerSync { ticket: Some(ticket), orders, ..first };
    let WorkerAnswer::Report { tasks, .. } = agent.sync(late, Moment(TIMING.lease)) else {
        panic!("fenced")
    };
    assert_eq!(tasks[0].state, TaskState::NotStarted);
    assert!(agent.record().is_empty());
}

#[test]
fn large_job_is_not_starved() {
    let mut sim = Sim::new(9);
    sim.faults = Faults::Off;
    sim.limit = 1_000;
    let mut sizes = fastrand::Rng::with_seed(9);
    let mut large: Option<JobId> = None;
    // Small jobs of another team arrive faster than they end and take all free room.
    for round in 0..1_000 {
        while sim.rows.len() < 120 {
            sim.submit_sized("t0", sizes.u32(300..500), sizes.u64(500..9_000));
        }
        if round == 50 {
            large = Some(sim.submit_sized("t1", 3_900, 1_000));
        }
        if large.as_ref().is_some_and(|it| sim.ended.contains_key(it)) {
            return;
        }
        sim.now += 100;
        sim.step_owner();
        (0..HOSTS).for_each(|n| sim.sync_host(n));
        sim.check();
    }
    panic!("the large job still waits");
}
