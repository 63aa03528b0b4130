//! Long-running tasks and the upper limits of their teams.

mod common;

use fuchsiamill_fleet::{Config, JobSpec, Step, Team};
use fuchsiamill_model::{Resources, units::Millisecond};

use common::pools::{PoolFleet, PoolHost, busy, job_in, lasting, with_pools};

/// The users' rule: a task that lasts runs again within 6 s, and 3 s more.
const LOST_MS: Millisecond = 9_000;

/// Wait until the limit is kept, the longest short task and a start, each with a round.
const KEPT_BOUND_MS: Millisecond = 1_000 + 1_500 + 500;

/// The limit of the team.
const LIMIT_MILLICORES: u32 = 14_000;

/// Rounds in which short tasks of the team take all of its limit.
const FILL_ROUNDS: u64 = 20;

/// Rounds after which a limit that is kept is kept, and the short tasks before have ended.
const SETTLE_ROUNDS: u64 = 30;

/// What short tasks may have less than without a long-running one that waits, as a mean.
const SLACK_MILLICORES: u32 = 300;

/// Returns a configuration in which the team has the limit.
fn limited() -> Config {
    let mut config = with_pools(&["web"]);
    config.teams.get_mut("north").unwrap().limit = millicores(LIMIT_MILLICORES);
    config
}

fn millicores(millicores: u32) -> Resources {
    Resources { millicores, ..Resources::default() }
}

fn long(step: Step) -> JobSpec {
    job_in("web", vec![step])
}

fn gang(count: u32, size: u32) -> JobSpec {
    long(Step { gang: true, ..lasting(count, size) })
}

/// Returns what the team's runs take, in millicores: all of them, and the long-running ones.
fn used_by(fleet: &PoolFleet, team: &str) -> (u32, u32) {
    let mut used = (0, 0);
    for task in fleet.hosts.iter().flat_map(|it| it.running.keys()) {
        if fleet.specs[&task.job].team == team {
            let step = fleet.step_of(task);
            used.0 += step.size.millicores;
            used.1 += if step.long_running { step.size.millicores } else { 0 };
        }
    }
    used
}

/// Sends what keeps the team at its limit for so many rounds, and returns the mean of what its short tasks take.
fn short_use(fleet: &mut PoolFleet, prefix: &str, rounds: u64) -> u32 {
    let mut sum = 0;
    for round in 0..rounds {
        busy(fleet, "web", &format!("{prefix}{round}"), 1, 3);
        let (all, lasting) = used_by(fleet, "north");
        assert!(all <= LIMIT_MILLICORES, "the team uses {all}");
        sum += all - lasting;
    }
    sum / rounds as u32
}

/// Returns what short tasks take once a long-running one, if there is one, has waited.
fn short_use_beside(mut fleet: PoolFleet, spec: Option<JobSpec>) -> u32 {
    short_use(&mut fleet, "a", FILL_ROUNDS);
    spec.into_iter().for_each(|it| fleet.accept("long", it));
    short_use(&mut fleet, "b", SETTLE_ROUNDS);
    let mean = short_use(&mut fleet, "c", 60);
    assert!(fleet.runs.keys().all(|it| it.job != "long"), "it starts");
    mean
}

/// Checks that short tasks go on beside a long-running one that does not start as without it.
fn assert_not_kept(fleet: impl Fn() -> PoolFleet, spec: JobSpec) {
    let without = short_use_beside(fleet(), None);
    let beside = short_use_beside(fleet(), Some(spec));
    assert!(
        beside + SLACK_MILLICORES >= without,
        "short tasks have {beside}, and {without} without it"
    );
}

/// A fleet of workers that have room for more than the limit.
fn roomy() -> PoolFleet {
    PoolFleet::new(limited(), &["web"; 4])
}

/// A configuration with another team, which has this limit.
fn with_south(limit: u32) -> Config {
    let mut config = limited();
    let south = Team { name: "south".into(), ..config.teams["north"].clone() };
    config.teams.insert("south".into(), Team { limit: millicores(limit), ..south });
    config
}

