//! What the claims of pools count: tasks that run all the time, as far as hosts would let them start.

mod common;

use common::pools::{PoolFleet, job_in, lasting, with_pools};
use fuchsiamill_fleet::{Name, Step};
use fuchsiamill_model::Resources;

/// Plays jobs of one pool that could be in time beside long-running tasks of another one that cannot start.
fn shares_beside(limit: u32, size: u32, label: Option<&str>, backlog: u32) -> PoolFleet {
    let mut config = with_pools(&["aaa", "zzz"]);
    let team = config.teams.get_mut("north").unwrap();
    let mut south = team.clone();
    south.name = "south".into();
    south.limit = Resources { millicores: limit * 1_000, memory_mib: 0, accelerators: 0 };
    config.teams.insert("south".into(), south);
    let mut fleet = PoolFleet::new(config, &["spare"; 30]);
    let step = Step { label: label.map(Name::from), ..lasting(80, size) };
    let mut spec = job_in("zzz", vec![step]);
    spec.team = "south".into();
    fleet.accept("long", spec);
    if backlog > 0 {
        fleet.accept("backlog", job_in("zzz", vec![common::step(backlog)]));
    }
    fleet.play(5_000);
    for round in 0..100 {
        let mut spec = job_in("aaa", vec![common::step(20)]);
        spec.accepted = fleet.wall();
        fleet.accept(&format!("small-{round:03}"), spec);
        fleet.play(100);
    }
    fleet.play(2_000);
    fleet
}

fn assert_small_are_done(fleet: &PoolFleet) {
    let done = fleet.done("small");
    let hosts = (fleet.hosts_in("aaa"), fleet.hosts_in("zzz"));
    assert!(done >= 50, "{done} of 100 small jobs done, {hosts:?} hosts");
}

/// The same fleet with tasks of one core, whose sum is a quarter of that of the tasks below.
#[test]
fn small_jobs_are_done_beside_backlog() {
    assert_small_are_done(&shares_beside(0, 1, Some("none"), 20_000));
}

#[test]
fn tasks_beyond_team_limit_claim_no_hosts() {
    assert_small_are_done(&shares_beside(8, 4, None, 0));
}

#[test]
fn tasks_larger_than_hosts_claim_no_hosts() {
    assert_small_are_done(&shares_beside(0, 16, None, 0));
}

#[test]
fn tasks_with_unknown_label_claim_no_hosts() {
    assert_small_are_done(&shares_beside(0, 4, Some("none"), 20_000));
}
