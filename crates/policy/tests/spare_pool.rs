//! The spare pool follows lasting load, ignores short peaks, and lends hosts ahead of regular peaks.

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

/// Simulates the demand of one pool second by second; returns each decision as its second and the change in lent hosts.
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
fn hosts_follow_lasting_load() {
    let demand = |second| if (10..100).contains(&second) { 120 } else { 4 };
    let made = decisions(Strategy::Reactive, demand, 200);
    assert_eq!(made, [(15, 5), (120, -5)]);
    assert!(decisions(Strategy::Never, demand, 200).is_empty());
}

#[test]
fn short_peaks_move_no_hosts() {
    let demand = |second| if second % 10 < 4 { 120 } else { 4 };
    assert!(decisions(Strategy::Reactive, demand, 600).is_empty());
}

#[test]
fn hosts_are_lent_before_regular_peaks() {
    let demand = |second| if second % 120 >= 100 { 120 } else { 4 };
    let made = decisions(Strategy::Forecasting, demand, 1_000);
    let lent_ahead =
        made.iter().filter(|(second, hosts)| *hosts > 0 && (90..100).contains(&(second % 120)));
    assert!(lent_ahead.count() >= 3, "{made:?}");
}

#[test]
fn decisions_on_one_pool_keep_the_minimum_interval() {
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
fn no_more_hosts_are_lent_than_are_free() {
    let mut spare = SparePool::new(Strategy::Reactive, LIMITS, HOST_SLOTS);
    let loads = [load("p0", 200, 0), load("p1", 400, 0)];
    assert_eq!(spare.next(&loads, 3, Moment(0)), SpareDecision::Keep);
    let next = spare.next(&loads, 3, Moment(LIMITS.lend_after));
    assert_eq!(next, SpareDecision::Lend { to: name("p1"), hosts: 3 });
    assert_eq!(spare.next(&loads, 0, Moment(LIMITS.lend_after)), SpareDecision::Keep);
}
