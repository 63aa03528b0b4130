//! At most one entry host owns a pool at any time, with lost and late messages, pauses, restarts,
//! partitions, clock drift and outages of the table; without faults every pool has an owner.

use std::collections::{BTreeMap, HashSet};

use fuchsiamill_model::{EntryName, Incarnation, Moment, PoolName, Version};
use fuchsiamill_policy::membership::{
    Ack, Heartbeat, HeartbeatAction, Membership, Mode, Standing, TableRead, Tenure, TenureId,
    Timing, View, ViewAction, ViewId,
};
use quickcheck::{Gen, QuickCheck, TestResult};

const TIMING: Timing = Timing { standing: 2000, suspect: 1500, drift_percent: 2 };
const HEARTBEAT_MS: u64 = 500;
const TABLE_READ_MS: u64 = 1000;
const STEP_MS: u64 = 10;
const RUN_MS: u64 = 40_000;
const MAX_DELAY_MS: u64 = 60;
const LONG_DELAY_MS: u64 = 3000;
const SEED: u64 = 7;

#[derive(Clone, Debug)]
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
    began_at: u64,
    rate_percent: i64,
    paused_until: u64,
    next_heartbeat: u64,
    next_read: u64,
}

impl Host {
    fn now(&self, at: u64) -> Moment {
        let passed = (at - self.began_at) as i64;
        Moment((passed * (100 + self.rate_percent) / 100) as u64)
    }
}

/// The faults of a run: messages in percent, the others as events per minute.
#[derive(Clone, Copy)]
struct Faults {
    loss_percent: u8,
    long_delay_percent: u8,
    pauses: u8,
    restarts: u8,
    partitions: u8,
    table_outages: u8,
}

/// The tenures of every pool; a tenure that another one has followed must not return.
#[derive(Default)]
struct TenureHistory {
    current: BTreeMap<PoolName, (String, TenureId)>,
    ended: HashSet<(PoolName, String, TenureId)>,
}

impl TenureHistory {
    fn accepts(&mut self, pool: &PoolName, owner: &(String, TenureId)) -> bool {
        let before = self.current.insert(pool.clone(), owner.clone());
        if let Some((host, tenure)) = before.filter(|it| it != owner) {
            self.ended.insert((pool.clone(), host, tenure));
        }
        !self.ended.contains(&(pool.clone(), owner.0.clone(), owner.1.clone()))
    }
}

struct Run {
    rng: fastrand::Rng,
    faults: Faults,
    hosts: Vec<Host>,
    names: Vec<EntryName>,
    inbox: BTreeMap<(u64, u64), (usize, usize, Message)>,
    next_message: u64,
    blocked: Vec<(u64, usize, usize)>,
    table_down_until: u64,
    incarnations: u64,
}

impl Run {
    fn new(seed: u64, hosts: usize, faults: Faults) -> Self {
        let names: Vec<_> =
            (0..hosts).map(|it| EntryName::try_from(format!("entry-{it}")).unwrap()).collect();
        let mut run = Self {
            rng: fastrand::Rng::with_seed(seed),
            faults,
            hosts: Vec::new(),
            names,
            inbox: BTreeMap::new(),
            next_message: 0,
            blocked: Vec::new(),
            table_down_until: 0,
            incarnations: 0,
        };
        for index in 0..hosts {
            let host = run.start_host(index, 0);
            run.hosts.push(host);
        }
        run
    }

    fn start_host(&mut self, index: usize, at: u64) -> Host {
        self.incarnations += 1;
        let incarnation = Incarnation::try_from(format!("run-{}", self.incarnations)).unwrap();
        let first_seq = self.rng.u64(..1 << 48);
        let mut membership =
            Membership::new(self.names[index].clone(), incarnation, TIMING, Moment(0), first_seq);
        membership.set_record(self.names.iter().cloned());
        let rate_percent = self.rng.i64(-2..=2);
        let next_heartbeat = at + self.rng.u64(..HEARTBEAT_MS);
        Host {
            membership,
            began_at: at,
            rate_percent,
            paused_until: 0,
            next_heartbeat,
            next_read: at,
        }
    }

    /// Runs to the end; returns the longest time without an owner, or an error for two owners or an ended tenure.
    fn run(&mut self, pools: &[PoolName]) -> Result<u64, String> {
        let mut unowned_since = 0;
        let mut longest_unowned = 0;
        let mut history = TenureHistory::default();
        for at in (0..RUN_MS).step_by(STEP_MS as usize) {
            self.inject_faults(at);
            self.deliver(at);
            self.act(at);
            for pool in pools {
                let owners = self.owners(at, pool);
                if owners.len() > 1 {
                    return Err(format!("at {at} ms pool {pool} belongs to {owners:?}"));
                }
                let Some(owner) = owners.into_iter().next() else { continue };
                if !history.accepts(pool, &owner) {
                    return Err(format!("at {at} ms pool {pool} is in an ended tenure: {owner:?}"));
                }
                unowned_since = at;
            }
            longest_unowned = longest_unowned.max(at - unowned_since);
        }
        Ok(longest_unowned)
    }

