//! Starts are handed to other entry hosts while the coordinator's own calls are late, and to none that cannot send them.

use fuchsiamill_fleet::{Handover, Name, Sender};
use fuchsiamill_model::units::Moment;

const START: Moment = Moment(1_000_000);

/// The entry host that accepted the jobs of these tests.
const HOST: &str = "127.0.0.1:7000";

fn late() -> Handover {
    let mut handover = Handover::default();
    handover.note_lateness(true, START);
    handover
}

fn choose(handover: &mut Handover, now: Moment) -> Sender {
    handover.choose(&HOST.into(), now)
}

fn other() -> Sender {
    Sender::Other(HOST.into())
}

/// A connection from each entry host to each worker is not opened without need.
#[test]
fn coordinator_that_is_on_time_sends_itself() {
    let mut handover = Handover::default();
    handover.note_lateness(false, START);
    assert_eq!(choose(&mut handover, START), Sender::Own);
    assert_eq!(handover.start_room(16, 20, START), 16);
}

#[test]
fn late_coordinator_hands_over() {
    let mut handover = late();
    assert_eq!(choose(&mut handover, START), other());
    assert!(handover.start_room(8, 20, START) > 100);
}

/// The link would fill again with the first starts.
#[test]
fn coordinator_hands_over_for_a_while_after_it_was_late() {
    let mut handover = late();
    handover.note_lateness(false, START + 1_000);
    assert_eq!(choose(&mut handover, START + 4_000), other());
    assert_eq!(choose(&mut handover, START + 6_000), Sender::Own);
}

/// Jobs that a former version has stored do not tell who accepted them.
#[test]
fn job_of_an_unknown_host_is_sent_by_the_coordinator() {
    assert_eq!(late().choose(&Name::default(), START), Sender::Own);
}

#[test]
fn no_start_is_left_where_there_is_no_other_host() {
    assert_eq!(late().start_room(8, 0, START), 8);
}

#[test]
fn sender_that_does_not_answer_is_avoided() {
    let mut handover = late();
    assert_eq!(choose(&mut handover, START), other());
    assert_eq!(handover.take(&HOST.into()), 1);
    handover.failed(&HOST.into(), 1, START);
    assert_eq!(choose(&mut handover, START + 1_000), Sender::Own);
    assert_eq!(choose(&mut handover, START + 3_000), other());
}

/// A sender whose link is full as well gets less.
#[test]
fn slow_sender_gets_fewer_starts() {
    let handed = |took_ms| {
        let mut handover = late();
        assert_eq!(choose(&mut handover, START), other());
        assert_eq!(handover.take(&HOST.into()), 1);
        handover.answered(&HOST.into(), 1, took_ms);
        (0..100).for_each(|_| drop(choose(&mut handover, START)));
        handover.take(&HOST.into())
    };
    assert!(handed(1_000) < handed(10));
}

/// Starts that are placed and cannot be sent keep the room of others.
#[test]
fn starts_that_wait_for_a_sender_are_bounded() {
    let mut handover = late();
    let chosen = (0..1_000).filter(|_| choose(&mut handover, START) == other()).count();
    assert!(chosen <= 64, "{chosen} starts wait for one sender");
    let room = handover.start_room(0, 1, START);
    assert_eq!(room, 0, "nothing is placed beyond what waits");
}

#[test]
fn sender_takes_more_once_it_has_answered() {
    let mut handover = late();
    (0..1_000).for_each(|_| drop(choose(&mut handover, START)));
    let first = handover.take(&HOST.into());
    assert!(first > 0);
    assert_eq!(handover.take(&HOST.into()), 0, "before the first ones are answered");
    handover.answered(&HOST.into(), first, 10);
    assert!(handover.take(&HOST.into()) > 0);
}
