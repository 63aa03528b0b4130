//! Every candidate keeps the budgets and covers each host once, and the cheapest candidate is chosen.

mod fleets;

use std::collections::BTreeSet;

use fleets::{RUIYUAN, SATHORN, Shape, TIMING, entry, fleet, name, req};
use fuchsiamill_model::{Change, Configuration, HostName, HostState, Intent, Team};
use fuchsiamill_policy::planner::{self, Error, Step, Strategy, Task, Work};
use quickcheck::{Gen, QuickCheck, TestResult};

const SEED: u64 = 20_261;
const SIZE: usize = 100;

fn check<A: quickcheck::Testable>(property: A) {
    let rng = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new().rng(rng).tests(300).quickcheck(property);
}

fn set(hosts: &[HostName], state: HostState) -> Vec<Change> {
    hosts.iter().map(|host| Change::SetHostState { host: host.clone(), state }).collect()
}

fn apply(cfg: &mut Configuration, changes: Vec<Change>) -> Result<(), String> {
    let entry = entry(cfg, None, changes);
    cfg.apply(&entry).map_err(|e| e.to_string())
}

fn replay_batch(cfg: &mut Configuration, work: &Work, hosts: &[HostName]) -> Result<(), String> {
    if work.task != Task::Restore {
        apply(cfg, set(hosts, HostState::Draining))?;
    }
    match &work.task {
        Task::TakeOut => apply(cfg, set(hosts, HostState::SetAside)),
        Task::Move { to } => {
            let each = |host: &HostName| Change::MoveHost { host: host.clone(), pool: to.clone() };
            let moved = hosts.iter().map(each);
            apply(cfg, moved.chain(set(hosts, HostState::Serving)).collect())
        }
        Task::Cycle | Task::Restore => {
            apply(cfg, set(hosts, HostState::Checking))?;
            apply(cfg, set(hosts, HostState::Serving))
        }
    }
}

/// Applies the steps to a configuration, which rejects changes that break its rules.
fn replay(cfg: &Configuration, steps: &[Step]) -> Result<Configuration, String> {
    let mut cfg = cfg.clone();
    for work in steps.iter().filter_map(Step::work) {
        for batch in &work.batches {
            replay_batch(&mut cfg, work, &batch.hosts)?;
        }
    }
    Ok(cfg)
}

fn cycled(steps: &[Step]) -> Vec<HostName> {
    let work = steps.iter().filter_map(Step::work).filter(|it| it.task == Task::Cycle);
    work.flat_map(|it| it.hosts().cloned().collect::<Vec<_>>()).collect()
}

fn wave() -> Intent {
    Intent::Wave { pool: None }
}

