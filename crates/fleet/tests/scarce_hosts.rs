//! Hosts that are too few for all pools go to work in the order in which tasks start, whatever pools are called.

mod common;

use common::{
    cores,
    pools::{PoolFleet, job_in, lasting, with_pools},
    step,
};
use fuchsiamill_fleet::{JobSpec, Step, Team};
use fuchsiamill_model::units::Millisecond;

const HOSTS: usize = 30;

/// Wait for room until hosts are asked for, the longest short task, a move and a start, each with a round.
const LASTING_BOUND_MS: Millisecond = 1_000 + 1_000 + 1_500 + 500;

/// A short task counts as hanging once it has run for longer than expected by this.
const OVERDUE_MS: Millisecond = 2_000;

/// Two pools are short: one of short tasks far beyond all hosts, one of long-running tasks that come when all hosts are taken.
/// Returns the fleet after some time.
fn overload(short: &str, long: &str) -> PoolFleet {
    let mut fleet = PoolFleet::new(with_pools(&[short, long]), &["spare"; HOSTS]);
    fleet.accept("mass", job_in(short, vec![step(20_000)]));
    fleet.play(5_000);
    fleet.accept("long", job_in(long, vec![lasting(12, 4)]));
    fleet.play(20_000);
    fleet
}

#[test]
fn long_running_tasks_wait_for_no_pool_of_another_name() {
    let (first, second) = (overload("aaa", "zzz"), overload("zzz", "aaa"));
    for fleet in [&first, &second] {
        let (idle, task) = &fleet.longest_idle;
        assert!(*idle <= LASTING_BOUND_MS, "{task:?} does not run for {idle} ms");
    }
    let moves = |fleet: &PoolFleet| fleet.hosts.iter().map(|it| it.moves).collect::<Vec<_>>();
    assert_eq!(moves(&first), moves(&second));
    assert_eq!(first.hosts_in("zzz"), second.hosts_in("aaa"));
}

/// Hosts whose tasks hang while they are drained never become empty; the pool that waits for them gets others.
#[test]
fn hosts_whose_tasks_hang_are_not_waited_for() {
    let mut fleet = PoolFleet::new(with_pools(&["aaa", "zzz"]), &["spare"; HOSTS]);
    fleet.accept("mass", job_in("aaa", vec![step(20_000)]));
    fleet.play(5_000);
    fleet.accept("long", job_in("zzz", vec![lasting(12, 4)]));
    fleet.play(100);
    let workers = fleet.bench.coordinator.workers().values();
    let drained: Vec<String> =
        workers.filter(|it| it.reserved).map(|it| it.seen.id.to_string()).collect();
    assert!(!drained.is_empty());
    for id in drained {
        let (number, _) = id[1..].split_once('-').unwrap();
        fleet.hang(number.parse().unwrap());
    }
    fleet.play(15_000);
    let (idle, task) = &fleet.longest_idle;
    let bound = LASTING_BOUND_MS + OVERDUE_MS;
    assert!(*idle <= bound, "{task:?} does not run for {idle} ms");
}

/// Hosts that both pools lack went to the first by name.
#[test]
fn pools_that_lack_hosts_get_the_same_part() {
    for (a, b) in [("aaa", "zzz"), ("zzz", "aaa")] {
        let mut fleet = PoolFleet::new(with_pools(&[a, b]), &["spare"; HOSTS]);
        fleet.accept("large", job_in(a, vec![step(20_000)]));
        fleet.accept("small", job_in(b, vec![step(10_000)]));
        fleet.play(5_000);
        let (large, small) = (fleet.hosts_in(a), fleet.hosts_in(b));
        assert_eq!(large + small, HOSTS);
        assert!(large.abs_diff(2 * small) <= 3, "{large} and {small}");
    }
}

/// A pool with a backlog kept all hosts while jobs of another one that could be in time waited behind it.
#[test]
fn backlog_of_one_pool_makes_no_other_pool_late() {
    let mut fleet = PoolFleet::new(with_pools(&["aaa", "zzz"]), &["spare"; HOSTS]);
    fleet.accept("backlog", job_in("aaa", vec![step(20_000)]));
    fleet.play(5_000);
    for number in 0..40 {
        let mut spec = job_in("zzz", vec![step(4)]);
        spec.accepted = fleet.wall();
        fleet.accept(&format!("small-{number:02}"), spec);
        fleet.play(200);
    }
    fleet.play(5_000);
    let took = |id: &String| fleet.done[id.as_str()].since(fleet.accepted[id.as_str()]);
    let ids: Vec<String> = (0..40).map(|it| format!("small-{it:02}")).collect();
    // The first jobs wait until hosts are emptied and have moved.
    let late: Vec<_> = ids.iter().skip(20).filter(|it| took(it) > 2_000).collect();
    assert!(late.is_empty(), "{late:?}");
}

/// A host that goes back and forth works in neither pool.
#[test]
fn scarce_hosts_do_not_go_back_and_forth() {
    let fleet = overload("aaa", "zzz");
    let most = fleet.hosts.iter().map(|it| it.moves).max().unwrap();
    assert!(most <= 2, "{most} moves of one host");
}