/// Short tasks of a team use up its limit each time a task of it ends, so that its larger lasting task never fits below it.
#[test]
fn short_tasks_at_team_limit_keep_no_lasting_task_waiting() {
    let mut config = with_pools(&["web"]);
    config.teams.get_mut("north").unwrap().limit =
        Resources { millicores: 14_000, memory_mib: 0, accelerators: 0 };
    let mut fleet = PoolFleet::new(config, &["web", "web"]);
    busy(&mut fleet, "web", "a", 20, 3);
    fleet.accept("long", job_in("web", vec![lasting(1, 6)]));
    busy(&mut fleet, "web", "b", 200, 3);
    fleet.assert_runs(LOST_MS);
}

#[test]
fn lasting_task_starts_below_limit_where_there_is_room() {
    let mut fleet = roomy();
    short_use(&mut fleet, "a", FILL_ROUNDS);
    fleet.accept("long", long(lasting(2, 6)));
    short_use(&mut fleet, "b", 60);
    fleet.assert_runs(KEPT_BOUND_MS);
    // What was kept is given back.
    let mean = short_use(&mut fleet, "c", 60);
    assert!(mean >= 1_500, "short tasks have {mean} of the 2 cores that are left");
}

/// Returns what short tasks take in each round once a long-running one, if there is one, waits.
fn uses_from_begin_of_wait(spec: Option<JobSpec>) -> Vec<u32> {
    let mut fleet = roomy();
    short_use(&mut fleet, "a", FILL_ROUNDS);
    spec.into_iter().for_each(|it| fleet.accept("long", it));
    (0..SETTLE_ROUNDS).map(|it| short_use(&mut fleet, &format!("b{it}-"), 1)).collect()
}

#[test]
fn limit_is_not_kept_for_first_second() {
    let without = uses_from_begin_of_wait(None);
    let beside = uses_from_begin_of_wait(Some(long(lasting(1, 6))));
    assert_eq!(beside[..10], without[..10]);
    assert_ne!(beside[10..], without[10..]);
}

/// Both the limit and the workers are full, and these for longer. What is kept of the limit stays while room is held.
#[test]
fn lasting_task_starts_where_limit_and_workers_are_full() {
    let mut config = with_south(0);
    config.teams.get_mut("north").unwrap().limit = millicores(8_000);
    let mut fleet = PoolFleet::new(config, &["web"; 3]);
    for round in 0..200 {
        if round == FILL_ROUNDS {
            fleet.accept("long", long(lasting(1, 6)));
        }
        for number in 0..3 {
            let estimate_ms = 3_000 + ((round * 3 + number) * 53) % 800;
            let spec = long(Step { estimate_ms, ..common::step(1) });
            fleet.accept(&format!("s{round}-{number}"), JobSpec { team: "south".into(), ..spec });
        }
        short_use(&mut fleet, &format!("n{round}-"), 1);
    }
    fleet.assert_runs(KEPT_BOUND_MS);
}

/// Returns the least that another team with a limit has beside tasks that wait for theirs.
fn least_of_south(spec: Option<JobSpec>) -> u32 {
    let mut fleet = PoolFleet::new(with_south(8_000), &["web"; 4]);
    let mut spec = spec;
    let mut least = u32::MAX;
    for round in 0..150 {
        if round == FILL_ROUNDS {
            spec.take().into_iter().for_each(|it| fleet.accept("long", it));
        }
        for number in 0..3 {
            let spec = JobSpec { team: "south".into(), ..long(common::step(1)) };
            fleet.accept(&format!("s{round}-{number}"), spec);
        }
        short_use(&mut fleet, &format!("n{round}-"), 1);
        if round >= FILL_ROUNDS {
            least = least.min(used_by(&fleet, "south").0);
        }
        let has_started = fleet.runs.keys().any(|it| it.job == "long");
        let mut workers = fleet.bench.coordinator.workers().values();
        assert!(has_started || workers.all(|it| it.held_for.is_none()), "held in {round}");
    }
    fleet.assert_runs(KEPT_BOUND_MS);
    least
}

/// No worker holds room for a task that only the limit keeps from starting, and no other team's limit is kept.
#[test]
fn other_teams_are_not_held_back() {
    let without = least_of_south(None);
    let beside = least_of_south(Some(long(lasting(2, 6))));
    assert!(beside >= without, "the other team has {beside}, and {without} without");
}

