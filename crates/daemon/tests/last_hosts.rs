//! A pool that has work while another pool wants its last hosts.

mod common;

/// Faults that are not mended.
mod known_red {
    use std::{thread, time::Duration};

    use super::common::{
        PATIENCE,
        fleet::{Fleet, Layout, job, lasting_job},
    };

    /// The users' rule LOST: nothing that was accepted waits longer than this beside a free worker.
    const IDLE_TIME: Duration = Duration::from_secs(9);

    /// Until the hosts are where the work of both pools wants them.
    const SETTLE_TIME: Duration = Duration::from_secs(2);

    /// A pool's last host was drained for another pool and kept free until its long task ended; accepted jobs waited.
    #[test]
    fn accepted_job_starts_on_the_last_host_of_its_pool() {
        let layout = Layout { own: vec![("zulu", 0)], web: Some(2), spare: ("spare", 3) };
        let fleet = Fleet::start_pools(&["", ""], layout, |_| {});
        let long = fleet.accept(&job(300_000, &[4]), PATIENCE).expect("accepted");
        fleet.wait_start(&long);
        let lasting = lasting_job(7, 4_000);
        let lasting = fleet.accept_in("zulu", &lasting, PATIENCE).expect("accepted");
        fleet.wait_start(&lasting);
        thread::sleep(SETTLE_TIME);
        let short = fleet.accept(&job(100, &[1]), PATIENCE).expect("accepted");
        thread::sleep(IDLE_TIME);
        let world = fleet.site.world();
        let has_begun = world.runs.iter().any(|it| it.task.starts_with(&short));
        let hosts = world.hosts_up("web");
        drop(world);
        assert!(!hosts.is_empty(), "the pool of the job has no host that is up");
        assert!(has_begun, "{short} has not begun for {IDLE_TIME:?} beside the hosts {hosts:?}");
    }
}
