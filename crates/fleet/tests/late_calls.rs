//! Delays of the coordinator's own calls are told from those of workers.

use fuchsiamill_fleet::Lateness;
use fuchsiamill_model::units::{Millisecond, Moment};

const START: Moment = Moment(1_000_000);

/// The time limit without any delay, in milliseconds.
const SHORT_LIMIT_MS: Millisecond = 400;

/// The longest time limit, in milliseconds: a poll and two repetitions of it fit into a lease.
const LONG_LIMIT_MS: Millisecond = 1_000;

/// Plays calls of these times, 10 ms apart; returns the moment after them.
fn play(lateness: &mut Lateness, from: Moment, times: impl Iterator<Item = Option<u64>>) -> Moment {
    let mut now = from;
    for it in times {
        now = now + 10;
        match it {
            Some(ms) => lateness.answered(ms, now),
            None => lateness.unanswered(now),
        }
    }
    now
}

#[test]
fn slow_or_silent_workers_are_not_a_local_delay() {
    for slow in [Some(390), None] {
        let mut lateness = Lateness::new(START);
        let times = (0..600).map(|it| if it % 10 < 6 { slow } else { Some(3) });
        let now = play(&mut lateness, START, times);
        assert!(!lateness.is_late());
        assert_eq!(lateness.time_limit_ms(), SHORT_LIMIT_MS);
        assert!(lateness.start_room(now) > 100);
    }
}

#[test]
fn full_link_lengthens_time_limits_and_holds_starts_back() {
    let mut lateness = Lateness::new(START);
    let now = play(&mut lateness, START, (0..100).map(|_| Some(5)));
    let now = play(&mut lateness, now, (0..300).map(|_| Some(350)));
    assert!(lateness.is_late());
    assert_eq!(lateness.time_limit_ms(), LONG_LIMIT_MS);
    assert!((1..=8).contains(&lateness.start_room(now)));
    let now = play(&mut lateness, now, (0..300).map(|_| Some(5)));
    assert!(!lateness.is_late());
    assert_eq!(lateness.time_limit_ms(), SHORT_LIMIT_MS);
    assert!(lateness.start_room(now) > 100);
}

/// A link that is full of something else lets few calls through, and these are fast.
#[test]
fn few_fast_answers_do_not_hide_a_local_delay() {
    let mut lateness = Lateness::new(START);
    play(&mut lateness, START, (0..300).map(|it| (it % 5 == 0).then_some(3)));
    assert!(lateness.is_unanswered());
    assert_eq!(lateness.time_limit_ms(), LONG_LIMIT_MS);
}

/// The tasks of workers that are cut off have to start elsewhere.
#[test]
fn silence_of_some_workers_is_not_a_local_delay() {
    let mut lateness = Lateness::new(START);
    play(&mut lateness, START, (0..300).map(|it| (it % 10 >= 7).then_some(3)));
    assert!(!lateness.is_unanswered());
}

/// A time limit that is shorter than every answer would never see one.
#[test]
fn time_limit_grows_while_nothing_is_answered() {
    let mut lateness = Lateness::new(START);
    let now = play(&mut lateness, START, (0..300).map(|_| None));
    assert_eq!(lateness.time_limit_ms(), LONG_LIMIT_MS);
    // Workers that are cut off are no reason to hold back starts on others.
    assert!(!lateness.is_late());
    assert!(lateness.start_room(now) >= 16);
}

#[test]
fn distant_workers_are_not_a_local_delay() {
    for round_trip in [20, 60, 120, 200] {
        let mut lateness = Lateness::new(START);
        let now = play(&mut lateness, START, (0..4_000).map(|_| Some(round_trip)));
        assert!(!lateness.is_late(), "{round_trip}");
        assert!(lateness.start_room(now) > 100, "{round_trip}");
    }
}

#[test]
fn longer_round_trip_is_learned_after_a_while() {
    let mut lateness = Lateness::new(START);
    let now = play(&mut lateness, START, (0..100).map(|_| Some(5)));
    let now = play(&mut lateness, now, (0..100).map(|_| Some(120)));
    assert!(lateness.is_late());
    play(&mut lateness, now, (0..3_000).map(|_| Some(120)));
    assert!(!lateness.is_late());
}

#[test]
fn few_calls_decide_nothing() {
    let mut lateness = Lateness::new(START);
    for number in 1..60 {
        lateness.answered(300, START + number * 200);
    }
    assert!(!lateness.is_late());
}

#[test]
fn answered_starts_make_room_and_unanswered_ones_do_so_later() {
    let mut lateness = Lateness::new(START);
    let room = lateness.start_room(START);
    for number in 0..room as u64 {
        lateness.start_sent(START + number);
    }
    let now = START + room as u64;
    assert_eq!(lateness.start_room(now), 0);
    lateness.start_ended(START + 3);
    assert_eq!(lateness.start_room(now), 1);
    assert_eq!(lateness.start_room(now + 100), room);
}

/// A store that takes long to store records would otherwise hold back starts, which the link carries.
#[test]
fn more_is_placed_while_records_take_long() {
    let mut lateness = Lateness::new(START);
    let now = play(&mut lateness, START, (0..300).map(|_| Some(5)));
    let room = lateness.start_room(now);
    assert_eq!(lateness.place_room(12, 0, now), room);
    assert!(lateness.place_room(400, 0, now) >= 4 * room);
    assert_eq!(lateness.place_room(12, room, now), 0, "what waits takes its room");
}

#[test]
fn late_coordinator_places_no_more_for_a_slow_store() {
    let mut lateness = Lateness::new(START);
    let now = play(&mut lateness, START, (0..100).map(|_| Some(5)));
    let now = play(&mut lateness, now, (0..300).map(|_| Some(350)));
    assert_eq!(lateness.place_room(2_000, 0, now), lateness.start_room(now));
}
