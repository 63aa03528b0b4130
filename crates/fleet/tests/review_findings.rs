//! Waves beside each other whose hosts have tasks of one long-running step, and lost starts of such tasks.

mod common;

use common::{
    Bench, cores, job,
    pools::{PoolFleet, PoolHost, job_in, lasting, with_pools},
    starts, stops, worker,
};
use fuchsiamill_fleet::{Config, Step, coordinator::StartReply};

/// Returns a configuration whose hosts stay in their pool.
fn one_pool() -> Config {
    let mut config = with_pools(&["web"]);
    config.pools.retain(|_, it| !it.spare);
    config
}

mod known_red {
    use super::*;

    /// A step may miss two tasks, and each wave may maintain one host at a time.
    #[test]
    fn hosts_without_a_slot_hold_up_no_other_wave() {
        let mut fleet = PoolFleet::new(one_pool(), &["web"; 20]);
        let step = Step { per_worker: Some(1), max_unavailable: Some(2), ..lasting(20, 2) };
        fleet.accept("apart", job_in("web", vec![step]));
        fleet.play(3_000);
        fleet.maintain(0..10, 1);
        fleet.maintain(10..20, 1);
        fleet.play(30_000);
        assert_eq!(fleet.maintained(), 20);
    }

    /// The host of the first wave has two tasks, of which the step may miss one, and there is no place for them elsewhere.
    #[test]
    fn host_that_cannot_be_emptied_holds_up_no_other_wave() {
        let mut hosts: Vec<PoolHost> = (0..3).map(|_| PoolHost::new("web")).collect();
        (1..3).for_each(|it| hosts[it].capacity = cores(3));
        let mut fleet = PoolFleet::of_hosts(one_pool(), hosts);
        let step = Step { max_unavailable: Some(1), ..lasting(4, 3) };
        fleet.accept("large", job_in("web", vec![step]));
        fleet.play(4_000);
        assert_eq!(fleet.hosts[0].running.len(), 2);
        fleet.maintain(0..1, 1);
        fleet.maintain(1..3, 1);
        fleet.play(60_000);
        assert_eq!(fleet.maintained(), 2);
    }

    /// Starts of the task that waits longest get no answer, and the worker never has its run.
    #[test]
    fn lost_start_does_not_begin_the_wait_anew() {
        let mut bench = Bench::new();
        ["w1", "w2"].into_iter().for_each(|it| bench.add(worker(it)));
        bench.accept("j", job(vec![lasting(2, 8)]));
        let placed = bench.run();
        for index in [1, 0] {
            let on = placed.iter().find(|it| it.0.index == index).unwrap().2.clone();
            bench.coordinator.worker_dead(&on, 7, bench.now);
            bench.wait(3_000);
            bench.run();
        }
        bench.add(worker("w3"));
        for _ in 0..50 {
            let orders = bench.step();
            for (task, run, _) in starts(&orders) {
                assert_eq!(task.index, 1, "the other task, which began to wait later, is started");
                bench.coordinator.start_answered(&task, run, StartReply::Unknown, bench.now);
            }
            for (task, run) in stops(&orders) {
                bench.coordinator.stop_answered(&task, run, bench.now);
            }
            bench.wait(200);
            bench.report("w3", &[], &[]);
        }
    }
}
