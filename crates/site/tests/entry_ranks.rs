//! Strong entry hosts take a free lease before weak ones.

use fuchsiamill_site::lead::{EntryRow, OtherEntries, strength};

/// The longest pause between two polls, in per cent of the poll interval.
const LONGEST_POLL_PERCENT: u64 = 125;

fn rows(strong: u64, weak: u64) -> Vec<EntryRow> {
    let row = |number: u64, strength: u32| EntryRow {
        address: format!("10.0.{}.{}:7000", number / 250, number % 250).into(),
        strength,
        ..EntryRow::default()
    };
    let strong_rows = (0..strong).map(|it| row(it, strength(0.5, 200.0)));
    strong_rows.chain((strong..strong + weak).map(|it| row(it, strength(0.12, 10.0)))).collect()
}

#[test]
fn weak_hosts_leave_two_polls_to_strong_hosts() {
    for (strong, weak) in [(1, 1), (1, 28), (6, 23), (8, 30), (20, 80), (100, 201)] {
        let all = rows(strong, weak);
        let strong_host = OtherEntries::from_rows(&all[0], all.clone());
        let weak_host = OtherEntries::from_rows(&all[strong as usize], all.clone());
        let two_polls = 2 * strong_host.poll_interval_ms() * LONGEST_POLL_PERCENT / 100;
        assert!(
            weak_host.take_delay_ms() >= two_polls,
            "{strong} strong hosts, {weak} weak hosts: {} ms for {two_polls} ms",
            weak_host.take_delay_ms()
        );
        assert_eq!(strong_host.take_delay_ms(), 0);
    }
}

#[test]
fn few_strong_hosts_poll_often_beside_many_weak_hosts() {
    let all = rows(6, 23);
    assert_eq!(OtherEntries::from_rows(&all[0], all.clone()).poll_interval_ms(), 400);
    assert_eq!(OtherEntries::from_rows(&all[6], all.clone()).poll_interval_ms(), 1_450);
}

#[test]
fn total_poll_rate_of_equal_hosts_does_not_grow_with_their_number() {
    for (count, poll_interval_ms) in [(1, 400), (8, 400), (40, 2_000), (300, 15_000)] {
        let all = rows(0, count);
        let one = OtherEntries::from_rows(&all[0], all.clone());
        assert_eq!((one.poll_interval_ms(), one.take_delay_ms()), (poll_interval_ms, 0), "{count}");
    }
}

#[test]
fn host_that_has_not_read_the_other_rows_delays_its_take() {
    assert!(OtherEntries::default().take_delay_ms() >= 1_000);
}

#[test]
fn extreme_strength_is_compared_without_overflow() {
    let mut all = rows(2, 1);
    all[1].strength = u32::MAX;
    let others = OtherEntries::from_rows(&all[0], all.clone());
    assert_eq!(others.stronger, [all[1].clone()]);
    assert!(OtherEntries::from_rows(&all[1], all.clone()).stronger.is_empty());
}
