//! What is logged of waiting steps, and when.

mod common;

use std::sync::Arc;

use common::logged;
use fuchsiamill_fleet::{
    Config, Coordinator, JobSpec, Pool, Step, Tenure, Timing, coordinator::Takeover,
    job::RouteSettings,
};
use fuchsiamill_model::{
    Resources,
    units::{Millisecond, Moment, WallTime},
};
use fuchsiamill_site::{lead::WaitLog, metrics::Metrics};

const START: Moment = Moment(1_000_000);
const WALL: WallTime = WallTime(1_700_000_000_000);

/// The time without a write after which another process takes the lease.
const SILENCE_MS: Millisecond = 600;

/// A stand-still after which another process coordinates.
const STILL_MS: Millisecond = 5_000;

/// Returns a coordinator without workers that has a lasting task to start.
fn waiting() -> Coordinator {
    let mut config = Config { version: 1, ..Config::default() };
    let pool = Pool { name: "web".into(), spare: false, health_probe: None };
    config.pools.insert(pool.name.clone(), pool);
    let takeover = Takeover { renewals_end: START, at: START };
    let mut coordinator = Coordinator::new(Timing::default(), Arc::new(config), takeover);
    let size = Resources { millicores: 1_000, memory_mib: 1_024, accelerators: 0 };
    let lasting = Step { count: 1, size, long_running: true, ..Step::default() };
    let route = RouteSettings { pool: "web".into(), ..RouteSettings::default() };
    let spec = JobSpec { steps: vec![lasting], accepted: WALL, route, ..JobSpec::default() };
    coordinator.accept("j".into(), Arc::new(spec), None, START, WALL);
    coordinator.place(START);
    assert_eq!(coordinator.waiting_steps(START).count(), 1);
    coordinator
}

/// The successor has started the task meanwhile.
#[test]
fn thawed_coordinator_logs_no_waits_through_its_stand_still() {
    let (coordinator, metrics) = (waiting(), Metrics::new().unwrap());
    let thawed = START + STILL_MS;
    let log = logged(|| {
        let mut waits = WaitLog::default();
        for ms in (0..1_500).step_by(50) {
            let now = thawed + ms;
            let tenure = Tenure::at(Some(START), SILENCE_MS, now);
            waits.log(&coordinator, &metrics, tenure, now);
        }
    });
    assert_eq!(log.lines("step-waits"), 0);
    let page = metrics.text().unwrap();
    assert!(!page.contains("waiting_tasks{"), "{page}");
}

/// Nobody has taken the lease meanwhile, and the task has waited all the time.
#[test]
fn wait_is_logged_once_the_lease_is_confirmed() {
    let (coordinator, metrics) = (waiting(), Metrics::new().unwrap());
    let thawed = START + STILL_MS;
    let log = logged(|| {
        let mut waits = WaitLog::default();
        for (confirmed, now) in [(START, thawed), (thawed, thawed + 50), (thawed, thawed + 100)] {
            let tenure = Tenure::at(Some(confirmed), SILENCE_MS, now);
            waits.log(&coordinator, &metrics, tenure, now);
        }
    });
    assert_eq!(log.lines("step-waits"), 1);
    let page = metrics.text().unwrap();
    assert!(page.contains("waiting_tasks{"), "{page}");
}