#[test]
fn task_larger_than_limit_keeps_nothing() {
    let fleet = || {
        let mut hosts: Vec<PoolHost> = (0..4).map(|_| PoolHost::new("web")).collect();
        hosts.iter_mut().for_each(|it| it.capacity = common::cores(16));
        PoolFleet::of_hosts(limited(), hosts)
    };
    assert_not_kept(fleet, long(lasting(1, 15)));
}

#[test]
fn task_that_others_leave_no_limit_for_keeps_nothing() {
    let fleet = || {
        let mut fleet = roomy();
        fleet.accept("others", long(lasting(2, 5)));
        fleet.play(1_000);
        assert_eq!(used_by(&fleet, "north").1, 10_000);
        fleet
    };
    assert_not_kept(fleet, long(lasting(1, 6)));
}

#[test]
fn task_larger_than_workers_keeps_nothing() {
    assert_not_kept(roomy, long(lasting(1, 9)));
}

#[test]
fn task_without_labelled_worker_keeps_nothing() {
    assert_not_kept(roomy, long(Step { label: Some("gpu".into()), ..lasting(1, 6) }));
}

/// Workers are full of tasks that last, so that the task has no place even if the limit leaves room.
#[test]
fn task_without_room_beside_lasting_ones_keeps_nothing() {
    let fleet = || {
        let mut fleet = PoolFleet::new(with_south(0), &["web"; 4]);
        let spread = Step { per_worker: Some(1), ..lasting(4, 4) };
        fleet.accept("others", JobSpec { team: "south".into(), ..long(spread) });
        fleet.play(1_000);
        assert_eq!(used_by(&fleet, "south").1, 16_000);
        fleet
    };
    assert_not_kept(fleet, long(lasting(1, 6)));
}

#[test]
fn gang_starts_below_limit() {
    let mut fleet = roomy();
    short_use(&mut fleet, "a", FILL_ROUNDS);
    fleet.accept("long", gang(2, 6));
    short_use(&mut fleet, "b", 60);
    fleet.assert_runs(KEPT_BOUND_MS);
}

#[test]
fn gang_larger_than_limit_keeps_nothing() {
    assert_not_kept(roomy, gang(3, 6));
}

/// The limit leaves room for the gang, and two of the three workers that it needs are there.
#[test]
fn gang_wider_than_pool_keeps_nothing() {
    let fleet = || PoolFleet::new(limited(), &["web"; 2]);
    let step = Step { per_worker: Some(1), gang: true, ..lasting(3, 4) };
    assert_not_kept(fleet, long(step));
}

/// An urgent queue takes what is kept for a less urgent one, as it takes room that is held.
#[test]
fn urgent_queue_takes_kept_limit() {
    let mut spec = long(lasting(1, 6));
    spec.route.priority = 1;
    assert_not_kept(roomy, spec);
}

/// A limit on processors that is kept does not hold back tasks that need none, nor does one on accelerators others.
#[test]
fn kept_accelerators_leave_tasks_without_them_alone() {
    let accelerators = |accelerators| Resources { accelerators, ..Resources::default() };
    let mut config = limited();
    config.teams.get_mut("north").unwrap().limit = accelerators(4);
    let mut fleet = PoolFleet::new(config, &["web"; 4]);
    fleet.hosts[0].capacity.accelerators = 8;
    fleet.label(0, "kind-b");
    let with = |count, step: Step| {
        let size = Resources { accelerators: count, ..common::cores(1) };
        long(Step { size, ..step })
    };
    let mut least = u32::MAX;
    for round in 0..150 {
        if round == FILL_ROUNDS {
            fleet.accept("long", with(4, lasting(1, 1)));
        }
        fleet.accept(&format!("a{round}"), with(1, common::step(1)));
        busy(&mut fleet, "web", &format!("s{round}"), 1, 1);
        if round >= FILL_ROUNDS {
            least = least.min(used_by(&fleet, "north").0);
        }
    }
    fleet.assert_runs(KEPT_BOUND_MS);
    assert!(least >= 6_000, "{least} in use");
}
