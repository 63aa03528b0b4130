//! Every host that has standing knows all accepted changes, with lost and late messages, clock drift,
//! pauses, partitions and restarts. The model of standing follows the rule on the architecture page.

use std::{cell::Cell, cmp::Reverse, collections::BTreeSet, collections::BinaryHeap};

use fastrand::Rng;
use fuchsiamill_model::{EntryName, Incarnation, Moment, Version};
use fuchsiamill_policy::config_log::{Acceptance, Confirmation, VersionReport};
use quickcheck::{Gen, QuickCheck};

const STANDING: u64 = 2_000;
const DRIFT: u32 = 2;
const WAIT: u64 = STANDING + STANDING * DRIFT as u64 / 100;
const HEARTBEAT: u64 = 500;
const END: u64 = 40_000;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    SendHeartbeats { host: usize, run: u32 },
    Heartbeat { from: usize, to: usize, to_run: u32, sent: Moment, version: u64 },
    Reply { from: usize, run: u32, to: usize, to_run: u32, echo: Moment, info: Info },
    ReadSample { host: usize, run: u32, started: Moment },
    ReadDone { host: usize, run: u32, started: Moment, version: u64 },
    Apply { host: usize, run: u32, version: u64 },
    Write { host: usize },
    Fault,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Info {
    version: u64,
    counts: bool,
    read_age: Option<u64>,
}

struct Host {
    rate: f64,
    offset: f64,
    run: u32,
    started: Moment,
    counts: bool,
    heard: u64,
    applied: u64,
    read: Option<Moment>,
    caught_up_by_read: bool,
    heard_counting: BTreeSet<usize>,
    support: Vec<Option<Moment>>,
    paused_until: u64,
    acceptance: Acceptance,
}

struct Site {
    rng: Rng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    table: u64,
    table_up: Vec<bool>,
    links: Vec<Vec<bool>>,
    hosts: Vec<Host>,
    accepted: u64,
    served: u64,
}

fn name(host: usize) -> EntryName {
    format!("e{host}").as_str().try_into().expect("a valid name")
}

fn record(count: usize) -> Vec<EntryName> {
    (0..count).map(name).collect()
}

impl Site {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let count = [3, 4, 5, 6, 8][rng.usize(0..5)];
        let host = |rng: &mut Rng| Host {
            rate: 0.991 + rng.f64() * 0.018,
            offset: rng.f64() * 1e6,
            run: 0,
            started: Moment(0),
            counts: true,
            heard: 0,
            applied: 0,
            read: None,
            caught_up_by_read: true,
            heard_counting: BTreeSet::new(),
            support: vec![None; count],
            paused_until: 0,
            acceptance: Acceptance::new(Version(0), record(count), STANDING, DRIFT),
        };
        let hosts = (0..count).map(|_| host(&mut rng)).collect();
        let mut site = Self {
            rng,
            now: 0,
            queue: BinaryHeap::new(),
            sequence: 0,
            table: 0,
            table_up: vec![true; count],
            links: vec![vec![true; count]; count],
            hosts,
            accepted: 0,
            served: 0,
        };
        for host in 0..count {
            let at = site.rng.u64(0..HEARTBEAT);
            site.push(at, Event::SendHeartbeats { host, run: 0 });
        }
        site.push(1_000, Event::Fault);
        site.push(300, Event::Write { host: 0 });
        site
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn delay(&mut self) -> u64 {
        match self.rng.u8(0..20) {
            0 => self.rng.u64(0..3_000),
            1 | 2 => self.rng.u64(0..600),
            _ => self.rng.u64(1..20),
        }
    }

    fn local(&self, host: usize) -> Moment {
        let it = &self.hosts[host];
        Moment((it.offset + self.now as f64 * it.rate) as u64)
    }

    fn majority(&self) -> usize {
        self.hosts.len() / 2 + 1
    }

