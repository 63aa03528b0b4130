//! Long-running tasks that leave their hosts for maintenance.

mod common;

use common::{
    cores,
    pools::{PoolFleet, job_in, with_pools},
    step,
};
use fuchsiamill_fleet::Step;
use fuchsiamill_model::units::Millisecond;

/// A stop, the maintenance of a host and a start, each with a round.
const AWAY_BOUND_MS: Millisecond = 300 + 2_000 + 700;

fn spread(max_unavailable: u32) -> Step {
    let max_unavailable = Some(max_unavailable);
    let long = Step { per_worker: Some(2), long_running: true, max_unavailable, ..step(8) };
    Step { size: cores(2), ..long }
}

/// Plays a wave over all hosts of a full pool.
fn maintained_fleet(steps: &[Step]) -> PoolFleet {
    let mut fleet = PoolFleet::new(with_pools(&["web"]), &["web"; 4]);
    for (number, step) in steps.iter().enumerate() {
        fleet.accept(&format!("long-{number}"), job_in("web", vec![step.clone()]));
    }

    fleet.play(3_000);
    fleet.longest_idle = (0, None);
    fleet.maintain(0..4, 2);
    fleet.play(20_000);
    fleet
}

fn assert_none_is_away(fleet: &PoolFleet) {
    let (idle, task) = &fleet.longest_idle;
    assert!(*idle <= AWAY_BOUND_MS, "{task:?} does not run for {idle} ms");
}

/// Hosts whose tasks may all be stopped at once are maintained without a place elsewhere.
#[test]
fn wave_over_full_hosts_is_completed_without_further_hosts() {
    let fleet = maintained_fleet(&[spread(2), spread(2)]);
    assert_none_is_away(&fleet);
    assert_eq!(fleet.maintained(), 4);
}

/// Some tasks of each host were stopped and the others might not be, so that no host became empty and none took what had been
/// stopped.
#[test]
fn wave_over_full_hosts_stops_no_long_running_task_for_nothing() {
    let mut fleet = maintained_fleet(&[spread(2), spread(1)]);
    assert_none_is_away(&fleet);
    assert_eq!(fleet.maintained(), 0);
    fleet.bench.coordinator.cancel(&"long-1".into(), fleet.bench.now);
    fleet.play(20_000);
    assert_none_is_away(&fleet);
    assert_eq!(fleet.maintained(), 4);
}