#[test]
fn wave_candidates_keep_budgets() {
    fn property(shape: Shape) -> TestResult {
        let cfg = fleet(&shape);
        let candidates = planner::candidates(&cfg, &TIMING, &wave()).expect("candidates");
        for (candidate, _) in candidates.iter().filter(|(it, _)| it.blocked.is_empty()) {
            let after = match replay(&cfg, &candidate.steps) {
                Ok(after) => after,
                Err(e) => return TestResult::error(format!("{:?}: {e}", candidate.strategy)),
            };
            let hosts = cycled(&candidate.steps);
            let once: BTreeSet<_> = hosts.iter().collect();
            let pools = |cfg: &Configuration| {
                cfg.hosts.values().map(|it| it.pool.clone()).collect::<Vec<_>>()
            };
            if hosts.len() != shape.hosts
                || once.len() != shape.hosts
                || pools(&cfg) != pools(&after)
            {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
    check(property as fn(Shape) -> TestResult);
}

#[test]
fn drains_and_moves_keep_budgets() {
    fn property(shape: Shape, rack: usize, count: u8) -> TestResult {
        let cfg = fleet(&shape);
        let rack = rack % shape.hosts.div_ceil(shape.rack);
        let drain = Intent::DrainRack { rack: name(&format!("r{rack:04}")) };
        let [from, to] = [0, shape.pools - 1].map(fleets::pool_name);
        let relocate = Intent::MoveHosts { from, to, count: 1 + u32::from(count % 8) };
        for intent in [drain, relocate] {
            let Ok(candidates) = planner::candidates(&cfg, &TIMING, &intent) else { continue };
            for (candidate, _) in candidates.iter().filter(|(it, _)| it.blocked.is_empty()) {
                if let Err(e) = replay(&cfg, &candidate.steps) {
                    return TestResult::error(format!("{intent:?} {:?}: {e}", candidate.strategy));
                }
            }
        }
        TestResult::passed()
    }
    check(property as fn(Shape, usize, u8) -> TestResult);
}

#[test]
fn no_plan_is_faster_than_the_lower_bound() {
    fn property(shape: Shape) -> TestResult {
        let cfg = fleet(&shape);
        let plan = planner::plan(&cfg, &req(RUIYUAN), &wave()).expect("a plan");
        if !plan.blocked.is_empty() {
            return TestResult::discard();
        }
        let Some(bound) = plan.lower_bound else { return TestResult::failed() };
        let others = plan.rejected.iter().filter_map(|it| it.measures);
        let all = others.chain([plan.measures]);
        TestResult::from_bool(all.into_iter().all(|it| it.rollout >= bound))
    }
    check(property as fn(Shape) -> TestResult);
}

#[test]
fn cheapest_candidate_wins() {
    fn property(shape: Shape) -> bool {
        let cfg = fleet(&shape);
        [RUIYUAN, SATHORN].into_iter().all(|weights| {
            let plan = planner::plan(&cfg, &req(weights), &wave()).expect("a plan");
            plan.rejected.iter().all(|it| it.cost.is_none_or(|cost| cost >= plan.cost))
        })
    }
    check(property as fn(Shape) -> bool);
}

#[test]
fn weights_lead_to_different_plans() {
    let cfg = fleet(&Shape::today());
    let fast = planner::plan(&cfg, &req(RUIYUAN), &wave()).expect("a plan");
    let small_buffer = planner::plan(&cfg, &req(SATHORN), &wave()).expect("a plan");
    assert!(fast.measures.rollout < small_buffer.measures.rollout);
    assert!(small_buffer.measures.buffer < fast.measures.buffer);
    assert_eq!(small_buffer.measures.moves, 0);
}

#[test]
fn drains_borrow_spare_hosts_or_are_blocked() {
    let mut shape = Shape::today();
    shape.least = 80;
    let cfg = fleet(&shape);
    let drain = Intent::DrainRack { rack: name("r0000") };
    let plan = planner::plan(&cfg, &req(SATHORN), &drain).expect("a plan");
    assert!(matches!(plan.strategy, Strategy::Lending { .. }), "{:?}", plan.strategy);
    shape.most_out = 0;
    let plan = planner::plan(&fleet(&shape), &req(SATHORN), &drain).expect("a plan");
    assert!(!plan.blocked.is_empty());
}

#[test]
fn changed_facts_are_reported() {
    let mut cfg = fleet(&Shape::today());
    let plan = planner::plan(&cfg, &req(SATHORN), &wave()).expect("a plan");
    let team = Intent::SetShare { team: name("t1"), share: 9 };
    let share = planner::plan(&cfg, &req(SATHORN), &team).expect("a plan");
    let other = Change::PutTeam { team: Team { name: name("new"), ..cfg.teams["t0"].clone() } };
    apply(&mut cfg, vec![other]).expect("a change elsewhere");
    assert_eq!(plan.changed_facts(&cfg), Vec::<String>::new());
    assert_eq!(share.changed_facts(&cfg), Vec::<String>::new());
    apply(&mut cfg, set(&[name("h00003")], HostState::SetAside)).expect("a failure");
    let share_set = Change::SetShare { team: name("t1"), share: 5 };
    apply(&mut cfg, vec![share_set]).expect("a share");
    let changed = plan.changed_facts(&cfg);
    assert!(changed[0].contains("'h00003'") && changed[0].contains("set-aside"), "{changed:?}");
    assert!(changed[1].contains("'p3'"), "{changed:?}");
    assert_eq!(share.changed_facts(&cfg), ["Team 't1' had share 2 and has 5."]);
}

#[test]
fn impossible_intents_are_refused() {
    let cfg = fleet(&Shape::today());
    let intents = [
        Intent::DrainRack { rack: name("none") },
        Intent::DrainHost { host: name("none") },
        Intent::Wave { pool: Some(name("none")) },
        Intent::SetShare { team: name("none"), share: 1 },
        Intent::SetShare { team: name("t1"), share: 0 },
        Intent::Restore { hosts: vec![name("h00001")] },
    ];
    for intent in intents {
        assert!(planner::plan(&cfg, &req(SATHORN), &intent).is_err(), "{intent:?}");
    }
    let [from, to] = [0, 1].map(fleets::pool_name);
    let many = Intent::MoveHosts { from, to, count: 11 };
    let refused = planner::plan(&cfg, &req(SATHORN), &many);
    assert!(matches!(refused, Err(Error::TooFewHosts { free: 10, wanted: 11, .. })));
}
