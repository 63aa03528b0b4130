//! How many starts may be under way follows how late calls are.

use fuchsiamill_fleet::{Lateness, Limit};
use fuchsiamill_model::units::{Millisecond, Moment};

const START: Moment = Moment(1_000_000);

/// The window up to which starts need not be under way for it to grow.
const UNUSED: usize = 128;

/// The time between two calls.
const CALL_MS: Millisecond = 10;

/// Calls within the time between two evaluations, after which it is known that they are not answered.
const CALLS_UNTIL_KNOWN: usize = 26;

/// The coordinator's calls and starts.
struct Calls {
    lateness: Lateness,
    now: Moment,
}

impl Calls {
    fn new() -> Self {
        Self { lateness: Lateness::new(START), now: START }
    }

    /// Answers calls after this time for so many seconds. If `is_busy`, as many starts as may be are under way, and
    /// answered as late.
    fn play(&mut self, seconds: u64, answer_ms: Millisecond, is_busy: bool) -> usize {
        self.play_ms(seconds * 1_000, answer_ms, is_busy)
    }

    fn play_ms(&mut self, ms: Millisecond, answer_ms: Millisecond, is_busy: bool) -> usize {
        for _ in 0..ms / CALL_MS {
            self.now = self.now + CALL_MS;
            let sent = self.now;
            let starts = if is_busy { self.lateness.start_room(sent) } else { 0 };
            (0..starts).for_each(|_| self.lateness.start_sent(sent));
            self.lateness.answered(answer_ms, self.now);
            (0..starts).for_each(|_| self.lateness.start_ended(sent));
        }
        self.lateness.window().size
    }
}

/// Tasks would wait beside idle workers, however much the link and the processor carry.
#[test]
fn starts_have_no_ceiling_while_calls_are_on_time() {
    let mut calls = Calls::new();
    let sizes = [calls.play(1, 10, true), calls.play(1, 10, true), calls.play(1, 10, true)];
    assert!(sizes[0] > UNUSED && sizes.is_sorted_by(|a, b| a < b), "{sizes:?}");
    assert_eq!(calls.lateness.window().limit, Limit::Window);
}

/// Nothing shows that the link carries them: the first burst would fill it.
#[test]
fn window_that_is_not_used_does_not_grow_beyond_what_links_carry() {
    let mut calls = Calls::new();
    assert_eq!(calls.play(10, 5, false), UNUSED);
    assert_eq!(calls.lateness.window().limit, Limit::None);
}

#[test]
fn window_that_is_no_longer_used_returns() {
    let mut calls = Calls::new();
    assert!(calls.play(2, 5, true) > UNUSED);
    assert_eq!(calls.play(5, 5, false), UNUSED);
}

#[test]
fn late_calls_shrink_the_window_at_once() {
    let mut calls = Calls::new();
    let before = calls.play(2, 5, true);
    assert!(calls.play(1, 405, true) <= before / 8);
    assert_eq!(calls.lateness.window().limit, Limit::Delay);
    assert!(calls.play(5, 405, true) <= 8);
}

/// A window that doubles until calls are late fills the link with twice what it carries.
#[test]
fn window_grows_more_slowly_where_calls_are_nearly_late() {
    let grown = |answer_ms| {
        let mut calls = Calls::new();
        let before = calls.play(1, 5, true);
        calls.play(1, answer_ms, true) as f64 / before as f64
    };
    let (early, late) = (grown(5), grown(50));
    assert!(early > 4.0 && late < 2.0, "{early} {late}");
}

#[test]
fn some_starts_are_allowed_however_late_calls_are() {
    let mut calls = Calls::new();
    calls.play(1, 5, true);
    assert_eq!(calls.play(20, 1_000, true), 8);
}

/// Starts in a queue would be taken for a longer route, and fill the link a little more each second.
#[test]
fn delay_by_the_starts_themselves_is_not_learned_as_the_way_to_the_workers() {
    let mut calls = Calls::new();
    calls.play(1, 5, true);
    // A link that takes 0.25 ms for each start under way.
    let sizes: Vec<usize> = (0..600)
        .map(|_| {
            let queue_ms = calls.lateness.window().size as u64 / 4;
            calls.play_ms(100, 5 + queue_ms, true)
        })
        .collect();
    let most = sizes[300..].iter().max().expect("some time");
    assert!(*most <= 2 * 4 * 50, "{most}");
}

/// Starts that are given up and sent anew would keep the link full for good.
#[test]
fn starts_are_held_back_while_hardly_any_call_is_answered() {
    let mut calls = Calls::new();
    let before = calls.play(1, 5, true);
    let mut sent = 0;
    for call in 0..200 {
        calls.now = calls.now + CALL_MS;
        let starts = calls.lateness.start_room(calls.now);
        (0..starts).for_each(|_| calls.lateness.start_sent(calls.now));
        sent += if call >= CALLS_UNTIL_KNOWN { starts } else { 0 };
        calls.lateness.unanswered(calls.now);
    }
    assert!(calls.lateness.window().size <= 16, "{before}: {:?}", calls.lateness.window());
    // One window, then the smallest ones once a second.
    assert!(sent <= before, "{before}: {sent}");
}
