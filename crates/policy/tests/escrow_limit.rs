//! No random interleaving of holders, messages, table answers and faults takes a team's running work above its limit.

use std::collections::BTreeMap;

use fuchsiamill_model::{EntryName, FastMap, Incarnation, Millisecond, Moment, Units, Version};
use fuchsiamill_policy::escrow::{
    EscrowRow, EscrowTiming, GrantId, Holder, HolderId, LimitChange, LoanAnswer, LoanAsk,
    LoanRecall, LoanReturn, Reclaimer, Revision, Step, WriteOutcome,
};
use quickcheck::{Gen, QuickCheck};

const HOSTS: usize = 4;
const STEPS: usize = 1_500;
const TIMING: EscrowTiming = EscrowTiming {
    loan: 60,
    start_by: 15,
    deadline: 120,
    write_interval: 8,
    idle: 40,
    idle_loan: 20,
    standing: 0,
    drift_percent: 2,
};
const MICROSECONDS: u64 = 1_000;

#[derive(Clone)]
enum Msg {
    Ask(LoanAsk),
    Answer(LoanAnswer),
    Return(LoanReturn),
    Recall(LoanRecall),
    Release(GrantId),
    Read(EscrowRow, Revision),
    ReadFailed,
    ApplyWrite(Revision, EscrowRow),
    Wrote(EscrowRow, WriteOutcome),
    Apply(Version),
    Start(GrantId, Version, u64),
}

#[derive(Clone, Copy, PartialEq)]
enum ProcessState {
    Up,
    Paused,
    Stopping,
}

#[derive(Clone, Copy, PartialEq)]
enum RunLength {
    Longest,
    Mixed,
}

#[derive(Clone, Copy)]
enum Demand {
    Full,
    Peaks,
    Bursts,
}

struct Entry {
    holder: Holder,
    reclaimer: Reclaimer,
    state: ProcessState,
    in_view: bool,
    lost_standing: bool,
    incarnation: u64,
    applied: Version,
    clock_rate: u64,
    clock_offset: u64,
    next_grant: u64,
}

struct Run {
    issuer: usize,
    incarnation: u64,
    grant: GrantId,
    end: u64,
}

struct Simulation {
    rng: fastrand::Rng,
    now: u64,
    entries: Vec<Entry>,
    row: EscrowRow,
    revision: u64,
    table_down: bool,
    fault_one_in: u32,
    base: Units,
    loss_percent: u8,
    run_length: RunLength,
    demand: Demand,
    limits: BTreeMap<Version, Units>,
    messages: Vec<(u64, usize, u64, Msg)>,
    runs: Vec<Run>,
    starts: u64,
    loans: u64,
    hosts_left: u64,
}

fn name(at: usize) -> EntryName {
    format!("e{at}").parse().expect("a valid name")
}

fn incarnation(number: u64) -> Incarnation {
    format!("i{number}").parse().expect("a valid name")
}