    fn has_standing(&self, host: usize) -> bool {
        let now = self.local(host);
        let it = &self.hosts[host];
        let fresh = |at: &Option<Moment>| at.is_some_and(|at| now.since(at) < STANDING);
        let supported = it.support.iter().filter(|at| fresh(at)).count() + 1 >= self.majority();
        it.counts && it.applied == it.heard && (fresh(&it.read) || supported)
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > END {
                return;
            }
            self.now = at;
            let paused_until = event.host().map_or(0, |host| self.hosts[host].paused_until);
            if paused_until > at {
                self.push(paused_until - at, event);
                continue;
            }
            self.handle(event);
            self.check();
        }
    }

    fn check(&mut self) {
        for host in 0..self.hosts.len() {
            let now = self.local(host);
            let version = self.hosts[host].acceptance.tick(now).0;
            if self.hosts[host].paused_until <= self.now {
                self.accepted = self.accepted.max(version);
            }
        }
        for host in 0..self.hosts.len() {
            if self.has_standing(host) {
                self.served += 1;
                let applied = self.hosts[host].applied;
                assert!(
                    applied >= self.accepted,
                    "at {} e{host} serves version {applied} after {} was accepted",
                    self.now,
                    self.accepted
                );
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SendHeartbeats { host, run } => self.send_heartbeats(host, run),
            Event::Heartbeat { from, to, to_run, sent, version } => {
                self.heartbeat(from, to, to_run, sent, version);
            }
            Event::Reply { from, run, to, to_run, echo, info } => {
                self.reply(from, run, to, to_run, echo, info);
            }
            Event::ReadSample { host, run, started } => {
                let version = self.table;
                let delay = self.delay();
                self.push(delay, Event::ReadDone { host, run, started, version });
            }
            Event::ReadDone { host, run, started, version } => {
                if self.hosts[host].run == run {
                    self.hosts[host].read = self.hosts[host].read.max(Some(started));
                    self.hosts[host].caught_up_by_read = true;
                    self.note_version(host, version);
                }
            }
            Event::Apply { host, run, version } => self.apply(host, run, version),
            Event::Write { host } => self.write(host),
            Event::Fault => self.fault(),
        }
    }

    fn send_heartbeats(&mut self, host: usize, run: u32) {
        if self.hosts[host].run != run {
            return;
        }
        self.push(HEARTBEAT, Event::SendHeartbeats { host, run });
        let sent = self.local(host);
        let version = self.hosts[host].heard;
        for to in (0..self.hosts.len()).filter(|to| *to != host) {
            if self.links[host][to] {
                let (delay, to_run) = (self.delay(), self.hosts[to].run);
                self.push(delay, Event::Heartbeat { from: host, to, to_run, sent, version });
            }
        }
        if self.table_up[host] && self.rng.u8(0..3) == 0 {
            let delay = self.delay();
            self.push(delay, Event::ReadSample { host, run, started: sent });
        }
        self.update_counts(host);
        self.report_own_version(host);
    }

    fn heartbeat(&mut self, from: usize, to: usize, to_run: u32, echo: Moment, version: u64) {
        if self.hosts[to].run != to_run {
            return;
        }
        self.note_version(to, version);
        if !self.links[to][from] {
            return;
        }
        let now = self.local(to);
        let it = &self.hosts[to];
        let read_age = it.read.map(|at| now.since(at));
        let info = Info { version: it.heard, counts: it.counts, read_age };
        let (delay, run) = (self.delay(), self.hosts[from].run);
        let reply = Event::Reply { from: to, run: to_run, to: from, to_run: run, echo, info };
        self.push(delay, reply);
    }

    fn reply(&mut self, from: usize, run: u32, to: usize, to_run: u32, echo: Moment, info: Info) {
        if self.hosts[to].run != to_run || echo < self.hosts[to].started {
            return;
        }
        self.note_version(to, info.version);
        let now = self.local(to);
        let it = &mut self.hosts[to];
        if info.counts {
            it.support[from] = it.support[from].max(Some(echo));
            it.heard_counting.insert(from);
        }
        if let Some(age) = info.read_age {
            let read = echo.0.checked_sub(age + age * u64::from(DRIFT) / 100 + 1).map(Moment);
            it.read = it.read.max(read);
        }
        let report = report(from, run, info.version, echo);
        it.acceptance.record_report(&report, now);
        self.update_counts(to);
    }

    /// Makes a host count once it has run for the standing time with drift and has caught up.
    fn update_counts(&mut self, host: usize) {
        let now = self.local(host);
        let needed = self.hosts.len() - self.majority() + 1;
        let it = &mut self.hosts[host];
        let caught_up = it.caught_up_by_read || it.heard_counting.len() >= needed;
        if now.since(it.started) > WAIT && caught_up && it.applied == it.heard {
            it.counts = true;
        }
    }

    fn note_version(&mut self, host: usize, version: u64) {
        if version <= self.hosts[host].heard {
            return;
        }
        self.hosts[host].heard = version;
        self.report_own_version(host);
        let run = self.hosts[host].run;
        let delay = self.delay();
        self.push(delay, Event::Apply { host, run, version });
    }

    fn apply(&mut self, host: usize, run: u32, version: u64) {
        if self.hosts[host].run != run || version <= self.hosts[host].applied {
            return;
        }
        self.hosts[host].applied = version;
        let (now, count) = (self.local(host), self.hosts.len());
        self.hosts[host].acceptance.record_written(Version(version), record(count), now);
        self.report_own_version(host);
    }

    fn report_own_version(&mut self, host: usize) {
        let now = self.local(host);
        let it = &mut self.hosts[host];
        let report = report(host, it.run, it.heard, now);
        it.acceptance.record_report(&report, now);
    }

    fn write(&mut self, host: usize) {
        let next = self.rng.usize(0..self.hosts.len());
        let delay = self.rng.u64(50..3_000);
        self.push(delay, Event::Write { host: next });
        let may_write = self.table_up[host] && self.hosts[host].applied == self.table;
        if may_write {
            self.table += 1;
            let run = self.hosts[host].run;
            self.hosts[host].heard = self.table;
            self.apply(host, run, self.table);
        }
    }

    fn fault(&mut self) {
        let delay = self.rng.u64(50..1_500);
        self.push(delay, Event::Fault);
        let host = self.rng.usize(0..self.hosts.len());
        match self.rng.u8(0..12) {
            0..=2 => self.restart(host),
            3 => self.hosts[host].paused_until = self.now + self.rng.u64(100..5_000),
            4 | 5 => self.table_up[host] = !self.table_up[host],
            6 => self.table_up.fill(false),
            7 => self.links.iter_mut().for_each(|links| links.fill(true)),
            8 => {
                let to = self.rng.usize(0..self.hosts.len());
                self.links[host][to] = !self.links[host][to];
            }
            _ => self.partition(),
        }
    }

    fn partition(&mut self) {
        let side: Vec<bool> = self.hosts.iter().map(|_| self.rng.bool()).collect();
        for (from, links) in self.links.iter_mut().enumerate() {
            for (to, link) in links.iter_mut().enumerate() {
                *link = side[from] == side[to];
            }
        }
    }

    fn restart(&mut self, host: usize) {
        let (started, count) = (self.local(host), self.hosts.len());
        let it = &mut self.hosts[host];
        it.run += 1;
        it.started = started;
        it.counts = false;
        (it.heard, it.applied) = (0, 0);
        it.read = None;
        it.caught_up_by_read = false;
        it.heard_counting.clear();
        it.support.fill(None);
        it.paused_until = 0;
        it.acceptance = Acceptance::new(Version(0), record(count), STANDING, DRIFT);
        let run = it.run;
        self.push(1, Event::SendHeartbeats { host, run });
    }
}

