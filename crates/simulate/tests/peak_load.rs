//! What callers get while queues peak in turn far above what their pools hold.

use fuchsiamill_simulate::{Fault, Load, Outcome, SiteSize, simulate};

/// On a calm day nine of ten jobs are in time.
const CALM_PART: f64 = 0.9;

/// Work starts again within this time after an outage.
const START_MS: u64 = 2_700;

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
fn same_seed_gives_the_same() {
    let once = |seed| simulate(&size(150), &load(0.3), &[], seed);
    assert_eq!(once(7), once(7));
    assert_ne!(once(7), once(8));
}

#[test]
fn calm_day_is_in_time() {
    for seed in SEEDS {
        let outcome = simulate(&size(150), &load(0.0), &[], seed);
        assert!(outcome.fraction_in_time() >= CALM_PART, "{outcome:?}");
        assert_eq!((outcome.lost, outcome.aborted_runs), (0, 0), "{outcome:?}");
    }
}

/// Pools that keep their hosts for ever cost more and hold less than a peak needs.
#[test]
fn hosts_follow_the_demand() {
    let always_on = 4.0 * 10.0 * 20.0;
    for seed in SEEDS {
        let outcome = simulate(&size(150), &load(0.0), &[], seed);
        assert!(outcome.host_s < always_on, "{} of {always_on} host seconds", outcome.host_s);
        assert!(outcome.moves > 0);
    }
}

/// Three times as slow far from the data: waiting for room near it serves more callers than going anywhere.
#[test]
fn waits_for_near_room_serve_more() {
    let told = size(300);
    let untold = SiteSize { configured_far_percent: 100, ..told.clone() };
    let (with, without) = (in_time(&told, &load(0.3)), in_time(&untold, &load(0.3)));
    assert!(with > without, "{with} jobs in time with waits, {without} without");
}

/// Where far costs nothing, jobs that name racks are served like others.
#[test]
fn racks_cost_nothing_where_far_is_fast() {
    let (named, unnamed) = (in_time(&size(100), &load(0.3)), in_time(&size(100), &load(0.0)));
    let all =
        |near| -> u64 { SEEDS.map(|it| simulate(&size(100), &load(near), &[], it).jobs).sum() };
    let part = |it: u64, of: u64| it as f64 / of as f64;
    let difference = part(unnamed, all(0.0)) - part(named, all(0.3));
    assert!(difference < 0.05, "{difference}");
}

#[test]
fn outage_of_the_store_loses_no_job() {
    for seed in SEEDS {
        let away = [Fault::StoreUnavailable(6_000, 10_500)];
        let outcome: Outcome = simulate(&size(150), &load(0.0), &away, seed);
        let calm = simulate(&size(150), &load(0.0), &[], seed);
        let bound = 4_500 + START_MS + calm.longest_wait_ms;
        assert!(outcome.longest_wait_ms <= bound, "{outcome:?}");
        assert_eq!(outcome.jobs, outcome.in_time + outcome.late + outcome.lost);
    }
}

/// Tasks of hosts that are lost start elsewhere, and their jobs are done.
#[test]
fn lost_hosts_lose_no_job() {
    for seed in SEEDS {
        let down = [Fault::HostsDown(8, 6_000, 11_000)];
        let outcome = simulate(&size(150), &load(0.0), &down, seed);
        assert_eq!(outcome.lost, 0, "{outcome:?}");
    }
}
