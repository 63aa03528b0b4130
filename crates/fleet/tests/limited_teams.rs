//! Long-running tasks and the upper limits of their teams.

mod common;

/// Faults that are not mended.
mod known_red {
    use fuchsiamill_model::{Resources, units::Millisecond};

    use super::common::pools::{PoolFleet, busy, job_in, lasting, with_pools};

    /// The users' rule: a task that lasts runs again within 6 s, and 3 s more.
    const LOST_MS: Millisecond = 9_000;

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
}
