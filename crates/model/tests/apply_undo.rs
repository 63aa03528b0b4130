//! A refused entry leaves the configuration as it was; an applied one does what its changes say one by one.

use fastrand::Rng;
use fuchsiamill_model::{
    Change, ChangeId, Configuration, Error, Host, HostState, Key, KeyDigest, LogEntry, PlanState,
    Pool, Resources, Team, WallTime, config::PoolRole, team::Urgency,
};
use quickcheck::{Gen, QuickCheck};

fn name<T: for<'a> TryFrom<&'a str, Error = Error>>(raw: &str) -> T {
    T::try_from(raw).expect("a valid name")
}

fn some<T: for<'a> TryFrom<&'a str, Error = Error>>(rng: &mut Rng, prefix: &str) -> T {
    name(&format!("{prefix}{}", rng.u8(0..4)))
}

fn state(rng: &mut Rng) -> HostState {
    use HostState::*;
    [Serving, Draining, Rebooting, Checking, SetAside, Absent][rng.usize(0..6)]
}

fn host(rng: &mut Rng) -> Host {
    Host {
        name: some(rng, "h"),
        pool: some(rng, "p"),
        rack: name("r"),
        data_centre: some(rng, "d"),
        region: name("g"),
        backend: ([127, 0, 0, 1], rng.u16(1..9)).into(),
        worker: ([127, 0, 0, 1], 2).into(),
        slots: 8,
        connections: 64,
        resources: Resources::default(),
        state: state(rng),
    }
}

fn change(rng: &mut Rng) -> Change {
    match rng.u8(0..14) {
        0 | 1 => {
            let least_serving = rng.u32(0..9);
            let role = PoolRole::Serving;
            let pool = Pool { name: some(rng, "p"), role, least_serving, most_out_per_domain: 2 };
            Change::PutPool { pool }
        }
        2 => Change::RemovePool { pool: some(rng, "p") },
        3 => {
            let share = rng.u32(0..3);
            let urgent = Urgency::Normal;
            let team = Team { name: some(rng, "t"), share, upper_limit: 3, queue: 4, urgent };
            Change::PutTeam { team }
        }
        4 => Change::SetShare { team: some(rng, "t"), share: rng.u32(0..3) },
        5 => {
            let digest = KeyDigest::of(&rng.u8(0..4).to_string());
            Change::GrantKey { key: Key { id: some(rng, "k"), team: some(rng, "t"), digest } }
        }
        6 => Change::WithdrawKey { key: some(rng, "k") },
        7 | 8 => Change::PutHost { host: host(rng) },
        9 | 10 => Change::SetHostState { host: some(rng, "h"), state: state(rng) },
        11 => Change::MoveHost { host: some(rng, "h"), pool: some(rng, "p") },
        12 => Change::StartPlan { plan: some(rng, "w"), hosts: vec![some(rng, "h")] },
        _ => match rng.bool() {
            true => Change::SetPlanState { plan: some(rng, "w"), state: PlanState::Paused },
            false => Change::EndPlan { plan: some(rng, "w") },
        },
    }
}

fn entry(cfg: &Configuration, rng: &mut Rng, changes: Vec<Change>) -> LogEntry {
    LogEntry {
        version: cfg.version.next(),
        id: ChangeId(cfg.version.to_string()),
        who: name("mei"),
        intent: "test".into(),
        plan: rng.bool().then(|| some(rng, "w")),
        at: WallTime(0),
        changes,
    }
}

/// The index by pool tells what a look at every host tells.
fn check_index(cfg: &Configuration, seed: u64) {
    for pool in (0..4).map(|it| name(&format!("p{it}"))) {
        let indexed: Vec<&Host> = cfg.hosts_of(&pool).collect();
        let found: Vec<&Host> = cfg.hosts.values().filter(|it| it.pool == pool).collect();
        assert_eq!(indexed, found, "pool {pool}, seed {seed}");
    }
}

fn refused_entries_change_nothing(seed: u64) -> bool {
    let mut rng = Rng::with_seed(seed);
    let mut cfg = Configuration::default();
    let (mut applied, mut refused) = (0, 0);
    for _ in 0..300 {
        let changes = (0..rng.usize(1..4)).map(|_| change(&mut rng)).collect();
        let entry = entry(&cfg, &mut rng, changes);
        let before = cfg.clone();
        let wanted = cfg.check(&entry);
        assert_eq!(cfg, before, "a check changed something, seed {seed}");
        match cfg.apply(&entry) {
            Ok(()) => applied += 1,
            Err(e) => {
                refused += 1;
                assert_eq!(wanted, Err(e));
                assert_eq!(cfg, before, "refused {entry:?}, seed {seed}");
            }
        }
        check_index(&cfg, seed);
    }
    applied > 20 && refused > 20
}

#[test]
fn refused_entry_is_taken_back_whole() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 5))
        .quickcheck(refused_entries_change_nothing as fn(u64) -> bool);
}