    fn owners(&mut self, at: u64, pool: &PoolName) -> Vec<(String, TenureId)> {
        let running = self.hosts.iter_mut().filter(|host| host.paused_until <= at);
        running
            .filter_map(|host| {
                let now = host.now(at);
                let Tenure::Mine(id) = host.membership.tenure(now, pool) else { return None };
                Some((host.membership.incarnation_of(host.membership.me())?.to_string(), id))
            })
            .collect()
    }

    fn chance(&mut self, per_minute: u8) -> bool {
        self.rng.u64(..60_000 / STEP_MS) < u64::from(per_minute)
    }

    fn inject_faults(&mut self, at: u64) {
        let index = self.rng.usize(..self.hosts.len());
        if self.chance(self.faults.pauses) {
            self.hosts[index].paused_until = at + self.rng.u64(..6000);
        }
        if self.chance(self.faults.restarts) {
            self.hosts[index] = self.start_host(index, at);
        }
        if self.chance(self.faults.partitions) {
            let until = at + self.rng.u64(..8000);
            for _ in 0..self.rng.usize(1..=2 * self.hosts.len()) {
                let (from, to) =
                    (self.rng.usize(..self.hosts.len()), self.rng.usize(..self.hosts.len()));
                self.blocked.push((until, from, to));
            }
        }
        if self.chance(self.faults.table_outages) {
            self.table_down_until = at + self.rng.u64(..15_000);
        }
        self.blocked.retain(|(until, ..)| *until > at);
    }

    fn send(&mut self, at: u64, from: usize, to: usize, message: Message) {
        let blocked = self.blocked.iter().any(|(_, a, b)| (*a, *b) == (from, to));
        if blocked || self.rng.u8(..100) < self.faults.loss_percent {
            return;
        }
        let long = self.rng.u8(..100) < self.faults.long_delay_percent;
        let delay = self.rng.u64(1..if long { LONG_DELAY_MS } else { MAX_DELAY_MS });
        self.next_message += 1;
        self.inbox.insert((at + delay, self.next_message), (from, to, message));
    }

    fn deliver(&mut self, at: u64) {
        while let Some(entry) = self.inbox.first_entry() {
            if entry.key().0 > at {
                return;
            }
            let ((_, id), (from, to, message)) = entry.remove_entry();
            let paused_until = self.hosts[to].paused_until;
            if paused_until > at {
                self.inbox.insert((paused_until, id), (from, to, message));
                continue;
            }
            self.handle(at, from, to, message);
        }
    }

    fn handle(&mut self, at: u64, from: usize, to: usize, message: Message) {
        let now = self.hosts[to].now(at);
        let sender = self.names[from].clone();
        let membership = &mut self.hosts[to].membership;
        match message {
            Message::Heartbeat(heartbeat) => {
                if membership.handle_heartbeat(now, &heartbeat) == HeartbeatAction::NewerView {
                    self.send(at, to, from, Message::FetchView);
                }
            }
            Message::Propose(view) => {
                let answer = match membership.handle_proposal(now, &view) {
                    Ok(ack) => Message::Ack(view.id, ack),
                    Err(promised) => Message::Refuse(promised),
                };
                self.send(at, to, from, answer);
            }
            Message::Ack(id, ack) => membership.handle_ack(now, sender, &id, ack),
            Message::Refuse(promised) => membership.handle_refusal(&promised),
            Message::Install(view) => membership.handle_installed(now, view),
            Message::FetchView => {
                let view = membership.view().clone();
                self.send(at, to, from, Message::Install(view));
            }
        }
    }

    fn act(&mut self, at: u64) {
        for index in 0..self.hosts.len() {
            if self.hosts[index].paused_until > at {
                continue;
            }
            self.read_table(at, index);
            self.send_heartbeats(at, index);
            let now = self.hosts[index].now(at);
            match self.hosts[index].membership.view_step(now) {
                ViewAction::Wait => {}
                ViewAction::Propose(view) => self.broadcast(at, index, &Message::Propose(view)),
                ViewAction::Install(view) => self.broadcast(at, index, &Message::Install(view)),
            }
        }
    }

    fn read_table(&mut self, at: u64, index: usize) {
        let host = &mut self.hosts[index];
        if at < host.next_read || at < self.table_down_until {
            return;
        }
        host.next_read = at + TABLE_READ_MS;
        let now = host.now(at);
        host.membership.applied(Version(1));
        host.membership.table_read(now, now, Version(1));
    }

