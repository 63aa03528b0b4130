//! A confirmed plan holds its hosts: of two plans on one host exactly one is confirmed.

use fuchsiamill_model::{
    Change, ChangeId, Configuration, Error, Host, HostName, HostState, LogEntry, PlanId, PlanState,
    Pool, PoolName, Progress, Resources, WallTime, config::PoolRole,
};

fn name<T: for<'a> TryFrom<&'a str, Error = Error>>(raw: &str) -> T {
    T::try_from(raw).expect("a valid name")
}

fn host(raw: &str) -> Host {
    Host {
        name: name(raw),
        pool: name("p"),
        rack: name("r"),
        data_centre: name("d"),
        region: name("g"),
        backend: "127.0.0.1:1".parse().expect("an address"),
        worker: "127.0.0.1:2".parse().expect("an address"),
        slots: 8,
        connections: 64,
        resources: Resources::default(),
        state: HostState::Serving,
    }
}

fn pool() -> Pool {
    Pool { name: name("p"), role: PoolRole::Serving, least_serving: 8, most_out_per_domain: 2 }
}

fn entry(cfg: &Configuration, who: &str, plan: Option<&str>, changes: Vec<Change>) -> LogEntry {
    LogEntry {
        version: cfg.version.next(),
        id: ChangeId(format!("c{}", cfg.version.next())),
        who: name(who),
        intent: format!("wave of {who}"),
        plan: plan.map(name),
        at: WallTime(0),
        changes,
    }
}

fn apply(
    cfg: &mut Configuration,
    who: &str,
    plan: Option<&str>,
    changes: Vec<Change>,
) -> fuchsiamill_model::Result<()> {
    let entry = entry(cfg, who, plan, changes);
    cfg.apply(&entry)
}

fn start(plan: &str, hosts: &[&str]) -> Change {
    Change::StartPlan { plan: name(plan), hosts: hosts.iter().map(|it| name(it)).collect() }
}

fn set(host: &str, state: HostState) -> Change {
    Change::SetHostState { host: name(host), state }
}

fn fleet() -> Configuration {
    let mut cfg = Configuration::default();
    let mut changes = vec![Change::PutPool { pool: pool() }];
    changes.extend(["a", "b", "c"].map(|it| Change::PutHost { host: host(it) }));
    apply(&mut cfg, "ann", None, changes).expect("a fleet");
    cfg
}

fn progress(cfg: &Configuration, plan: &str, host: &str) -> Progress {
    cfg.plans[&name::<PlanId>(plan)].hosts[&name::<HostName>(host)]
}

#[test]
fn one_plan_holds_a_host() {
    let mut cfg = fleet();
    apply(&mut cfg, "ann", Some("x"), vec![start("x", &["a", "b"])]).expect("the first plan");
    let refused = apply(&mut cfg, "ben", Some("y"), vec![start("y", &["b", "c"])]);
    let Err(Error::HostHeld { host, plan, who, intent }) = refused else {
        panic!("the second plan was taken: {refused:?}");
    };
    assert_eq!((host.as_str(), plan.as_str(), who.as_str()), ("b", "x", "ann"));
    assert_eq!(intent, "wave of ann");
    assert!(!cfg.plans.contains_key(&name::<PlanId>("y")));
}

#[test]
fn held_hosts_change_only_for_their_plan() {
    let mut cfg = fleet();
    apply(&mut cfg, "ann", Some("x"), vec![start("x", &["a"])]).expect("the plan");
    let other = vec![set("a", HostState::Draining)];
    assert!(apply(&mut cfg, "ben", None, other.clone()).is_err());
    assert!(apply(&mut cfg, "ben", Some("y"), other.clone()).is_err());
    assert!(apply(&mut cfg, "ben", None, vec![Change::PutHost { host: host("a") }]).is_err());
    apply(&mut cfg, "ann", Some("x"), other).expect("its own change");
    assert_eq!(progress(&cfg, "x", "a"), Progress::Out);
    let back = vec![Change::MoveHost { host: name("a"), pool: name::<PoolName>("p") }];
    assert!(apply(&mut cfg, "ben", None, back).is_err());
    apply(&mut cfg, "ann", Some("x"), vec![set("a", HostState::Serving)]).expect("back");
    assert_eq!(progress(&cfg, "x", "a"), Progress::Done);
    apply(&mut cfg, "ann", Some("x"), vec![Change::EndPlan { plan: name("x") }]).expect("the end");
    apply(&mut cfg, "ben", None, vec![set("a", HostState::Draining)]).expect("a free host");
}

