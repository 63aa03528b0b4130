//! Workers that end and start again under their id, while their entry is still that of their former life.

mod common;

use std::{thread, time::Duration};

use common::{
    fleet::{Fleet, job},
    wait_until,
};
use fuchsiamill_standin::{
    admin::RouteFault,
    fleet::{WorkerFault, World},
};

const PATIENCE: Duration = Duration::from_secs(20);

/// When the next life writes its entry.
const ENTRY_TIME: Duration = Duration::from_millis(1_000);

const FIRST_TASKS: u32 = 60;
const LATER_JOBS: usize = 30;
const LATER_TASKS: u32 = 4;

/// Ends the workers of the pool `web`, whose connections end with them, and starts them again under their ids.
fn restart_workers(fleet: &Fleet, routes: &[std::net::SocketAddr], rebirth: fn(&mut World, usize)) {
    let hosts = fleet.site.world().hosts_up("web");
    for host in hosts {
        fleet.route_fault(routes[host], RouteFault::Cut);
        rebirth(&mut fleet.site.world(), host);
        fleet.route_fault(routes[host], RouteFault::None);
    }
}

fn accept_jobs(fleet: &Fleet) {
    for _ in 0..LATER_JOBS {
        fleet.accept(&job(100, &[LATER_TASKS]), PATIENCE).expect("accepted");
        thread::sleep(Duration::from_millis(30));
    }
}

/// The next life forgot ends that it had never listed, by the count of the former one, and the tasks ran again.
#[test]
fn next_life_does_not_forget_ends_by_the_count_of_the_former_one() {
    let fleet = Fleet::start(2, 2);
    let routes = fleet.route_workers();
    let first = fleet.accept(&job(50, &[FIRST_TASKS]), PATIENCE).expect("accepted");
    fleet.wait_state(&first, "completed");
    thread::sleep(Duration::from_millis(500));
    restart_workers(&fleet, &routes, World::rebirth_with_former_entry);
    accept_jobs(&fleet);
    thread::sleep(ENTRY_TIME.saturating_sub(Duration::from_millis(30) * LATER_JOBS as u32));
    let hosts = fleet.site.world().hosts_up("web");
    hosts.iter().for_each(|it| fleet.site.world().list(*it));
    accept_jobs(&fleet);
    fleet.check();
}

/// An entry of the former life that is read again must not replace what the next life has told of itself. Starts that are
/// under way when the next life is noticed are stopped there first.
#[test]
fn former_entry_does_not_undo_the_next_life() {
    let fleet = Fleet::start(2, 2);
    let routes = fleet.route_workers();
    let first = fleet.accept(&job(50, &[FIRST_TASKS]), PATIENCE).expect("accepted");
    fleet.wait_state(&first, "completed");
    restart_workers(&fleet, &routes, World::rebirth_with_former_entry);
    let id = fleet.accept(&job(2_000, &[8]), PATIENCE).expect("accepted");
    let runs = || {
        let world = fleet.site.world();
        let of_job = world.runs.iter().filter(|it| it.task.starts_with(&id));
        of_job.cloned().collect::<Vec<_>>()
    };
    wait_until("all its tasks run", || runs().iter().filter(|it| it.ended.is_none()).count() == 8);
    thread::sleep(Duration::from_millis(300));
    let begun = runs().len();
    // A table that is read anew has the former entries until the next life writes its own.
    fleet.site.world().rows.forget_history();
    fleet.check();
    assert_eq!(runs().len(), begun, "runs were stopped or started again");
}

/// Faults that are not mended.
mod known_red {
    use super::*;

    /// The former life was ended while it carried a start out. The repeat began the run again in the next one.
    #[test]
    fn repeat_of_a_start_does_not_reach_the_next_life() {
        let fleet = Fleet::start(1, 1);
        let routes = fleet.route_workers();
        let first = fleet.accept(&job(50, &[1]), PATIENCE).expect("accepted");
        fleet.wait_state(&first, "completed");
        let host = fleet.site.world().hosts_up("web")[0];
        fleet.site.world().worker_mut(host).expect("it is up").fault = WorkerFault::AnswersLost;
        let id = fleet.accept(&job(2_000, &[1]), PATIENCE).expect("accepted");
        fleet.wait_start(&id);
        restart_workers(&fleet, &routes, World::rebirth_with_former_entry);
        fleet.check();
        let world = fleet.site.world();
        let of_job = world.runs.iter().filter(|it| it.task.starts_with(&id));
        let runs: Vec<_> = of_job.map(|it| it.run).collect();
        assert_eq!(
            runs.iter().filter(|it| **it == runs[0]).count(),
            1,
            "runs that began: {runs:?}"
        );
    }
}
