//! How late the coordinator's own calls are, and how many starts it may have under way.
//!
//! Calls to all workers share one link and one processor. When these are full, every answer is late, and giving calls
//! up and making others instead fills them further. So the time limit of calls follows the answers, and starts, the
//! largest and the only deferrable calls, are held back; polls and stops are not.

use std::collections::VecDeque;

use fuchsiamill_model::units::{Millisecond, Moment};

use crate::{
    CallSummary, CallTimes,
    start_window::{Limit, StartWindow},
};

/// The time between two evaluations.
const EVALUATION_INTERVAL_MS: Millisecond = 250;

/// An evaluation needs this many calls, so that a few slow workers are not taken for a local delay.
const MIN_CALLS: usize = 8;

/// If less than one in this many calls is answered, those that are do not tell how late calls are: the others would have
/// been later.
const MIN_ANSWERED_DIVISOR: usize = 4;

/// Without enough calls for an evaluation, the estimate is halved after this time.
const IDLE_INTERVAL_MS: Millisecond = 1_000;

/// The delay of the fastest calls, beyond the round-trip time, up to which nothing is held back.
const MAX_DELAY_MS: Millisecond = 50;

/// The longest round-trip time to workers of another region.
const MAX_ROUND_TRIP_MS: Millisecond = 200;

/// How much the estimated round-trip time may grow with each evaluation: 4 ms a second, so that a burst of some seconds
/// is not taken for a longer route.
const ROUND_TRIP_RISE_MS: Millisecond = 1;

/// The least and the greatest time limit of a call. A poll that waits at its worker for a second and two repetitions,
/// the second of which renews no lease, have to fit into a lease of five to six seconds.
const MIN_TIME_LIMIT_MS: Millisecond = 400;
pub(crate) const MAX_TIME_LIMIT_MS: Millisecond = 1_000;

/// The time limit of a call as a multiple of the estimate.
const TIME_LIMIT_FACTOR: Millisecond = 4;

/// The most rounds of starts that are placed for one transaction: they are sent within 0.8 s, and one that has waited for
/// 1 s is given up.
const MAX_ROUNDS: Millisecond = 16;

/// The starts that may be under way, as of the last evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowState {
    /// How many may be under way.
    pub size: usize,
    /// How many are.
    pub under_way: usize,
    /// The delay of the fastest calls beyond the round-trip time, in milliseconds.
    pub delay_ms: Millisecond,
    /// What keeps more from being under way.
    pub limit: Limit,
}

/// The lateness of the coordinator's own calls.
#[derive(Debug)]
pub struct Lateness {
    calls: CallTimes,
    count: usize,
    evaluated: Moment,
    /// The estimated time of the fastest calls, in milliseconds.
    estimate: Millisecond,
    /// The part of the estimate that is the round-trip time to the workers, in milliseconds; `None` before the first
    /// evaluation.
    round_trip: Option<Millisecond>,
    /// Whether hardly any call of the last evaluation was answered.
    is_unanswered: bool,
    window: StartWindow,
    /// When the starts without an answer so far were sent, in order.
    starts: VecDeque<Moment>,
}

impl Lateness {
    /// Begins without a delay.
    pub fn new(now: Moment) -> Self {
        Self {
            calls: CallTimes::default(),
            count: 0,
            evaluated: now,
            estimate: 0,
            round_trip: None,
            is_unanswered: false,
            window: StartWindow::new(MAX_DELAY_MS),
            starts: VecDeque::new(),
        }
    }

    /// Notes a call that was answered after this time, without the time that the worker was asked to wait.
    pub fn answered(&mut self, ms: Millisecond, now: Moment) {
        self.calls.answered(ms);
        self.note_call(now);
    }

    /// Notes a call that was given up.
    pub fn unanswered(&mut self, now: Moment) {
        self.calls.unanswered();
        self.note_call(now);
    }

    /// Returns the time limit of a call in milliseconds, without the time that the worker is asked to wait.
    pub fn time_limit_ms(&self) -> Millisecond {
        // Nothing tells how long an answer would have taken, only that it is more than the time limit.
        if self.is_unanswered {
            return MAX_TIME_LIMIT_MS;
        }
        (self.estimate * TIME_LIMIT_FACTOR).clamp(MIN_TIME_LIMIT_MS, MAX_TIME_LIMIT_MS)
    }

