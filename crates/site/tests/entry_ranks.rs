//! Strong entry hosts take a free lease before weak ones.

use fuchsiamill_site::lead::{EntryRow, Others, strength};

/// A pause between two looks may be this much longer than asked for, in per cent.
const LONGEST_LOOK_PERCENT: u64 = 125;

fn rows(strong: u64, weak: u64) -> Vec<EntryRow> {
    let row = |number: u64, strength: u32| EntryRow {
        address: format!("10.0.{}.{}:7000", number / 250, number % 250).into(),
        strength,
        ..EntryRow::default()
    };
    let strong_ones = (0..strong).map(|it| row(it, strength(0.5, 200.0)));
    strong_ones.chain((strong..strong + weak).map(|it| row(it, strength(0.12, 10.0)))).collect()
}

#[test]
fn weak_ones_leave_two_looks_to_strong_ones() {
    for (strong, weak) in [(1, 1), (1, 28), (6, 23), (8, 30), (20, 80), (100, 201)] {
        let all = rows(strong, weak);
        let strong_one = Others::of(&all[0], all.clone());
        let weak_one = Others::of(&all[strong as usize], all.clone());
        let two_looks = 2 * strong_one.look_ms() * LONGEST_LOOK_PERCENT / 100;
        assert!(
            weak_one.courtesy_ms() >= two_looks,
            "{strong} strong ones, {weak} weak ones: {} ms for {two_looks} ms",
            weak_one.courtesy_ms()
        );
        assert_eq!(strong_one.courtesy_ms(), 0);
    }
}

#[test]
fn few_strong_ones_look_often_beside_many_weak_ones() {
    let all = rows(6, 23);
    assert_eq!(Others::of(&all[0], all.clone()).look_ms(), 400);
    assert_eq!(Others::of(&all[6], all.clone()).look_ms(), 1_450);
}

#[test]
fn equal_ones_look_as_often_in_all_whatever_their_number() {
    for (count, look_ms) in [(1, 400), (8, 400), (40, 2_000), (300, 15_000)] {
        let all = rows(0, count);
        let one = Others::of(&all[0], all.clone());
        assert_eq!((one.look_ms(), one.courtesy_ms()), (look_ms, 0), "{count}");
    }
}

#[test]
fn one_that_has_not_read_leaves_the_lease_to_others() {
    assert!(Others::default().courtesy_ms() >= 1_000);
}

#[test]
fn absurd_strength_ends_its_reader() {
    let mut all = rows(2, 1);
    all[1].strength = u32::MAX;
    let others = Others::of(&all[0], all.clone());
    assert_eq!(others.stronger, [all[1].clone()]);
    assert!(Others::of(&all[1], all.clone()).stronger.is_empty());
}