/// The only host with a label is busy with short tasks of another pool, which has its share.
#[test]
fn busy_host_with_a_label_is_emptied_for_the_task_that_needs_it() {
    let mut fleet = PoolFleet::new(with_pools(&["aaa", "zzz"]), &["aaa"; 6]);
    fleet.label(4, "kind-b");
    fleet.accept("mass", job_in("aaa", vec![step(20_000)]));
    fleet.play(3_000);
    let labelled = Step { label: Some("kind-b".into()), ..lasting(1, 4) };
    fleet.accept("long", job_in("zzz", vec![labelled]));
    fleet.play(20_000);
    fleet.assert_runs(LASTING_BOUND_MS);
}

/// Busy hosts in one pool, of which those with the numbers have a label; a task in another pool that keeps its three hosts.
fn beside_busy(labelled: &[usize], own: Option<Step>, sent: Step, limit: u32) -> PoolFleet {
    let mut config = with_pools(&["aaa", "zzz"]);
    config.teams.get_mut("north").unwrap().limit = cores(limit);
    let south = Team { name: "south".into(), limit: cores(0), ..config.teams["north"].clone() };
    config.teams.insert(south.name.clone(), south);
    let pools = ["aaa", "aaa", "aaa", "aaa", "aaa", "aaa", "zzz", "zzz", "zzz"];
    let mut fleet = PoolFleet::new(config, &pools);
    labelled.iter().for_each(|it| fleet.label(*it, "kind-b"));
    let of_south = |spec: JobSpec| JobSpec { team: "south".into(), ..spec };
    own.into_iter().for_each(|it| fleet.accept("own", of_south(job_in("aaa", vec![it]))));
    let kept = Step { per_worker: Some(1), ..lasting(3, 1) };
    fleet.accept("kept", of_south(job_in("zzz", vec![kept])));
    fleet.accept("mass", of_south(job_in("aaa", vec![step(20_000)])));
    fleet.play(3_000);
    fleet.accept("long", job_in("zzz", vec![sent]));
    fleet.play(20_000);
    fleet
}

fn labelled(count: u32, size: u32) -> Step {
    Step { label: Some("kind-b".into()), ..lasting(count, size) }
}

fn moves_of_busy(fleet: &PoolFleet) -> Vec<u32> {
    fleet.hosts[..6].iter().map(|it| it.moves).collect()
}

#[test]
fn only_the_host_with_the_label_is_emptied_for_it_and_stays() {
    let fleet = beside_busy(&[4], None, labelled(1, 4), 0);
    fleet.assert_runs(LASTING_BOUND_MS);
    assert_eq!(moves_of_busy(&fleet), [0, 0, 0, 0, 1, 0]);
}

/// A worker may have only one of the tasks.
#[test]
fn as_many_labelled_hosts_are_emptied_as_tasks_must_not_share_one() {
    let apart = Step { per_worker: Some(1), ..labelled(2, 1) };
    let fleet = beside_busy(&[3, 4, 5], None, apart, 0);
    fleet.assert_runs(LASTING_BOUND_MS);
    assert_eq!(moves_of_busy(&fleet)[3..].iter().sum::<u32>(), 2);
}

/// Half of the tasks run near their data, the others wait for a while for room there.
#[test]
fn no_busy_host_is_emptied_for_being_near_data() {
    let near = Step { rack: Some("kind-b".into()), ..lasting(14, 1) };
    let fleet = beside_busy(&[4, 6], None, near, 0);
    fleet.assert_runs(LASTING_BOUND_MS);
    assert_eq!(moves_of_busy(&fleet), [0; 6]);
}

/// The first pool needs both hosts with the label for a task of its own, with headroom.
#[test]
fn pool_gives_no_labelled_host_that_its_own_claim_needs() {
    let mut fleet = beside_busy(&[3, 4], Some(labelled(1, 7)), labelled(1, 4), 0);
    for _ in 0..20 {
        let mut workers = fleet.bench.coordinator.workers().values();
        assert!(workers.all(|it| !it.reserved));
        fleet.play(100);
    }
    assert_eq!(moves_of_busy(&fleet), [0; 6]);
}

/// The host is being emptied for another pool when its own one gets a task that needs the label.
#[test]
fn labelled_host_stays_where_its_own_claim_needs_it_meanwhile() {
    let mut fleet = PoolFleet::new(with_pools(&["aaa", "zzz"]), &["zzz"; 6]);
    fleet.label(4, "kind-b");
    fleet.accept("mass", job_in("zzz", vec![step(20_000)]));
    fleet.play(3_000);
    fleet.accept("long", job_in("aaa", vec![labelled(1, 4)]));
    fleet.play(200);
    fleet.accept("own", job_in("zzz", vec![labelled(1, 4)]));
    fleet.play(20_000);
    assert_eq!(fleet.hosts[4].moves, 0);
    assert!(fleet.hosts[4].running.keys().any(|it| it.job == "own"));
}

#[test]
fn no_busy_host_is_emptied_for_labelled_tasks_that_cannot_start_there() {
    for (size, limit) in [(16, 0), (4, 2)] {
        let fleet = beside_busy(&[4], None, labelled(1, size), limit);
        assert_eq!(moves_of_busy(&fleet), [0; 6], "size {size}, limit {limit}");
    }
}