    /// Returns whether calls are so late that those which can be left out should be.
    pub fn is_late(&self) -> bool {
        self.delay() > MAX_DELAY_MS
    }

    /// Returns whether so few calls to all workers are answered that the fault is most likely on this side, such as a
    /// link that is full of something else. The silence of one worker then tells nothing of it.
    pub fn is_unanswered(&self) -> bool {
        self.is_unanswered
    }

    /// Returns the part of the estimate that is a local delay, by the link or the processor.
    fn delay(&self) -> Millisecond {
        self.estimate.saturating_sub(self.round_trip.unwrap_or(0))
    }

    /// Notes that a start was sent.
    pub fn start_sent(&mut self, now: Moment) {
        self.starts.push_back(now);
        self.window.note_used(self.starts.len());
    }

    /// Notes that the start that was sent at this moment was answered or given up.
    pub fn start_ended(&mut self, sent: Moment) {
        if let Ok(at) = self.starts.binary_search(&sent) {
            self.starts.remove(at);
        }
    }

    /// Returns how many starts may be sent now.
    pub fn start_room(&mut self, now: Moment) -> usize {
        // One that is unanswered for longer than the fastest calls take is with its worker, which may not answer at
        // all. While hardly any call is answered, it may still wait for the link.
        let age = match self.is_unanswered {
            true => MAX_TIME_LIMIT_MS,
            false => MAX_DELAY_MS.max(self.estimate * 2),
        };
        while self.starts.front().is_some_and(|it| now.since(*it) > age) {
            self.starts.pop_front();
        }
        self.window.size().saturating_sub(self.starts.len())
    }

    /// Returns how many starts may be placed now, where their records take `record_ms` to be stored and `waiting` starts
    /// wait to be sent. While nothing is late, starts are sent as fast as others are answered, so that more than
    /// [`Lateness::start_room`] are sent until the next records are stored.
    pub fn place_room(&mut self, record_ms: Millisecond, waiting: usize, now: Moment) -> usize {
        let room = self.start_room(now);
        let rounds =
            if self.is_late() { 1 } else { (record_ms / MAX_DELAY_MS).clamp(1, MAX_ROUNDS) };
        (room + self.window.size() * (rounds as usize - 1)).saturating_sub(waiting)
    }

    /// Returns how many starts may be under way, how many are, and what keeps them from being more.
    pub fn window(&self) -> WindowState {
        let (size, limit) = (self.window.size(), self.window.limit());
        WindowState { size, under_way: self.starts.len(), delay_ms: self.delay(), limit }
    }

    fn note_call(&mut self, now: Moment) {
        self.count += 1;
        let since = now.since(self.evaluated);
        if since < EVALUATION_INTERVAL_MS {
            return;
        }
        if self.count >= MIN_CALLS {
            let summary = self.calls.take_summary();
            self.evaluate(summary);
        } else if since >= IDLE_INTERVAL_MS {
            // Polls that wait at their workers come back in groups, more than this time apart.
            self.is_unanswered &= self.calls.take_summary().answered == 0;
            self.set_estimate(self.estimate / 2);
        } else {
            return;
        }
        self.count = 0;
        self.evaluated = now;
    }

    fn evaluate(&mut self, calls: CallSummary) {
        let count = calls.answered + calls.unanswered as usize;
        self.is_unanswered = calls.answered * MIN_ANSWERED_DIVISOR < count;
        if self.is_unanswered {
            self.window.halve();
            return;
        }
        // Starts that fill the link themselves are no longer route.
        let rise = if self.window.explains_delay() { 0 } else { ROUND_TRIP_RISE_MS };
        // The first calls may be late already.
        let round_trip =
            self.round_trip.map_or(MAX_DELAY_MS, |it| (it + rise).min(MAX_ROUND_TRIP_MS));
        self.round_trip = Some(round_trip.min(calls.fastest_quarter_ms));
        self.set_estimate(calls.fastest_quarter_ms.max(self.estimate / 2));
    }

    fn set_estimate(&mut self, estimate: Millisecond) {
        self.estimate = estimate;
        self.window.evaluate(self.delay());
    }
}
