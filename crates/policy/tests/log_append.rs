//! Writers race for the log while the table loses and delays their writes and loses answers.

use std::rc::Rc;

use fastrand::Rng;
use fuchsiamill_model::{
    Change, ChangeId, Configuration, LogEntry, Team, Version, WallTime, team::Urgency,
};
use fuchsiamill_policy::config_log::{
    Append, AppendEvent, AppendStep, ApplyOutcome, Basis, Conflict, Finish, Proposal, Replica,
    Since, Write,
};
use quickcheck::{Gen, QuickCheck};

const WRITERS: usize = 3;
const PROPOSALS: u32 = 12;

#[derive(Default)]
struct Table {
    log: Vec<Rc<LogEntry>>,
    delayed: Vec<Write>,
}

impl Table {
    fn apply(&mut self, write: &Write) -> bool {
        let condition_holds = write.condition == Version(self.log.len() as u64);
        if condition_holds {
            self.log.push(write.entry.clone());
        }
        condition_holds
    }

    fn apply_delayed(&mut self, rng: &mut Rng) {
        if !self.delayed.is_empty() {
            let write = self.delayed.swap_remove(rng.usize(0..self.delayed.len()));
            self.apply(&write);
        }
    }

    fn versions_of(&self, id: &ChangeId) -> Vec<u64> {
        let found = self.log.iter().filter(|entry| &entry.id == id);
        found.map(|entry| entry.version.0).collect()
    }
}

struct Writer {
    replica: Replica,
    append: Option<(Append, AppendStep)>,
}

fn team(rng: &mut Rng) -> Team {
    Team {
        name: format!("t{}", rng.u8(0..4)).as_str().try_into().expect("a valid name"),
        share: rng.u32(0..4),
        upper_limit: 4,
        queue: 4,
        urgent: Urgency::Normal,
    }
}

fn proposal(rng: &mut Rng, id: u32, basis: Version) -> Proposal {
    Proposal {
        id: ChangeId(format!("c{id}")),
        who: "mei".try_into().expect("a valid name"),
        intent: "make a team".into(),
        plan: None,
        basis: if rng.bool() { Basis::At(basis) } else { Basis::Newest },
        changes: vec![Change::PutTeam { team: team(rng) }],
    }
}

fn answer(rng: &mut Rng, table: &mut Table, write: Write) -> AppendEvent {
    match rng.u8(0..6) {
        0 => {
            table.apply(&write);
            AppendEvent::AnswerLost
        }
        1 => AppendEvent::AnswerLost,
        2 => {
            table.delayed.push(write);
            AppendEvent::AnswerLost
        }
        _ if table.apply(&write) => AppendEvent::Written,
        _ => AppendEvent::HeadMoved,
    }
}

fn catch_up(rng: &mut Rng, table: &Table, replica: &mut Replica) -> AppendEvent {
    if rng.u8(0..4) == 0 {
        return AppendEvent::ReadFailed;
    }
    let offer = replica.apply(table.log.iter().cloned());
    assert!(matches!(offer, ApplyOutcome::Nothing | ApplyOutcome::Applied(_)), "{offer:?}");
    AppendEvent::CaughtUp
}

fn results_match_the_log(seed: u64) -> bool {
    let mut rng = Rng::with_seed(seed);
    let mut table = Table::default();
    let writer = || Writer { replica: Replica::default(), append: None };
    let mut writers: Vec<Writer> = (0..WRITERS).map(|_| writer()).collect();
    let (mut next, mut finished) = (0, Vec::new());
    while finished.len() < PROPOSALS as usize {
        if rng.u8(0..4) == 0 {
            table.apply_delayed(&mut rng);
        }
        let writer = &mut writers[rng.usize(0..WRITERS)];
        let at = WallTime(u64::from(next));
        let Some((append, step)) = writer.append.take() else {
            if next < PROPOSALS {
                let basis = writer.replica.version();
                let mut append = Append::new(proposal(&mut rng, next, basis), basis);
                let step = append.start(&writer.replica, at);
                writer.append = Some((append, step));
                next += 1;
            }
            continue;
        };
        let mut append = append;
        let event = match step {
            AppendStep::Write(write) => answer(&mut rng, &mut table, write),
            AppendStep::CatchUp => catch_up(&mut rng, &table, &mut writer.replica),
            AppendStep::Finish(finish) => {
                finished.push((append.proposal().clone(), finish));
                continue;
            }
        };
        let step = append.next(event, &writer.replica, at);
        writer.append = Some((append, step));
    }
    while !table.delayed.is_empty() {
        table.apply_delayed(&mut rng);
    }
    finished.iter().all(|(proposal, finish)| matches_log(&table, proposal, finish))
}

fn matches_log(table: &Table, proposal: &Proposal, finish: &Finish) -> bool {
    let found = table.versions_of(&proposal.id);
    match finish {
        Finish::Written(entry) => found == [entry.version.0],
        Finish::Conflict(Conflict::Changed { by, .. }) => found.is_empty() && by.id != proposal.id,
        _ => found.is_empty(),
    }
}

#[test]
fn append_reports_the_true_outcome() {
    QuickCheck::new()
        .tests(2_000)
        .max_tests(2_000)
        .rng(Gen::from_size_and_seed(100, 7))
        .quickcheck(results_match_the_log as fn(u64) -> bool);
}

fn entries(count: u64) -> Vec<Rc<LogEntry>> {
    let mut rng = Rng::with_seed(3);
    let entry = |version| {
        let mut team = team(&mut rng);
        team.share = 1 + version as u32;
        Rc::new(LogEntry {
            version: Version(version),
            id: ChangeId(format!("c{version}")),
            who: "mei".try_into().expect("a valid name"),
            intent: "make a team".into(),
            plan: None,
            at: WallTime(version),
            changes: vec![Change::PutTeam { team }],
        })
    };
    (1..=count).map(entry).collect()
}

fn replica_follows_the_log(seed: u64) -> bool {
    let mut rng = Rng::with_seed(seed);
    let entries = entries(40);
    let mut states = vec![Rc::new(Configuration::default())];
    let mut reference = Replica::default();
    for entry in &entries {
        reference.apply([entry.clone()]);
        states.push(reference.configuration().clone());
    }
    let mut replica = Replica::default();
    for _ in 0..60 {
        let before = replica.version();
        let from = rng.usize(0..entries.len());
        let to = rng.usize(from..=entries.len());
        let offer = match rng.u8(0..12) {
            0 => replica.install(states[from].clone()),
            _ => replica.apply(entries[from..to].iter().cloned()),
        };
        let is_gap = offer == ApplyOutcome::Gap(replica.version());
        let moved = replica.version() > before;
        let reported =
            matches!(offer, ApplyOutcome::Applied(version) if version == replica.version());
        let holds = replica.version() >= before
            && replica.configuration() == &states[replica.version().0 as usize]
            && replica.heard() >= replica.version()
            && (reported == moved || is_gap);
        if !holds {
            return false;
        }
    }
    let mut laggard = Replica::new((*states[rng.usize(0..=40)]).clone());
    match replica.since(laggard.version()) {
        Since::Entries(entries) => laggard.apply(entries),
        Since::Snapshot(snapshot) => laggard.install(snapshot),
    };
    laggard.version() >= replica.version()
}

#[test]
fn replica_applies_in_order_and_never_goes_back() {
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(100, 13))
        .quickcheck(replica_follows_the_log as fn(u64) -> bool);
}
