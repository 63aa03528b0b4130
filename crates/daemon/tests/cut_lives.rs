//! Workers that start again under their id and are cut off before the coordinator has heard of their new life.

mod common;

use std::{net::SocketAddr, thread, time::Duration};

use common::{
    fleet::{Fleet, Layout, job},
    wait_until,
};
use fuchsiamill_standin::{admin::RouteFault, fleet::WorkerFault};

const PATIENCE: Duration = Duration::from_secs(20);

/// How far the clock of the first life is ahead of that of the next one: more than the longest lease is longer than others.
const FIRST_LIFE: Duration = Duration::from_secs(6);

/// How long the runs of a worker that does not answer are held, with the time that it takes to notice.
const USUAL_LEASE: Duration = Duration::from_millis(7_500);

/// Starts a long task on the only worker of the pool, whose life ends without a sign while it carries the order out. The
/// order is repeated and begins the run in the next life, and the worker is cut off before any report of that life arrives.
fn run_on_unnoticed_life(fleet: &Fleet, routes: &[SocketAddr]) -> usize {
    thread::sleep(FIRST_LIFE);
    let host = fleet.site.world().hosts_up("web")[0];
    fleet.site.world().worker_mut(host).expect("it is up").fault = WorkerFault::AnswersLost;
    let id = fleet.accept(&job(16_000, &[1]), PATIENCE).expect("accepted");
    fleet.wait_start(&id);
    {
        let mut world = fleet.site.world();
        world.loses_reports = true;
        world.rebirth_with_former_entry(host);
    }
    wait_until("the next life has the run", || fleet.site.world().runs.len() == 2);
    fleet.route_fault(routes[host], RouteFault::Cut);
    fleet.site.world().loses_reports = false;
    host
}

/// The coordinator counted the usual lease for a run that held the longest one, and the task ran twice.
#[test]
fn run_on_an_unnoticed_life_holds_the_longest_lease() {
    let fleet = Fleet::start(1, 1);
    let routes = fleet.route_workers();
    let host = run_on_unnoticed_life(&fleet, &routes);
    thread::sleep(USUAL_LEASE);
    fleet.route_fault(routes[host], RouteFault::None);
    fleet.check();
}

/// The connection was back while the run went on and its task was taken for waiting: it was started again on the same
/// worker, and both ran until the first was stopped.
#[test]
fn run_on_an_unnoticed_life_goes_on_after_the_cut() {
    let layout = Layout { own: Vec::new(), web: Some(1), spare: ("spare", 0) };
    let fleet = Fleet::start_pools(&[""], layout, |_| {});
    let routes = fleet.route_workers();
    let host = run_on_unnoticed_life(&fleet, &routes);
    fleet.site.world().worker_mut(host).expect("it is up").stop_time = Duration::from_secs(1);
    thread::sleep(USUAL_LEASE);
    fleet.route_fault(routes[host], RouteFault::None);
    wait_until("the run is done", || {
        let world = fleet.site.world();
        let ends = world.runs.iter().filter_map(|it| it.ended.as_ref());
        ends.filter(|it| it.1 == "done").count() == 1
    });
    fleet.check();
    let begun: Vec<u64> = fleet.site.world().runs.iter().map(|it| it.run).collect();
    assert_eq!(begun, [1, 1], "the run began in the former life and in the next one");
}
