//! Entry hosts race for claims on the same keys, with a table that loses and delays writes.

use std::collections::BTreeMap;

use fuchsiamill_model::{Incarnation, Moment, ServiceName, TeamName, WallTime};
use fuchsiamill_policy::claims::{
    Batch, Batcher, Bounds, Claim, ClaimId, ClaimKey, ClaimOutcome, ClaimRow, Found, Held,
    IdempotencyKey, Op, Outcome, Progress, RequestDigest, RowVersion, Scope, Sent, Step, Submitted,
    Write,
};
use quickcheck::{Gen, QuickCheck};

const HOSTS: usize = 3;
const KEYS: usize = 3;
const STEPS: usize = 400;
const GIVE_UP_AFTER_MS: u64 = 300;

const BOUNDS: Bounds =
    Bounds { writes_per_second: 50, burst: 10, rows_per_write: 4, waiting: 64, remembered: 2 };

/// A model of the table: batches are atomic, and a row version is never used twice.
#[derive(Default)]
struct Table {
    rows: BTreeMap<ClaimKey, (ClaimRow, RowVersion)>,
    version: RowVersion,
}

impl Table {
    fn write(&mut self, batch: &Batch) -> Outcome {
        let failed: Vec<Found> = batch
            .ops
            .iter()
            .filter(|op| !self.condition_holds(op))
            .map(|op| self.found(op))
            .collect();
        if !failed.is_empty() {
            return Outcome::Conflict(failed);
        }
        Outcome::Written(batch.ops.iter().map(|op| self.put(op)).collect())
    }

    fn condition_holds(&self, op: &Op) -> bool {
        let version = self.rows.get(&op.key).map(|(_, version)| *version);
        match &op.write {
            Write::Insert(_) => version.is_none(),
            Write::Replace(_, needed) | Write::Delete(needed) => version == Some(*needed),
        }
    }

    fn found(&self, op: &Op) -> Found {
        Found { op: op.id, row: self.rows.get(&op.key).cloned() }
    }

    fn put(&mut self, op: &Op) -> RowVersion {
        self.version += 1;
        match &op.write {
            Write::Insert(row) | Write::Replace(row, _) => {
                self.rows.insert(op.key.clone(), (row.clone(), self.version));
            }
            Write::Delete(_) => {
                self.rows.remove(&op.key);
            }
        }
        self.version
    }
}

struct Host {
    name: usize,
    restarts: usize,
    batcher: Batcher,
    in_flight: Option<Batch>,
    held: Vec<(ClaimKey, Claim<Held>)>,
    sent: Vec<(ClaimKey, Claim<Sent>)>,
}

impl Host {
    fn new(name: usize, restarts: usize) -> Self {
        let batcher = Batcher::new(BOUNDS);
        Self { name, restarts, batcher, in_flight: None, held: Vec::new(), sent: Vec::new() }
    }
}

struct Simulation {
    rng: fastrand::Rng,
    now: Moment,
    table: Table,
    hosts: Vec<Host>,
    delayed: Vec<Batch>,
    claims: u64,
    /// For each key, the ids of the claims whose requests were sent.
    ran: BTreeMap<ClaimKey, Vec<ClaimId>>,
    answers: u64,
}

fn key(number: usize) -> ClaimKey {
    let team = TeamName::try_from("rota").unwrap();
    let raw = format!("swap-{number}");
    ClaimKey::new(&Scope::Team(team), &IdempotencyKey::try_from(raw.as_str()).unwrap())
}