impl Event {
    fn host(&self) -> Option<usize> {
        match self {
            Event::SendHeartbeats { host, .. }
            | Event::ReadDone { host, .. }
            | Event::Apply { host, .. }
            | Event::Write { host } => Some(*host),
            Event::Heartbeat { to, .. } | Event::Reply { to, .. } => Some(*to),
            Event::ReadSample { .. } | Event::Fault => None,
        }
    }
}

fn report(host: usize, run: u32, version: u64, echo: Moment) -> VersionReport {
    let incarnation: Incarnation = format!("r{run}").as_str().try_into().expect("a valid name");
    VersionReport { host: name(host), incarnation, version: Version(version), echo }
}

thread_local! {
    static ACCEPTED: Cell<u64> = const { Cell::new(0) };
    static SERVED: Cell<u64> = const { Cell::new(0) };
}

fn serving_hosts_know_accepted_changes(seed: u64) -> bool {
    let mut site = Site::new(seed);
    site.run();
    ACCEPTED.set(ACCEPTED.get() + site.accepted);
    SERVED.set(SERVED.get() + site.served);
    true
}

#[test]
fn accepted_change_is_known_to_hosts_in_standing() {
    let runs =
        std::env::var("ACCEPTANCE_RUNS").ok().and_then(|raw| raw.parse().ok()).unwrap_or(150);
    QuickCheck::new()
        .tests(runs)
        .max_tests(runs)
        .rng(Gen::from_size_and_seed(100, 11))
        .quickcheck(serving_hosts_know_accepted_changes as fn(u64) -> bool);
    let (accepted, served) = (ACCEPTED.get() / runs, SERVED.get() / runs);
    println!("per run: {accepted} changes accepted, {served} checks of hosts in standing");
    assert!(accepted > 1 && served > 100, "too few changes or checks in a run");
}

