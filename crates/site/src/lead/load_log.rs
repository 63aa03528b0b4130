//! Logs how loaded the coordinating entry host is, and how old what it knows is.

use std::rc::Rc;

use fuchsiamill_fleet::{CallSummary, CallTimes, Limit, WindowState};
use fuchsiamill_model::units::{Millisecond, Moment};
use fuchsiamill_platform::Traffic;

use super::leader::Leader;

/// The time between two log lines.
const LOG_INTERVAL_MS: Millisecond = 1_000;

/// What limits the starts; see [`Starts::limit`].
pub const START_LIMITS: [&str; 4] = ["room", "store", "window", "delay"];

/// The bytes that were exchanged with one kind of peer.
pub struct PeerTraffic {
    traffic: Rc<Traffic>,
    sent: u64,
    received: u64,
}

/// The bytes of one period.
pub struct Exchanged {
    /// Bytes handed to connections.
    pub sent: u64,
    /// Bytes of complete answers.
    pub received: u64,
}

/// Logs the load once per [`LOG_INTERVAL_MS`].
pub struct LoadLog {
    logged: Moment,
    store: PeerTraffic,
    workers: PeerTraffic,
    longest_turn_ms: Millisecond,
}

/// The load of one period.
pub struct Load {
    /// Bytes exchanged with the store.
    pub store: Exchanged,
    /// Bytes exchanged with workers.
    pub workers: Exchanged,
    /// Calls to workers.
    pub calls: CallSummary,
    /// The age of the copy of the table of jobs at the end of the period.
    pub jobs_age_ms: Millisecond,
    /// What the coordinator may have under way at the end of the period.
    pub starts: Starts,
}

/// How many starts the coordinator may send, and what keeps more from being sent.
#[derive(Clone, Copy)]
pub struct Starts {
    /// Those that it may have under way itself.
    pub window: WindowState,
    /// Placed ones that wait to be sent.
    pub waiting: usize,
    /// The time of the last transaction, before whose end its starts are not sent.
    pub record_ms: Millisecond,
    /// Whether the last placement left tasks for want of starts.
    pub lacks_starts: bool,
}

impl Starts {
    /// Returns what limits the starts: `room` if all tasks that have room are placed, `store` if the starts wait for their
    /// records rather than for answers.
    pub fn limit(&self) -> &'static str {
        match (self.lacks_starts, self.window.limit) {
            (false, _) => "room",
            (true, Limit::None) => "store",
            (true, Limit::Window) => "window",
            (true, Limit::Delay) => "delay",
        }
    }
}

impl PeerTraffic {
    fn new(traffic: Rc<Traffic>) -> Self {
        let (sent, received) = (traffic.sent_bytes(), traffic.received_bytes());
        Self { traffic, sent, received }
    }

    /// Returns the bytes since the last call.
    fn take(&mut self) -> Exchanged {
        let (sent, received) = (self.traffic.sent_bytes(), self.traffic.received_bytes());
        let exchanged = Exchanged { sent: sent - self.sent, received: received - self.received };
        (self.sent, self.received) = (sent, received);
        exchanged
    }
}

impl LoadLog {
    /// Counts from now on.
    pub fn new(store: Rc<Traffic>, workers: Rc<Traffic>, now: Moment) -> Self {
        Self {
            logged: now,
            store: PeerTraffic::new(store),
            workers: PeerTraffic::new(workers),
            longest_turn_ms: 0,
        }
    }

    /// Notes the time from an event, or from the end of a pause, to the end of the work that it caused.
    pub fn note_turn(&mut self, ms: Millisecond) {
        self.longest_turn_ms = self.longest_turn_ms.max(ms);
    }

    /// Logs the load and returns it if a period is over. `jobs_age_ms` is the age of the copy of the table of jobs.
    pub fn log(
        &mut self,
        calls: &mut CallTimes,
        jobs_age_ms: Millisecond,
        starts: Starts,
        now: Moment,
    ) -> Option<Load> {
        if now.since(self.logged) < LOG_INTERVAL_MS {
            return None;
        }
        self.logged = now;
        let calls = calls.take_summary();
        let (store, workers) = (self.store.take(), self.workers.take());
        let load = Load { store, workers, calls, jobs_age_ms, starts };
        tracing::info!(
            event = "coordinator-load",
            calls = calls.answered,
            unanswered = calls.unanswered,
            fastest_quarter_ms = calls.fastest_quarter_ms,
            longest_ms = calls.longest_ms,
            longest_turn_ms = std::mem::take(&mut self.longest_turn_ms),
            jobs_age_ms,
            start_window = starts.window.size,
            starts_under_way = starts.window.under_way,
            starts_waiting = starts.waiting,
            delay_ms = starts.window.delay_ms,
            record_ms = starts.record_ms,
            start_limit = starts.limit(),
            worker_bytes_sent = load.workers.sent,
            worker_bytes_received = load.workers.received,
            store_bytes_sent = load.store.sent,
            store_bytes_received = load.store.received,
        );
        Some(load)
    }
}

impl Leader {
    /// Logs the load of this process and adds it to the metrics, at most once per [`LOG_INTERVAL_MS`].
    pub(super) fn log_load(&mut self, now: Moment) {
        let jobs_age_ms = now.since(self.link_context.jobs_known.get());
        let starts = Starts {
            window: self.link_context.lateness.borrow().window(),
            waiting: self.start_queue.waiting(),
            record_ms: self.record_ms,
            lacks_starts: self.coordinator.lacks_starts(),
        };
        let mut calls = self.link_context.calls.borrow_mut();
        if let Some(load) = self.load_log.log(&mut calls, jobs_age_ms, starts, now) {
            self.cx.metrics.loaded(&load);
        }
    }
}
