//! The log tells where the time of a takeover went.

mod common;

use std::time::{Duration, Instant};

use common::{
    fleet::{Fleet, Process, job},
    wait_until,
};
use serde_json::Value;

const PATIENCE: Duration = Duration::from_secs(20);

/// The former coordinator's last write comes before its loss, by one transaction or the interval of its renewals.
const LAST_WRITE: Duration = Duration::from_millis(800);

/// The time for which the row of a silent holder has to be unchanged: 1 s and six times the least response time that is
/// taken for usual, 50 ms.
const SILENCE: Duration = Duration::from_millis(1_300);

/// One look at the lease: the holder is asked for 0.3 s, and the pause is 0.125 s at most.
const LOOK: Duration = Duration::from_millis(425);

/// For the calls to the store and a busy machine.
const SLACK: Duration = Duration::from_millis(100);

const ROUNDS: usize = 3;

/// The parts of a takeover, in their order.
const PARTS: [&str; 7] =
    ["noticed_ms", "taken_ms", "loaded_ms", "polled_ms", "placed_ms", "recorded_ms", "sent_ms"];

fn takeover_lines(entry: &Process) -> Vec<Value> {
    let log = entry.log();
    let lines = log.lines().filter_map(|it| serde_json::from_str::<Value>(it).ok());
    lines.filter(|it| it["event"] == "takeover-done").collect()
}

#[test]
fn parts_of_a_takeover_are_not_told_apart() {
    let fleet = Fleet::start(3, 4);
    fleet.accept(&job(100, &[2]), PATIENCE).expect("accepted");
    fleet.check();
    let former = fleet.wait_coordinator();
    assert_eq!(takeover_lines(&fleet.entries[former]).len(), 1, "its own first start");
    let lost = Instant::now();
    fleet.entries[former].signal("STOP");
    let other = &fleet.entries[(former + 1) % 3];
    let id = "00000000000000f1";
    assert!(other.post(id, &job(100, &[2])).is_some_and(|it| it.status.is_success()));
    fleet.wait_start(id);
    let took = lost.elapsed();
    let next = &fleet.entries[fleet.wait_coordinator()];
    wait_until("its line is written", || !takeover_lines(next).is_empty());
    fleet.entries[former].signal("CONT");
    fleet.accept(&job(100, &[2]), PATIENCE).expect("accepted");
    fleet.check();

    let lines = takeover_lines(next);
    assert_eq!(lines.len(), 1, "one line a term: {lines:?}");
    let line = &lines[0];
    println!("{took:?}: {line}");
    assert_eq!(line["former"], fleet.entries[former].name.as_str());
    let ms = |part: &str| line[part].as_u64().unwrap_or_else(|| panic!("no {part}: {line}"));
    let (sum, total) = (PARTS.iter().map(|it| ms(it)).sum::<u64>(), ms("total_ms"));
    assert_eq!(sum, total, "the parts are not the whole: {line}");
    let most = (took + LAST_WRITE).as_millis() as u64;
    assert!(total <= most, "{total} ms of {most}: {line}");
    assert!(ms("noticed_ms") + ms("taken_ms") >= 1_000, "its silence is not told: {line}");
}

/// The shortest of some takeovers is judged, since a busy machine lengthens each.
#[test]
fn silence_is_waited_for_again_after_the_holder_was_asked() {
    let fleet = Fleet::start(3, 4);
    let waits = (0..ROUNDS).map(|_| {
        fleet.accept(&job(100, &[2]), PATIENCE).expect("accepted");
        fleet.check();
        let former = fleet.wait_coordinator();
        fleet.entries[former].signal("STOP");
        wait_until("another one coordinates", || fleet.coordinator() != Some(former));
        let next = &fleet.entries[fleet.wait_coordinator()];
        let lines = takeover_lines(next).len();
        fleet.entries[former].signal("CONT");
        fleet.wait_ready();
        fleet.accept(&job(100, &[2]), PATIENCE).expect("accepted");
        wait_until("its line is written", || takeover_lines(next).len() > lines);
        let line = takeover_lines(next).pop().expect("it is written");
        println!("{line}");
        let ms = |part: &str| line[part].as_u64().expect("a time");
        Duration::from_millis(ms("noticed_ms") + ms("taken_ms"))
    });
    let shortest = waits.min().expect("there are rounds");
    fleet.check();
    let bound = SILENCE + LOOK + SLACK;
    assert!(shortest <= bound, "{shortest:?} of {bound:?} until the lease is taken");
}
