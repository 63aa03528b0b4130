//! Job completion while queues peak in turn far above the capacity of their pools.

use fuchsiamill_simulate::{Fault, Load, Outcome, SiteSize, simulate};

/// The least fraction of jobs in time without faults.
const MIN_FRACTION_IN_TIME: f64 = 0.9;

/// The time within which jobs start again after an outage.
const MAX_RESTART_MS: u64 = 2_700;

const SEEDS: std::ops::Range<u64> = 0..3;

fn size(far_percent: u64) -> SiteSize {
    SiteSize::ten_hosts_per_queue(far_percent)
}

/// One peak of each queue.
fn load(near: f64) -> Load {
    Load::four_queues(1.0, near, 20_000)
}

fn in_time(size: &SiteSize, load: &Load) -> u64 {
    SEEDS.map(|seed| simulate(size, load, &[], seed).in_time).sum()
}

#[test]
fn same_seed_gives_same_outcome() {
    let run = |seed| simulate(&size(150), &load(0.3), &[], seed);
    assert_eq!(run(7), run(7));
    assert_ne!(run(7), run(8));
}

#[test]
fn jobs_without_faults_are_in_time() {
    for seed in SEEDS {
        let outcome = simulate(&size(150), &load(0.0), &[], seed);
        assert!(outcome.fraction_in_time() >= MIN_FRACTION_IN_TIME, "{outcome:?}");
        assert_eq!((outcome.lost, outcome.aborted_runs), (0, 0), "{outcome:?}");
    }
}

/// Guards against pools that keep their hosts: these cost more and have less capacity than a peak needs.
#[test]
fn hosts_follow_the_demand() {
    let always_on = 4.0 * 10.0 * 20.0;
    for seed in SEEDS {
        let outcome = simulate(&size(150), &load(0.0), &[], seed);
        assert!(outcome.host_s < always_on, "{} of {always_on} host seconds", outcome.host_s);
        assert!(outcome.moves > 0);
    }
}

/// If tasks are three times as slow outside the rack of their data, waiting for capacity in that rack completes more
/// jobs in time than placing tasks on any host.
#[test]
fn waiting_for_near_capacity_completes_more_in_time() {
    let aware_of_racks = size(300);
    let ignoring_racks = SiteSize { configured_far_percent: 100, ..aware_of_racks.clone() };
    let (with, without) =
        (in_time(&aware_of_racks, &load(0.3)), in_time(&ignoring_racks, &load(0.3)));
    assert!(with > without, "{with} jobs in time with waits, {without} without");
}

/// If distance from the data costs no time, jobs that name racks are completed in time about as often as others.
#[test]
fn named_racks_cost_nothing_if_far_tasks_are_not_slower() {
    let (named, unnamed) = (in_time(&size(100), &load(0.3)), in_time(&size(100), &load(0.0)));
    let all =
        |near| -> u64 { SEEDS.map(|it| simulate(&size(100), &load(near), &[], it).jobs).sum() };
    let fraction = |it: u64, of: u64| it as f64 / of as f64;
    let difference = fraction(unnamed, all(0.0)) - fraction(named, all(0.3));
    assert!(difference < 0.05, "{difference}");
}

#[test]
fn store_outage_loses_no_job() {
    for seed in SEEDS {
        let outage = [Fault::StoreUnavailable(6_000, 10_500)];
        let outcome: Outcome = simulate(&size(150), &load(0.0), &outage, seed);
        let without_fault = simulate(&size(150), &load(0.0), &[], seed);
        let bound = 4_500 + MAX_RESTART_MS + without_fault.longest_wait_ms;
        assert!(outcome.longest_wait_ms <= bound, "{outcome:?}");
        assert_eq!(outcome.jobs, outcome.in_time + outcome.late + outcome.lost);
    }
}

/// Tasks of hosts that go down start again on other hosts, and their jobs are completed.
#[test]
fn hosts_that_go_down_lose_no_job() {
    for seed in SEEDS {
        let down = [Fault::HostsDown(8, 6_000, 11_000)];
        let outcome = simulate(&size(150), &load(0.0), &down, seed);
        assert_eq!(outcome.lost, 0, "{outcome:?}");
    }
}