fn request() -> RequestDigest {
    RequestDigest::of(&ServiceName::try_from("swaps").unwrap(), b"text/plain", b"monday")
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            now: Moment::default(),
            table: Table::default(),
            hosts: (0..HOSTS).map(|name| Host::new(name, 0)).collect(),
            delayed: Vec::new(),
            claims: 0,
            ran: BTreeMap::new(),
            answers: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now + self.rng.u64(0..40);
        let at = self.rng.usize(..HOSTS);
        match self.rng.u32(..16) {
            0..=3 => self.submit(at),
            4..=7 => self.write(at),
            8..=10 => self.end_write(at),
            11..=12 => self.send(at),
            13 => self.finish(at),
            14 => self.apply_delayed(),
            _ if self.rng.u32(..8) == 0 => self.restart(at),
            _ => self.release(at),
        }
        self.collect(at);
    }

    fn submit(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        self.claims += 1;
        let row = ClaimRow {
            id: ClaimId(format!("{}-{}-{}", host.name, host.restarts, self.claims)),
            entry: Incarnation::try_from(format!("{}-{}", host.name, host.restarts)).unwrap(),
            request: request(),
            deadline: WallTime(0),
            progress: Progress::Claimed,
        };
        let give_up = self.now + GIVE_UP_AFTER_MS;
        match host.batcher.submit(key(self.rng.usize(..KEYS)), row, give_up) {
            Submitted::Queued(_) | Submitted::Known(_) | Submitted::Full => {}
        }
    }

    fn write(&mut self, at: usize) {
        if let Step::Write(batch) = self.hosts[at].batcher.next(self.now) {
            self.hosts[at].in_flight = Some(batch);
        }
    }

    fn end_write(&mut self, at: usize) {
        let Some(batch) = self.hosts[at].in_flight.take() else { return };
        let outcome = match self.rng.u32(..8) {
            0 => Outcome::NotSent,
            1 => Outcome::Lost,
            2 => {
                self.table.write(&batch);
                Outcome::Lost
            }
            3 => {
                self.delayed.push(batch);
                Outcome::Lost
            }
            _ => self.table.write(&batch),
        };
        self.hosts[at].batcher.done(self.now, outcome, &mut self.rng);
    }

    fn collect(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        for (_, outcome) in host.batcher.take_outcomes() {
            if let ClaimOutcome::Held(claim) = outcome {
                host.held.push((claim.key().clone(), claim));
            }
        }
    }

    fn send(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        if host.held.is_empty() {
            return;
        }
        let (key, claim) = host.held.swap_remove(self.rng.usize(..host.held.len()));
        self.ran.entry(key.clone()).or_default().push(claim.id().clone());
        host.sent.push((key, claim.send()));
    }

    fn finish(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        let Some((_, claim)) = host.sent.pop() else { return };
        let (key, update, _) = claim.lost("The answer was cut.");
        host.batcher.update(key, update);
        self.answers += 1;
    }

    fn release(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        let Some((_, claim)) = host.held.pop() else { return };
        let (key, update) = claim.release();
        host.batcher.update(key, update);
    }

    fn apply_delayed(&mut self) {
        if let Some(batch) = self.delayed.pop() {
            self.table.write(&batch);
        }
    }

    /// Restarts a process, which loses its state; its write in progress may still take effect.
    fn restart(&mut self, at: usize) {
        let restarts = self.hosts[at].restarts + 1;
        let old = std::mem::replace(&mut self.hosts[at], Host::new(at, restarts));
        self.delayed.extend(old.in_flight);
    }

    /// Runs all hosts with a table that always answers, until their operations are written.
    fn settle(&mut self) {
        for at in 0..HOSTS {
            if let Some(batch) = self.hosts[at].in_flight.take() {
                let outcome = self.table.write(&batch);
                self.hosts[at].batcher.done(self.now, outcome, &mut self.rng);
            }
            for _ in 0..1_000 {
                self.now = self.now + 20;
                if let Step::Write(batch) = self.hosts[at].batcher.next(self.now) {
                    let outcome = self.table.write(&batch);
                    self.hosts[at].batcher.done(self.now, outcome, &mut self.rng);
                }
            }
        }
    }
}

fn run(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    (0..STEPS).for_each(|_| simulation.step());
    simulation
}

fn check(name: &str, property: fn(u64) -> bool) {
    let seed = 0x0a7_0ece;
    println!("{name}: generator seed {seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(64, seed)).tests(1_500).quickcheck(property);
}

#[test]
fn no_key_is_sent_twice() {
    fn property(seed: u64) -> bool {
        run(seed).ran.values().all(|ids| ids.len() == 1)
    }
    check("no_key_is_sent_twice", property);
}

#[test]
fn simulation_sends_requests() {
    let sent: usize = (0..200).map(|seed| run(seed).ran.len()).sum();
    assert!(sent > 200, "requests were sent for only {sent} keys of 600; the runs test too little");
}

#[test]
fn all_operations_settle_once_the_table_answers() {
    fn property(seed: u64) -> bool {
        let mut simulation = run(seed);
        simulation.settle();
        simulation.hosts.iter().all(|host| host.batcher.is_settled())
    }
    check("all_operations_settle_once_the_table_answers", property);
}

#[test]
fn conflict_on_one_row_does_not_block_the_batch() {
    let mut simulation = Simulation::new(1);
    let row = |id: &str| ClaimRow {
        id: ClaimId(id.into()),
        entry: Incarnation::try_from("a-0").unwrap(),
        request: request(),
        deadline: WallTime(0),
        progress: Progress::Claimed,
    };
    simulation.table.rows.insert(key(1), (row("other"), 7));
    let batcher = &mut simulation.hosts[0].batcher;
    for number in 0..3 {
        let row = row(&format!("own-{number}"));
        batcher.submit(key(number), row, Moment(1_000));
    }
    let mut writes = 0;
    while let Step::Write(batch) = batcher.next(Moment(0)) {
        writes += 1;
        let outcome = simulation.table.write(&batch);
        batcher.done(Moment(0), outcome, &mut simulation.rng);
    }
    let outcomes = batcher.take_outcomes();
    let held =
        outcomes.iter().filter(|(_, outcome)| matches!(outcome, ClaimOutcome::Held(_))).count();
    let taken =
        outcomes.iter().filter(|(_, outcome)| matches!(outcome, ClaimOutcome::Taken(_))).count();
    assert_eq!((held, taken, writes), (2, 1, 2));
}
