//! Entry hosts beside a store whose answers take long, or some of whose connections went silent.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{
    fleet::{Fleet, Process, job},
    wait_until,
};
use fuchsiamill_standin::fleet::StoreFault;

/// A configuration is in force within this time.
const APPLY_TIME: Duration = Duration::from_millis(2_000);

/// How long the store has been slow when the configuration comes: at once, then while waits are under way.
const LEADS_MS: [u64; 4] = [0, 400, 900, 1_500];

#[test]
fn slow_store_tells_of_changes_in_time() {
    let fleet = Fleet::start(4, 2);
    let mut version = 1;
    for slow_ms in [400, 650, 800] {
        for lead in LEADS_MS.map(Duration::from_millis) {
            fleet.site.world().rows.fault = StoreFault::Slow(slow_ms);
            thread::sleep(lead);
            version += 1;
            fleet.configure(version, &["/jobs/"]);
            let begin = Instant::now();
            wait_until("it is in force", || is_in_force(&fleet, version));
            let took = begin.elapsed();
            assert!(took <= APPLY_TIME, "{took:?} after {lead:?} with answers of {slow_ms} ms");
            fleet.site.world().rows.fault = StoreFault::None;
            thread::sleep(Duration::from_millis(1_200));
        }
    }
}

/// Callers that post one job after another, and for how long: some fifteen jobs a second.
const CALLERS: usize = 20;
const POSTING: Duration = Duration::from_secs(4);

/// How long callers wait for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

#[test]
fn jobs_are_accepted_beside_a_slow_store() {
    let fleet = Fleet::start(4, 2);
    {
        let mut world = fleet.site.world();
        world.rows.fault = StoreFault::Slow(280);
        world.rows.change_time = Duration::from_millis(460);
    }
    let until = Instant::now() + POSTING;
    let entries = &fleet.entries;
    let late: Vec<String> = thread::scope(|scope| {
        let posts = |caller: usize| move || post_until(until, &entries[caller % entries.len()]);
        let callers: Vec<_> = (0..CALLERS).map(|it| scope.spawn(posts(it))).collect();
        callers.into_iter().flat_map(|it| it.join().expect("a caller ends")).collect()
    });
    assert!(late.is_empty(), "not accepted in time: {late:?}");
}

/// Posts job after job; tells of those that were not accepted in time.
fn post_until(until: Instant, entry: &Process) -> Vec<String> {
    let mut late = Vec::new();
    while Instant::now() < until {
        let id = format!("{:016x}", fastrand::u64(..));
        let begin = Instant::now();
        let status = entry.post(&id, &job(50, &[1])).map(|it| it.status.as_u16());
        let took = begin.elapsed();
        if status != Some(200) || took > PATIENCE {
            late.push(format!("{status:?} after {took:?}"));
        }
    }
    late
}

fn is_in_force(fleet: &Fleet, version: u64) -> bool {
    let told = format!("\"configuration-in-force\",\"version\":{version},");
    fleet.entries.iter().all(|it| it.log().contains(&told))
}