#[test]
fn failures_are_recorded_whoever_holds_the_host() {
    let mut cfg = fleet();
    apply(&mut cfg, "ann", Some("x"), vec![start("x", &["a"])]).expect("the plan");
    apply(&mut cfg, "monitor", None, vec![set("a", HostState::SetAside)]).expect("a failure");
    assert_eq!(progress(&cfg, "x", "a"), Progress::SetAside);
}

#[test]
fn plans_go_only_forward() {
    let mut cfg = fleet();
    let step = |step| vec![Change::AdvancePlan { plan: name("x"), step }];
    let state = |state| vec![Change::SetPlanState { plan: name("x"), state }];
    assert!(apply(&mut cfg, "ann", Some("x"), step(1)).is_err());
    apply(&mut cfg, "ann", Some("x"), vec![start("x", &["a"])]).expect("the plan");
    apply(&mut cfg, "ann", Some("x"), step(2)).expect("a later step");
    assert!(apply(&mut cfg, "ann", Some("x"), step(2)).is_err());
    assert!(apply(&mut cfg, "ann", Some("x"), step(1)).is_err());
    apply(&mut cfg, "ben", Some("x"), state(PlanState::Paused)).expect("a pause");
    apply(&mut cfg, "ann", Some("x"), state(PlanState::Running)).expect("a resume");
    apply(&mut cfg, "ben", Some("x"), state(PlanState::Cancelling)).expect("a cancel");
    assert!(apply(&mut cfg, "ann", Some("x"), state(PlanState::Running)).is_err());
}

#[test]
fn two_plans_cannot_spend_one_budget() {
    let mut cfg = fleet();
    let drain = |host| vec![set(host, HostState::Draining)];
    apply(&mut cfg, "ann", Some("x"), vec![start("x", &["a", "b"])]).expect("the first plan");
    apply(&mut cfg, "ben", Some("y"), vec![start("y", &["c"])]).expect("the second plan");
    apply(&mut cfg, "ann", Some("x"), drain("a")).expect("the first host");
    apply(&mut cfg, "ben", Some("y"), drain("c")).expect("the second host");
    let refused = apply(&mut cfg, "ann", Some("x"), drain("b"));
    assert!(matches!(refused, Err(Error::Budget { left: 0, least: 8, .. })), "{refused:?}");
    let failed = vec![set("c", HostState::SetAside)];
    apply(&mut cfg, "monitor", None, failed).expect("a failure is only recorded");
    let refused = apply(&mut cfg, "ann", Some("x"), drain("b"));
    assert!(refused.is_err(), "a failure counts against the budget");
}

#[test]
fn a_serving_host_is_not_replaced() {
    let mut cfg = fleet();
    let put = |change: fn(&mut Host)| {
        let mut host = host("a");
        change(&mut host);
        vec![Change::PutHost { host }]
    };
    apply(&mut cfg, "ben", None, put(|_| {})).expect("the same record again");
    let fewer_slots: fn(&mut Host) = |it| it.slots = 1;
    let changed: [fn(&mut Host); 3] =
        [fewer_slots, |it| it.state = HostState::SetAside, |it| it.data_centre = name("e")];
    for change in changed {
        let refused = apply(&mut cfg, "ben", None, put(change)).expect_err("a serving host");
        assert!(refused.to_string().contains("drain-host"), "{refused}");
    }
    apply(&mut cfg, "ben", None, vec![set("a", HostState::SetAside)]).expect("a failure");
    assert!(apply(&mut cfg, "ben", None, put(fewer_slots)).is_err(), "it would serve at once");
    let aside = put(|it| (it.slots, it.state) = (1, HostState::SetAside));
    apply(&mut cfg, "ben", None, aside).expect("a host that is set aside");
    assert_eq!(cfg.hosts[&name::<HostName>("a")].slots, 1);
}

#[test]
fn absence_is_recorded_beside_the_plan_that_holds_the_host() {
    let mut cfg = fleet();
    apply(&mut cfg, "ann", Some("x"), vec![start("x", &["a"])]).expect("the plan");
    for state in [HostState::Absent, HostState::Serving] {
        apply(&mut cfg, "monitor", None, vec![set("a", state)]).expect("absence and return");
        assert_eq!(progress(&cfg, "x", "a"), Progress::Pending);
    }
    let draining = vec![set("a", HostState::Draining)];
    apply(&mut cfg, "ann", Some("x"), draining).expect("its own change");
    assert!(apply(&mut cfg, "monitor", None, vec![set("a", HostState::Absent)]).is_err());
}
