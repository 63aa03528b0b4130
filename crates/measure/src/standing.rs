//! The standing rule against fixed leases of the table: refused work and how long a withdrawn key
//! still works, over the real membership policy.

use anyhow::Result;
use argh::FromArgs;
use fastrand::Rng;
use fuchsiamill_model::{EntryName, Incarnation, Millisecond, Moment, PoolName, Version};
use fuchsiamill_policy::membership::{
    Ack, Heartbeat, HeartbeatAction, Membership, Mode, Standing, Tenure, Timing, View, ViewAction,
    ViewId,
};

const HOSTS: usize = 8;
const POOLS: usize = 5;
const TIMING: Timing = Timing { standing: 2_000, suspect: 1_500, drift_percent: 2 };
const HEARTBEAT: Millisecond = 500;
const TABLE_READ: Millisecond = 1_000;
const STEP: Millisecond = 50;
const MINUTE: Millisecond = 60_000;
const FAULT_BEGINS: Millisecond = MINUTE;
const FAULT_ENDS: Millisecond = 11 * MINUTE;
const RUN: Millisecond = 12 * MINUTE;
const REPLACED_FOR: Millisecond = 5_000;
const SHORT_LEASE: Millisecond = 2_000;
const LONG_LEASE: Millisecond = 15 * MINUTE;
const SEED: u64 = 11;

/// measure the standing rule against fixed leases
#[derive(FromArgs)]
#[argh(subcommand, name = "standing")]
pub struct StandingArgs {}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Scenario {
    /// The table is down.
    TableDown,
    /// Two hosts are cut off from the table and from the other hosts.
    CutOff,
    /// Every host is replaced in turn, a minute apart, while the table serves.
    Replaced,
    /// Every host is replaced in turn, a minute apart, while the table is down.
    ReplacedTableDown,
    /// Half of the hosts die while the table is down.
    HalfDieTableDown,
}

impl Scenario {
    fn table_serves(self, at: Millisecond, host: usize) -> bool {
        let fault = (FAULT_BEGINS..FAULT_ENDS).contains(&at);
        match self {
            Scenario::Replaced => true,
            Scenario::CutOff => !fault || host >= 2,
            _ => !fault,
        }
    }

    fn joins(self, at: Millisecond, a: usize, b: usize) -> bool {
        let fault = (FAULT_BEGINS..FAULT_ENDS).contains(&at);
        !(self == Scenario::CutOff && fault && (a < 2) != (b < 2))
    }

    /// When a host goes down and comes back.
    fn away(self, host: usize) -> Option<(Millisecond, Millisecond)> {
        match self {
            Scenario::Replaced | Scenario::ReplacedTableDown => {
                let begins = FAULT_BEGINS + MINUTE * (host as u64 + 1);
                Some((begins, begins + REPLACED_FOR))
            }
            Scenario::HalfDieTableDown if host < HOSTS / 2 => {
                Some((FAULT_BEGINS + MINUTE, FAULT_ENDS))
            }
            _ => None,
        }
    }
}

enum Message {
    Heartbeat(Heartbeat),
    Propose(View),
    Ack(ViewId, Ack),
    Refuse(ViewId),
    Install(View),
    FetchView,
}

struct Host {
    membership: Membership,
    began: Millisecond,
    last_read: Option<Millisecond>,
}

#[derive(Default)]
struct Tally {
    host_steps: u64,
    refused: [u64; 3],
    longest_stale: [Millisecond; 3],
    steps: u64,
    unowned: u64,
}

struct Run {
    scenario: Scenario,
    hosts: Vec<Host>,
    names: Vec<EntryName>,
    pools: Vec<PoolName>,
    inbox: Vec<(usize, usize, Message)>,
    rng: Rng,
}