fn holder(at: usize, number: u64, applied: Version) -> Holder {
    let id = HolderId { entry: name(at), incarnation: incarnation(number), term: 0 };
    Holder::new(id, TIMING, applied)
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let limit = rng.u32(1..20);
        let base = if rng.bool() { limit / HOSTS as Units } else { 0 };
        let loss_percent = [0, 2, 12][rng.usize(0..3)];
        let run_length = [RunLength::Longest, RunLength::Mixed][rng.usize(0..2)];
        let demand = [Demand::Full, Demand::Peaks, Demand::Bursts][rng.usize(0..3)];
        let fault_one_in = [1, 5, 20][rng.usize(0..3)];
        let entries = (0..HOSTS)
            .map(|at| Entry {
                holder: holder(at, 0, Version(0)),
                reclaimer: Reclaimer::default(),
                state: ProcessState::Up,
                in_view: true,
                lost_standing: false,
                incarnation: 0,
                applied: Version(0),
                clock_rate: rng.u64(991..=1009),
                clock_offset: rng.u64(0..1_000_000),
                next_grant: 0,
            })
            .collect();
        Self {
            rng,
            now: 0,
            entries,
            row: EscrowRow::new(limit, Version(0)),
            revision: 1,
            table_down: false,
            fault_one_in,
            base,
            loss_percent,
            run_length,
            demand,
            limits: BTreeMap::from([(Version(0), limit)]),
            messages: Vec::new(),
            runs: Vec::new(),
            starts: 0,
            loans: 0,
            hosts_left: 0,
        }
    }

    /// Returns the time on one host's clock, which runs up to 0.9 % fast or slow.
    fn clock(&self, at: usize) -> Moment {
        let entry = &self.entries[at];
        Moment((self.now * entry.clock_rate / 1_000 + entry.clock_offset) / MICROSECONDS)
    }

    /// Returns the real time, in microseconds, in which a host's clock advances by `span`.
    fn real(&self, at: usize, span: Millisecond) -> u64 {
        span * MICROSECONDS * 1_000 / self.entries[at].clock_rate
    }

    fn post(&mut self, to: usize, longest: Millisecond, msg: Msg) {
        let due = self.now + self.rng.u64(0..=longest * MICROSECONDS);
        let incarnation = self.entries[to].incarnation;
        self.messages.push((due, to, incarnation, msg));
    }

    fn is_lost(&mut self) -> bool {
        self.rng.u8(0..100) < self.loss_percent
    }

    /// Sends a message that may be lost, delayed or duplicated.
    fn send(&mut self, to: usize, msg: Msg) {
        let copies = match self.is_lost() {
            true => 0,
            false => 1 + usize::from(self.is_lost()),
        };
        for _ in 0..copies {
            let longest = if self.is_lost() { 300 } else { 10 };
            self.post(to, longest, msg.clone());
        }
    }

    fn run(&mut self) -> Result<(), String> {
        for _ in 0..STEPS {
            self.now += self.rng.u64(200..4 * MICROSECONDS);
            self.inject_fault();
            self.deliver()?;
            self.step_hosts();
        }
        Ok(())
    }

    fn inject_fault(&mut self) {
        if self.rng.u32(0..self.fault_one_in) != 0 {
            return;
        }
        let at = self.rng.usize(0..HOSTS);
        match self.rng.u32(0..400) {
            0..4 => self.entries[at].state = ProcessState::Paused,
            4..12 => self.unpause(at),
            12..14 => self.restart(at),
            14..18 => self.leave_view(at),
            18..30 if self.entries[at].state != ProcessState::Stopping => self.rejoin(at),
            30..32 => self.table_down = true,
            32..40 => self.table_down = false,
            40..44 => self.change_limit(),
            44..48 => {
                let units = self.rng.u32(1..4);
                if self.row.start_jobs(units) {
                    self.revision += 1;
                }
            }
            48..54 => {
                self.row.end_jobs(2);
                self.revision += 1;
            }
            54..58 => self.stop(at),
            _ => {}
        }
    }

    fn leave_view(&mut self, at: usize) {
        self.entries[at].in_view = false;
        self.entries[at].lost_standing = true;
    }

    fn unpause(&mut self, at: usize) {
        if self.entries[at].state == ProcessState::Paused {
            self.entries[at].state = ProcessState::Up;
        }
    }

    /// Stops a host gracefully; its holder goes on giving units back.
    fn stop(&mut self, at: usize) {
        if self.entries[at].state != ProcessState::Up {
            return;
        }
        self.leave_view(at);
        let entry = &mut self.entries[at];
        entry.state = ProcessState::Stopping;
        entry.holder.leave();
    }

    /// Performs the next steps of a stopping host. Its process restarts once all units were given back.
    fn step_stopping_host(&mut self, at: usize) {
        let now = self.clock(at);
        let steps = self.entries[at].holder.next(now, 0, &[]);
        for step in steps {
            self.perform(at, step);
        }
        if self.entries[at].holder.has_left() {
            self.hosts_left += 1;
            self.restart(at);
        }
    }

    fn rejoin(&mut self, at: usize) {
        let newest = *self.limits.keys().next_back().expect("the first limit");
        self.entries[at].in_view = true;
        if self.entries[at].applied < newest {
            self.apply(at, newest);
        }
    }

    fn restart(&mut self, at: usize) {
        let newest = *self.limits.keys().next_back().expect("the first limit");
        let entry = &mut self.entries[at];
        entry.incarnation += 1;
        entry.state = ProcessState::Up;
        entry.holder = holder(at, entry.incarnation, newest);
        entry.reclaimer = Reclaimer::default();
        entry.applied = newest;
        entry.in_view = true;
        entry.lost_standing = false;
    }

    fn change_limit(&mut self) {
        if self.table_down {
            return;
        }
        let version = self.limits.keys().next_back().expect("the first limit").next();
        let limit = self.rng.u32(0..20);
        self.row.set_limit(limit, version);
        self.revision += 1;
        self.limits.insert(version, limit);
        for at in 0..HOSTS {
            self.post(at, 30, Msg::Apply(version));
        }
    }

    fn apply(&mut self, at: usize, version: Version) {
        let entry = &mut self.entries[at];
        let change = match version.0 - entry.applied.0 {
            1 if self.limits[&version] >= self.limits[&entry.applied] => LimitChange::Raised,
            _ => LimitChange::Lowered,
        };
        entry.applied = version;
        entry.holder.limit_changed(change, version);
        entry.holder.set_applied_version(version);
    }

    /// Returns the largest limit from the oldest version that a host in the view has applied to the newest version.
    fn limit_in_force(&self) -> Units {
        let serving = self.entries.iter().filter(|it| it.in_view);
        let oldest = serving.map(|it| it.applied).min().unwrap_or(Version(0));
        self.limits.range(oldest..).map(|(_, limit)| *limit).max().expect("a limit")
    }

    fn deliver(&mut self) -> Result<(), String> {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(due, ..)| *due <= self.now);
        self.messages = later;
        let mut due = due;
        due.sort_by_key(|(due, ..)| *due);
        for (_, to, incarnation, msg) in due {
            if let Msg::ApplyWrite(expected, row) = msg {
                self.apply_write(to, incarnation, expected, row);
                continue;
            }
            if self.entries[to].incarnation != incarnation {
                continue;
            }
            if self.entries[to].state == ProcessState::Paused {
                self.post(to, 5, msg);
                continue;
            }
            self.handle_lost_standing(to);
            self.handle(to, msg)?;
        }
        Ok(())
    }

    /// Reports a loss of standing to the holder; a host does this before anything else.
    fn handle_lost_standing(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        if std::mem::take(&mut entry.lost_standing) {
            entry.holder.lose_standing();
            entry.reclaimer.lose_standing();
        }
    }

    fn apply_write(&mut self, writer: usize, incarnation: u64, expected: Revision, row: EscrowRow) {
        let is_current = expected.0 == self.revision;
        let outcome = match (self.table_down, is_current) {
            (true, _) => WriteOutcome::Unknown,
            (false, false) => WriteOutcome::Conflict,
            (false, true) => {
                self.revision += 1;
                self.row = row.clone();
                WriteOutcome::Applied(Revision(self.revision))
            }
        };
        let is_lost = self.is_lost();
        let outcome = if is_lost { WriteOutcome::Unknown } else { outcome };
        if self.entries[writer].incarnation == incarnation {
            self.post(writer, 5, Msg::Wrote(row, outcome));
        }
    }

    fn handle(&mut self, to: usize, msg: Msg) -> Result<(), String> {
        let now = self.clock(to);
        let has_standing = self.entries[to].in_view;
        let holder = &mut self.entries[to].holder;
        match msg {
            Msg::Ask(ask) if has_standing => {
                let answer = holder.lend(now, &ask);
                self.loans += u64::from(answer.units);
                let borrower = self.index(&ask.id.borrower.entry);
                self.send(borrower, Msg::Answer(answer));
            }
            Msg::Answer(answer) => holder.handle_answer(now, &answer),
            Msg::Return(ret) => holder.handle_return(&ret),
            Msg::Recall(recall) => holder.handle_recall(now, &recall),
            Msg::Release(grant) => holder.release(grant),
            Msg::Read(row, revision) => holder.handle_read(row, revision),
            Msg::ReadFailed => holder.handle_read_failure(),
            Msg::Wrote(row, outcome) => holder.handle_write(row, outcome),
            Msg::Apply(version) if version > self.entries[to].applied => self.apply(to, version),
            Msg::Start(grant, version, until) if has_standing => {
                self.start(to, grant, version, until)?;
            }
            _ => {}
        }
        Ok(())
    }

    fn index(&self, entry: &EntryName) -> usize {
        (0..HOSTS).find(|at| &name(*at) == entry).expect("a host of the test")
    }

    /// Starts granted work at a backend server, as the entry host that asked for the grant does.
    fn start(
        &mut self,
        at: usize,
        grant: GrantId,
        granted_at: Version,
        until: u64,
    ) -> Result<(), String> {
        let issuer = (grant.0 % HOSTS as u64) as usize;
        let incarnation = grant.0 / 1_000_000;
        let is_newer = self.entries[at].applied > granted_at;
        if is_newer || self.now > until {
            return Ok(());
        }
        let latest = until + self.real(at, TIMING.deadline - TIMING.start_by);
        let is_longest = self.run_length == RunLength::Longest || self.rng.bool();
        let end = if is_longest { latest } else { self.rng.u64(self.now..=latest) };
        self.runs.retain(|run| run.end > self.now);
        self.runs.push(Run { issuer, incarnation, grant, end });
        self.starts += 1;
        let running = self.runs.len() as Units + self.row.job_units;
        let limit = self.limit_in_force();
        if running > limit {
            return Err(format!("{running} units in use of {limit} at {} us", self.now));
        }
        Ok(())
    }

    fn step_hosts(&mut self) {
        self.release_ended();
        for at in 0..HOSTS {
            if self.entries[at].state == ProcessState::Stopping {
                self.step_stopping_host(at);
                continue;
            }
            let entry = &self.entries[at];
            if entry.state == ProcessState::Paused || !entry.in_view {
                continue;
            }
            self.handle_lost_standing(at);
            self.run_holder(at);
        }
    }

    fn release_ended(&mut self) {
        let (ended, running): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.runs).into_iter().partition(|run| run.end <= self.now);
        self.runs = running;
        for run in ended {
            if self.entries[run.issuer].incarnation == run.incarnation {
                self.send(run.issuer, Msg::Release(run.grant));
            }
        }
    }

    fn run_holder(&mut self, at: usize) {
        let now = self.clock(at);
        let live: FastMap<EntryName, Incarnation> = (0..HOSTS)
            .filter(|it| self.entries[*it].in_view)
            .map(|it| (name(it), incarnation(self.entries[it].incarnation)))
            .collect();
        let peers: Vec<EntryName> = (0..HOSTS).filter(|it| *it != at).map(name).collect();
        let phase = self.now / (150 * MICROSECONDS) + at as u64;
        let queued = match self.demand {
            Demand::Full => 20,
            Demand::Peaks if phase.is_multiple_of(3) => self.rng.u32(5..30),
            Demand::Peaks => self.rng.u32(0..2),
            Demand::Bursts if self.rng.u8(0..20) == 0 => 20,
            Demand::Bursts => 0,
        };
        let base = self.base;
        let entry = &mut self.entries[at];
        if let Some(row) = entry.holder.row().cloned() {
            let ended = entry.reclaimer.observe(now, &row, &live, &TIMING);
            entry.holder.reclaim(ended);
        }
        entry.holder.set_base(base);
        let steps = entry.holder.next(now, queued, &peers);
        for step in steps {
            self.perform(at, step);
        }
        for _ in 0..queued.min(self.entries[at].holder.free(now)) {
            self.grant(at, now);
        }
    }

    fn perform(&mut self, at: usize, step: Step) {
        match step {
            Step::Read if self.table_down || self.is_lost() => {
                self.post(at, 5, Msg::ReadFailed);
            }
            Step::Read => {
                let (row, revision) = (self.row.clone(), Revision(self.revision));
                self.post(at, 5, Msg::Read(row, revision));
            }
            Step::Write { expected, row } => self.write(at, expected, row),
            Step::Ask(ask) => {
                let lender = self.index(&ask.lender);
                self.send(lender, Msg::Ask(ask));
            }
            Step::Return(ret) => {
                let lender = self.index(&ret.lender);
                self.send(lender, Msg::Return(ret));
            }
            Step::Recall(recall) => {
                let borrower = self.index(&recall.id.borrower.entry);
                self.send(borrower, Msg::Recall(recall));
            }
        }
    }

    /// Writes to the table. Some writes take effect long after their outcome was reported as unknown.
    fn write(&mut self, at: usize, expected: Revision, row: EscrowRow) {
        let incarnation = self.entries[at].incarnation;
        if self.rng.u8(0..8) != 0 {
            self.post(at, 5, Msg::ApplyWrite(expected, row));
            return;
        }
        self.post(at, 5, Msg::Wrote(row.clone(), WriteOutcome::Unknown));
        let due = self.now + self.rng.u64(5..60) * MICROSECONDS;
        self.messages.push((due, at, incarnation, Msg::ApplyWrite(expected, row)));
    }

    fn grant(&mut self, at: usize, now: Moment) {
        let asker = self.rng.usize(0..HOSTS);
        let entry = &mut self.entries[at];
        let number = entry.incarnation * 1_000_000 + entry.next_grant * HOSTS as u64 + at as u64;
        entry.next_grant += 1;
        let grant = GrantId(number);
        let until = now + TIMING.with_drift(TIMING.deadline);
        if entry.holder.charge(now, grant, until).is_none() {
            return;
        }
        let version = entry.applied;
        let start_by = self.now + self.real(asker, TIMING.start_by);
        let is_late = self.run_length == RunLength::Longest || self.rng.bool();
        let due = if is_late { start_by - 4 * MICROSECONDS } else { self.now };
        let incarnation = self.entries[asker].incarnation;
        if !self.is_lost() {
            self.messages.push((due, asker, incarnation, Msg::Start(grant, version, start_by)));
        }
    }
}

fn limit_holds(seed: u64) -> bool {
    let mut simulation = Simulation::new(seed);
    let result = simulation.run();
    if let Err(reason) = &result {
        println!("seed {seed}: {reason}");
    }
    result.is_ok()
}

#[test]
fn limit_is_never_exceeded() {
    let rng = Gen::from_size_and_seed(100, 20_261_204);
    QuickCheck::new().rng(rng).tests(400).quickcheck(limit_holds as fn(u64) -> bool);
}

#[test]
fn units_are_used_and_lent() {
    let (mut starts, mut loans, mut hosts_left) = (0, 0, 0);
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed);
        simulation.run().expect("the limit holds");
        starts += simulation.starts;
        loans += simulation.loans;
        hosts_left += simulation.hosts_left;
    }
    assert!(starts > 1_000, "only {starts} requests started");
    assert!(loans > 100, "only {loans} units were lent");
    assert!(hosts_left > 20, "only {hosts_left} stopped hosts gave all units back");
}
