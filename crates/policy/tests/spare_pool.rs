//! The spare pool follows lasting load, does not swing on short peaks, and lends ahead of even ones.

mod fleets;

use fleets::name;
use fuchsiamill_model::{Millisecond, Moment};
use fuchsiamill_policy::spare::{PoolLoad, SpareDecision, SpareLimits, SparePool, Strategy};
use quickcheck::{Gen, QuickCheck};

const LIMITS: SpareLimits = SpareLimits {
    lend_after: 5_000,
    take_back_after: 20_000,
    low_percent: 70,
    min_interval: 30_000,
    lead_time: 6_000,
};
const SECOND: Millisecond = 1_000;
const HOST_SLOTS: u32 = 8;
const OWN: u32 = 80;
const SPARE_HOSTS: u32 = 10;

fn load(pool: &str, demand: u32, lent: u32) -> PoolLoad {
    PoolLoad { pool: name(pool), demand, own_slots: OWN, lent_hosts: lent }
}

/// Runs one pool's demand by the second; returns each decision and its second.
fn decisions(strategy: Strategy, demand: impl Fn(u64) -> u32, seconds: u64) -> Vec<(u64, i64)> {
    let mut spare = SparePool::new(strategy, LIMITS, HOST_SLOTS);
    let mut lent = 0;
    let mut made = Vec::new();
    for second in 0..seconds {
        let free = SPARE_HOSTS - lent;
        let now = Moment(second * SECOND);
        match spare.next(&[load("p0", demand(second), lent)], free, now) {
            SpareDecision::Keep => {}
            SpareDecision::Lend { hosts, .. } => {
                lent += hosts;
                made.push((second, i64::from(hosts)));
            }
            SpareDecision::TakeBack { hosts, .. } => {
                lent -= hosts;
                made.push((second, -i64::from(hosts)));
            }
        }
    }
    made
}

#[test]
fn lasting_load_is_followed() {
    let demand = |second| if (10..100).contains(&second) { 120 } else { 4 };
    let made = decisions(Strategy::Reactive, demand, 200);
    assert_eq!(made, [(15, 5), (120, -5)]);
    assert!(decisions(Strategy::Never, demand, 200).is_empty());
}

#[test]
fn short_peaks_move_nothing() {
    let demand = |second| if second % 10 < 4 { 120 } else { 4 };
    assert!(decisions(Strategy::Reactive, demand, 600).is_empty());
}

#[test]
fn even_peaks_are_met_ahead() {
    let demand = |second| if second % 120 >= 100 { 120 } else { 4 };
    let made = decisions(Strategy::Forecasting, demand, 1_000);
    let ahead =
        made.iter().filter(|(second, hosts)| *hosts > 0 && (90..100).contains(&(second % 120)));
    assert!(ahead.count() >= 3, "{made:?}");
}

#[test]
fn no_pool_is_decided_on_twice_within_the_stay() {
    fn property(demands: Vec<u8>) -> bool {
        [Strategy::Reactive, Strategy::Forecasting].into_iter().all(|strategy| {
            let demand = |second: u64| u32::from(demands[(second / 7) as usize % demands.len()]);
            let made = if demands.is_empty() { vec![] } else { decisions(strategy, demand, 600) };
            made.windows(2).all(|two| (two[1].0 - two[0].0) * SECOND >= LIMITS.min_interval)
        })
    }
    let rng = Gen::from_size_and_seed(60, 20_263);
    QuickCheck::new().rng(rng).tests(300).quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn never_lends_more_than_it_has() {
    let mut spare = SparePool::new(Strategy::Reactive, LIMITS, HOST_SLOTS);
    let loads = [load("p0", 200, 0), load("p1", 400, 0)];
    assert_eq!(spare.next(&loads, 3, Moment(0)), SpareDecision::Keep);
    let next = spare.next(&loads, 3, Moment(LIMITS.lend_after));
    assert_eq!(next, SpareDecision::Lend { to: name("p1"), hosts: 3 });
    assert_eq!(spare.next(&loads, 0, Moment(LIMITS.lend_after)), SpareDecision::Keep);
}