/// Prints the table.
pub fn run(_: &StandingArgs) -> Result<()> {
    println!(
        "| Fault of 10 minutes | Rule | Refused of what reaches a host | A withdrawn key works for at most | Pool-time without an owner |"
    );
    println!("|---|---|---|---|---|");
    let scenarios = [
        ("table down", Scenario::TableDown),
        ("2 of 8 hosts cut off", Scenario::CutOff),
        ("all hosts replaced in turn", Scenario::Replaced),
        ("all replaced in turn, table down", Scenario::ReplacedTableDown),
        ("4 of 8 hosts die, table down", Scenario::HalfDieTableDown),
    ];
    for (name, scenario) in scenarios {
        print_rows(name, &Run::new(scenario)?.run());
    }
    Ok(())
}

fn print_rows(name: &str, tally: &Tally) {
    let rules = ["standing rule", "lease of 2 s", "lease of 15 min"];
    for (rule, label) in rules.iter().enumerate() {
        let refused = percent(tally.refused[rule], tally.host_steps);
        let stale = tally.longest_stale[rule] as f64 / 1000.0;
        let unowned = match rule {
            0 => percent(tally.unowned, tally.steps * POOLS as u64),
            _ => "–".into(),
        };
        println!("| {name} | {label} | {refused} | {stale:.1} s | {unowned} |");
    }
}

fn percent(part: u64, whole: u64) -> String {
    format!("{:.2} %", 100.0 * part as f64 / whole.max(1) as f64)
}

impl Run {
    fn new(scenario: Scenario) -> Result<Self> {
        let names: Vec<_> = (0..HOSTS)
            .map(|it| EntryName::try_from(format!("entry-{it}")))
            .collect::<Result<_, _>>()?;
        let pools = (0..POOLS)
            .map(|it| PoolName::try_from(format!("pool-{it}")))
            .collect::<Result<_, _>>()?;
        let mut run = Self {
            scenario,
            hosts: Vec::new(),
            names,
            pools,
            inbox: Vec::new(),
            rng: Rng::with_seed(SEED),
        };
        for index in 0..HOSTS {
            let host = run.fresh(index, 0)?;
            run.hosts.push(host);
        }
        Ok(run)
    }

    fn fresh(&mut self, index: usize, at: Millisecond) -> Result<Host> {
        let incarnation = Incarnation::try_from(format!("run-{index}-{at}"))?;
        let first_seq = self.rng.u64(..1 << 48);
        let name = self.names[index].clone();
        let mut membership = Membership::new(name, incarnation, TIMING, Moment(0), first_seq);
        membership.set_record(self.names.iter().cloned());
        Ok(Host { membership, began: at, last_read: None })
    }

    fn run(mut self) -> Tally {
        let mut tally = Tally::default();
        for at in (0..RUN).step_by(STEP as usize) {
            self.replace(at);
            self.deliver(at);
            self.act(at);
            self.count(at, &mut tally);
        }
        tally
    }

    fn is_up(&self, at: Millisecond, host: usize) -> bool {
        self.scenario.away(host).is_none_or(|(from, to)| !(from..to).contains(&at))
    }

    fn now(&self, at: Millisecond, host: usize) -> Moment {
        Moment(at - self.hosts[host].began)
    }

    fn replace(&mut self, at: Millisecond) {
        for index in 0..HOSTS {
            let is_back = self.scenario.away(index).is_some_and(|(_, to)| to == at);
            if let Some(host) = is_back.then(|| self.fresh(index, at)).and_then(Result::ok) {
                self.hosts[index] = host;
            }
        }
    }

    fn deliver(&mut self, at: Millisecond) {
        for (from, to, message) in std::mem::take(&mut self.inbox) {
            if self.is_up(at, to) && self.scenario.joins(at, from, to) {
                self.take(at, from, to, message);
            }
        }
    }