#[test]
fn acknowledgement_before_a_restart_does_not_count() {
    let one = Version(1);
    let at = Moment;
    let mut acceptance = Acceptance::new(Version(0), record(5), STANDING, DRIFT);
    acceptance.record_written(one, record(5), at(5));
    acceptance.record_report(&report(0, 0, 1, at(5)), at(5));
    acceptance.record_report(&report(1, 0, 1, at(0)), at(10));
    // Host 1 restarts here and loses its state without host 0 hearing of it; then host 2 acknowledges.
    acceptance.record_report(&report(2, 0, 1, at(20)), at(30));
    acceptance.record_report(&report(0, 0, 1, at(30)), at(30));
    assert_eq!(acceptance.tick(at(60_000)), Version(0));
    assert!(matches!(acceptance.confirmation(one), Confirmation::Spreading(_)));

    acceptance.record_report(&report(1, 1, 0, at(60_010)), at(60_011));
    acceptance.record_report(&report(2, 0, 1, at(60_010)), at(60_012));
    assert_eq!(acceptance.tick(at(90_000)), Version(0));

    acceptance.record_report(&report(1, 1, 1, at(90_010)), at(90_020));
    acceptance.record_report(&report(1, 1, 1, at(90_030)), at(90_040));
    acceptance.record_report(&report(2, 0, 1, at(90_030)), at(90_040));
    acceptance.record_report(&report(0, 0, 1, at(90_040)), at(90_040));
    assert_eq!(acceptance.next_deadline(), Some(at(90_020 + WAIT)));
    assert_eq!(acceptance.tick(at(90_020 + WAIT)), Version(0));
    assert_eq!(acceptance.tick(at(90_020 + WAIT + 1)), one);
}

#[test]
fn change_known_to_all_hosts_is_accepted_at_once() {
    let mut acceptance = Acceptance::new(Version(0), record(3), STANDING, DRIFT);
    acceptance.record_written(Version(1), record(3), Moment(1));
    for round in [10, 20] {
        for host in 0..3 {
            acceptance.record_report(&report(host, 0, 1, Moment(round)), Moment(round));
        }
    }
    assert_eq!(acceptance.accepted(), Version(1));
}