    fn send_heartbeats(&mut self, at: u64, index: usize) {
        if at < self.hosts[index].next_heartbeat {
            return;
        }
        self.hosts[index].next_heartbeat = at + HEARTBEAT_MS;
        let now = self.hosts[index].now(at);
        let seq = self.hosts[index].membership.begin_round(now);
        for to in 0..self.hosts.len() {
            if to != index {
                let heartbeat = self.hosts[index].membership.heartbeat(now, seq, &self.names[to]);
                self.send(at, index, to, Message::Heartbeat(heartbeat));
            }
        }
    }

    fn broadcast(&mut self, at: u64, from: usize, message: &Message) {
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            self.send(at, from, to, message.clone());
        }
    }
}

fn pools() -> Vec<PoolName> {
    ["rota", "swap", "mail"].map(|it| PoolName::try_from(it).unwrap()).to_vec()
}

#[test]
fn no_pool_has_two_owners() {
    fn property(seed: u64, hosts: u8, kinds: u8) -> TestResult {
        let on = |bit: u8, value: u8| if kinds & (1 << bit) == 0 { 0 } else { value };
        let faults = Faults {
            loss_percent: on(0, 10),
            long_delay_percent: on(1, 10),
            pauses: on(2, 20),
            restarts: on(3, 10),
            partitions: on(4, 12),
            table_outages: on(5, 6),
        };
        let mut run = Run::new(seed, 2 + usize::from(hosts % 7), faults);
        match run.run(&pools()) {
            Ok(_) => TestResult::passed(),
            Err(e) => {
                TestResult::error(format!("seed {seed}, hosts {hosts}, kinds {kinds:#b}: {e}"))
            }
        }
    }
    println!("seed {SEED}");
    let rng = Gen::from_size_and_seed(100, SEED);
    QuickCheck::new().rng(rng).tests(150).quickcheck(property as fn(u64, u8, u8) -> TestResult);
}

#[test]
fn pool_has_an_owner_soon_after_the_start() {
    let none = Faults {
        loss_percent: 0,
        long_delay_percent: 0,
        pauses: 0,
        restarts: 0,
        partitions: 0,
        table_outages: 0,
    };
    for seed in 0..20 {
        let longest = Run::new(seed, 8, none).run(&pools()).unwrap();
        assert!(
            longest < 2 * TIMING.standing_with_drift(),
            "seed {seed}: {longest} ms without an owner"
        );
    }
}

#[test]
fn cut_off_host_stops_serving() {
    let name = EntryName::try_from("entry-0").unwrap();
    let incarnation = Incarnation::try_from("run-1").unwrap();
    let mut membership = Membership::new(name.clone(), incarnation, TIMING, Moment(0), 0);
    membership
        .set_record(["entry-0", "entry-1", "entry-2"].map(|it| EntryName::try_from(it).unwrap()));
    assert_eq!(membership.standing(Moment(0)), Standing::NoConfiguration);
    membership.applied(Version(1));
    membership.table_read(Moment(100), Moment(50), Version(1));
    assert_eq!(membership.standing(Moment(2049)), Standing::Serving);
    assert_eq!(membership.standing(Moment(2050)), Standing::Stale);
    membership.table_read(Moment(2100), Moment(2060), Version(2));
    assert_eq!(membership.standing(Moment(2100)), Standing::Behind);
}

#[test]
fn missed_view_starts_a_new_tenure() {
    let me = EntryName::try_from("entry-0").unwrap();
    let incarnation = Incarnation::try_from("run-1").unwrap();
    let mut membership = Membership::new(me.clone(), incarnation, TIMING, Moment(0), 0);
    membership.set_record([me.clone()]);
    membership.applied(Version(1));
    let now = Moment(3000);
    membership.table_read(now, Moment(2900), Version(1));
    let mut tenure_in = |number, basis| {
        let id = ViewId(number, Some(me.clone()));
        let basis = ViewId(basis, Some(me.clone()));
        membership.handle_installed(now, View { id, members: vec![me.clone()], basis });
        membership.tenure(now, &pools()[0])
    };
    let first = tenure_in(10, 9);
    assert!(matches!(first, Tenure::Mine(_)), "{first:?}");
    assert_eq!(tenure_in(11, 10), first);
    assert_ne!(tenure_in(13, 12), first);
}

#[test]
fn heartbeat_round_trips_through_json() {
    let name = |raw: &str| EntryName::try_from(raw).unwrap();
    let mut heartbeat = Heartbeat {
        from: name("entry-0"),
        incarnation: Incarnation::try_from("0a1b2c3d4e5f").unwrap(),
        seq: 7,
        echo: None,
        mode: Mode::Counting,
        version: Version(3),
        promised: ViewId(2, Some(name("entry-1"))),
        installed: ViewId(2, Some(name("entry-1"))),
        table_read: Some(TableRead { age: 40, version: Version(3) }),
    };
    for installed in [2, 1] {
        heartbeat.installed.0 = installed;
        let wire = serde_json::to_string(&heartbeat).unwrap();
        assert_eq!(serde_json::from_str::<Heartbeat>(&wire).unwrap(), heartbeat, "{wire}");
    }
}