    fn take(&mut self, at: Millisecond, from: usize, to: usize, message: Message) {
        let now = self.now(at, to);
        let sender = self.names[from].clone();
        let membership = &mut self.hosts[to].membership;
        match message {
            Message::Heartbeat(heartbeat) => match membership.handle_heartbeat(now, &heartbeat) {
                HeartbeatAction::Nothing => {}
                HeartbeatAction::NewerConfiguration => membership.applied(heartbeat.version),
                HeartbeatAction::NewerView => self.inbox.push((to, from, Message::FetchView)),
            },
            Message::Propose(view) => {
                let answer = match membership.handle_proposal(now, &view) {
                    Ok(ack) => Message::Ack(view.id, ack),
                    Err(promised) => Message::Refuse(promised),
                };
                self.inbox.push((to, from, answer));
            }
            Message::Ack(id, ack) => membership.handle_ack(now, sender, &id, ack),
            Message::Refuse(promised) => membership.handle_refusal(&promised),
            Message::Install(view) => membership.handle_installed(now, view),
            Message::FetchView => {
                let view = membership.view().clone();
                self.inbox.push((to, from, Message::Install(view)));
            }
        }
    }

    fn act(&mut self, at: Millisecond) {
        for index in (0..HOSTS).filter(|it| self.is_up(at, *it)).collect::<Vec<_>>() {
            let now = self.now(at, index);
            if at.is_multiple_of(TABLE_READ) && self.scenario.table_serves(at, index) {
                let host = &mut self.hosts[index];
                host.last_read = Some(at);
                host.membership.applied(Version(1));
                host.membership.table_read(now, now, Version(1));
            }
            if at.is_multiple_of(HEARTBEAT) {
                self.beat(now, index);
            }
            match self.hosts[index].membership.view_step(now) {
                ViewAction::Wait => {}
                ViewAction::Propose(view) => {
                    self.tell_all(index, || Message::Propose(view.clone()));
                }
                ViewAction::Install(view) => {
                    self.tell_all(index, || Message::Install(view.clone()));
                }
            }
        }
    }

    fn beat(&mut self, now: Moment, from: usize) {
        let seq = self.hosts[from].membership.begin_round(now);
        for to in (0..HOSTS).filter(|to| *to != from) {
            let heartbeat = self.hosts[from].membership.heartbeat(now, seq, &self.names[to]);
            self.inbox.push((from, to, Message::Heartbeat(heartbeat)));
        }
    }

    fn tell_all(&mut self, from: usize, message: impl Fn() -> Message) {
        for to in (0..HOSTS).filter(|to| *to != from) {
            self.inbox.push((from, to, message()));
        }
    }

    fn count(&mut self, at: Millisecond, tally: &mut Tally) {
        if !(FAULT_BEGINS..FAULT_ENDS).contains(&at) {
            return;
        }
        tally.steps += 1;
        for index in (0..HOSTS).filter(|it| self.is_up(at, *it)).collect::<Vec<_>>() {
            tally.host_steps += 1;
            for (rule, serves) in self.rules(at, index).into_iter().enumerate() {
                if !serves {
                    tally.refused[rule] += 1;
                } else if self.cannot_know(at, index) {
                    let stale = at - FAULT_BEGINS + STEP;
                    tally.longest_stale[rule] = tally.longest_stale[rule].max(stale);
                }
            }
        }
        tally.unowned +=
            self.pools.clone().iter().filter(|pool| !self.is_owned(at, pool)).count() as u64;
    }

    fn rules(&self, at: Millisecond, index: usize) -> [bool; 3] {
        let host = &self.hosts[index];
        let leased = |lease| host.last_read.is_some_and(|read| at - read < lease);
        let standing = host.membership.standing(self.now(at, index)) == Standing::Serving;
        [standing, leased(SHORT_LEASE), leased(LONG_LEASE)]
    }

    /// Whether a key withdrawn just after the fault began, through the hosts that are not cut off,
    /// is unknown to this host.
    fn cannot_know(&self, at: Millisecond, index: usize) -> bool {
        self.scenario == Scenario::CutOff && index < 2 && at >= FAULT_BEGINS
    }

    fn is_owned(&mut self, at: Millisecond, pool: &PoolName) -> bool {
        (0..HOSTS).any(|index| {
            let now = self.now(at, index);
            let up = self.is_up(at, index);
            let membership = &mut self.hosts[index].membership;
            let counts = membership.mode(now) == Mode::Counting;
            up && counts && matches!(membership.tenure(now, pool), Tenure::Mine(_))
        })
    }
}
