//! Members whose work keeps failing are ejected, within the cap, and return after a successful trial.

use fuchsiamill_model::Moment;
use fuchsiamill_policy::outlier::{Bounds, Change, Eligibility, Outcome, Outliers};
use quickcheck::{Gen, QuickCheck, Testable};

const BOUNDS: Bounds = Bounds {
    failures: 5,
    first_ejection: 5_000,
    max_ejection: 60_000,
    max_ejected_percent: 30,
    trial_timeout: 10_000,
};

fn check<T: Testable>(property: T) {
    let seed = 0x0071;
    println!("generator seed {seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(400, seed)).tests(400).quickcheck(property);
}

fn pool(members: u8) -> Outliers<u8> {
    let mut pool = Outliers::new(BOUNDS);
    pool.set_members(&(0..members).collect::<Vec<_>>());
    pool
}

#[test]
fn ejected_members_stay_within_the_cap() {
    fn property(members: u8, events: Vec<(u8, bool, u16)>) -> bool {
        let members = members % 40 + 1;
        let mut pool = pool(members);
        let mut now = Moment(0);
        events.into_iter().all(|(member, fails, gap)| {
            now = now + u64::from(gap % 2_000);
            let member = member % members;
            if pool.eligibility(now, &member) == Eligibility::Trial {
                pool.begin_trial(now, &member);
            }
            for _ in 0..3 {
                let outcome = if fails { Outcome::Failed } else { Outcome::Succeeded };
                pool.record(now, &member, outcome);
            }
            pool.ejected().len() <= usize::from(members) * 30 / 100
        })
    }
    check(property as fn(u8, Vec<(u8, bool, u16)>) -> bool);
}

#[test]
fn a_pool_in_which_all_fail_keeps_most_members() {
    let mut pool = pool(10);
    for _ in 0..20 {
        (0..10).for_each(|it| {
            pool.record(Moment(0), &it, Outcome::Failed);
        });
    }
    assert_eq!(pool.ejected().len(), 3);
}

#[test]
fn a_member_returns_after_one_successful_trial() {
    let mut pool = pool(10);
    for _ in 0..4 {
        assert_eq!(pool.record(Moment(0), &1, Outcome::Failed), Change::None);
    }
    assert_eq!(pool.record(Moment(0), &1, Outcome::Failed), Change::Ejected);
    assert_eq!(pool.eligibility(Moment(4_999), &1), Eligibility::OutUntil(Moment(5_000)));
    assert_eq!(pool.eligibility(Moment(5_000), &1), Eligibility::Trial);
    pool.begin_trial(Moment(5_000), &1);
    assert_eq!(pool.eligibility(Moment(5_001), &1), Eligibility::OutUntil(Moment(15_000)));
    assert_eq!(pool.record(Moment(5_100), &1, Outcome::Succeeded), Change::Readmitted);
    assert_eq!(pool.eligibility(Moment(5_101), &1), Eligibility::In);
}

#[test]
fn each_failed_trial_doubles_the_ejection() {
    let mut pool = pool(10);
    (0..5).for_each(|_| {
        pool.record(Moment(0), &1, Outcome::Failed);
    });
    let mut now = Moment(5_000);
    for span in [10_000, 20_000, 40_000, 60_000, 60_000] {
        pool.begin_trial(now, &1);
        assert_eq!(pool.record(now, &1, Outcome::Failed), Change::Ejected);
        now = now + span;
        assert_eq!(pool.eligibility(now - 1, &1), Eligibility::OutUntil(now));
    }
}

#[test]
fn a_success_resets_the_count_of_failures() {
    let mut pool = pool(10);
    for _ in 0..50 {
        (0..4).for_each(|_| {
            pool.record(Moment(0), &1, Outcome::Failed);
        });
        pool.record(Moment(0), &1, Outcome::Succeeded);
    }
    assert_eq!(pool.ejected().len(), 0);
}

#[test]
fn removed_and_forgotten_members_no_longer_count_for_the_cap() {
    let mut pool = pool(10);
    let eject = |pool: &mut Outliers<u8>, key: u8| {
        (0..4).for_each(|_| {
            pool.record(Moment(0), &key, Outcome::Failed);
        });
        pool.record(Moment(0), &key, Outcome::Failed)
    };
    (0..3).for_each(|key| assert_eq!(eject(&mut pool, key), Change::Ejected));
    assert_eq!(eject(&mut pool, 3), Change::Capped);
    pool.forget(&0);
    assert_eq!(pool.ejected().len(), 2);
    assert_eq!(pool.record(Moment(0), &3, Outcome::Failed), Change::Ejected);
    let left: Vec<u8> = (2..10).collect();
    pool.set_members(&left);
    assert_eq!(pool.ejected().len(), 2);
}
