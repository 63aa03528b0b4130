//! The orders that a link sends to its worker.

use std::{rc::Rc, sync::Arc, time::Duration};

use fuchsiamill_fleet::{Name, TaskId, coordinator::StartReply};
use fuchsiamill_model::units::Millisecond;
use fuchsiamill_platform::WorkerCallError;
use monoio::time::sleep;

use super::{Link, RETRY_PAUSE};
use crate::lead::event::LinkEvent;

/// Attempts at one start.
const MAX_START_TRIES: u32 = 2;

/// Attempts at one stop. After these the coordinator, which knows what else has become of the worker, orders the stop
/// anew.
const MAX_STOP_TRIES: u32 = 3;

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct StartOrder {
    pub task: TaskId,
    /// The number of the run.
    pub run: u32,
    /// The job's payload.
    pub payload: Arc<str>,
    /// The checkpoint from which the run goes on; empty if there is none.
    pub checkpoint: Name,
    /// The ticket of the advice service; empty if none is needed.
    pub ticket: Name,
}

impl Link {
    /// Notes that a start is sent now, by this process or another one. Returns the end of its lease on the worker's
    /// clock, or `None` if no start may be sent.
    pub fn begin_start(&self) -> Option<u64> {
        let now = self.context.clock.now();
        if self.is_over() || self.context.is_evacuated(&self.worker) {
            return None;
        }
        let Some(deadline) = self.deadline(now) else {
            self.look();
            return None;
        };
        // The record of the start may have taken long.
        let may_start = self.context.may_start(now) && self.may_renew(now);
        if self.state.borrow().is_silent || !may_start {
            return None;
        }
        let mut state = self.state.borrow_mut();
        state.renewed = now;
        state.is_busy = true;
        drop(state);
        self.wake.notify_one();
        Some(deadline)
    }

    /// Returns the time limit of a call to the worker, without the time that it is asked to wait.
    pub fn time_limit(&self) -> Duration {
        self.context.time_limit()
    }

    /// Returns how long a start may take that is sent now.
    pub fn start_time_left(&self) -> Millisecond {
        let cx = &self.context;
        cx.start_budget.left_ms(cx.clock.now().since(cx.jobs_known.get()))
    }

    /// Reports the outcome of an order to start a run.
    pub fn start_replied(&self, task: TaskId, run: u32, reply: StartReply) {
        self.send(LinkEvent::Started(task, run, reply));
    }

    /// Sends an order to start, and sends an event on its outcome.
    pub fn start(self: Rc<Self>, start: StartOrder) {
        let (task, run) = (start.task.clone(), start.run);
        let sent = self.context.clock.now();
        self.context.lateness.borrow_mut().start_sent(sent);
        monoio::spawn(async move {
            let answer = self.try_start(start).await;
            self.context.lateness.borrow_mut().start_ended(sent);
            if let Some(answer) = answer {
                self.start_replied(task, run, answer);
            }
        });
    }

    /// Sends an order to start. An order without an answer is sent once more, since the order is idempotent, unless
    /// answers are late anyway. Returns `None` if the worker process is gone.
    async fn try_start(&self, start: StartOrder) -> Option<StartReply> {
        let StartOrder { task, run, payload, checkpoint, ticket } = start;
        let ticket = (!ticket.is_empty()).then_some(ticket.as_str());
        let mut answer = StartReply::NotSent;
        let tries = if self.context.lateness.borrow().is_late() { 1 } else { MAX_START_TRIES };
        for _ in 0..tries {
            let now = self.context.clock.now();
            let Some(deadline) = self.begin_start() else { break };
            let order = (&task, run);
            let sent = self
                .client
                .start(order, &payload, &checkpoint, ticket, deadline, self.context.time_limit())
                .await;
            match &sent {
                Ok(StartReply::Unknown | StartReply::NotSent) => {
                    self.context.note_unanswered();
                }
                it => self.note_call(now, Duration::ZERO, it),
            }
            answer = match (sent, answer) {
                (Ok(it), before) => it.after(before),
                (Err(WorkerCallError::OtherIncarnation), _) => {
                    self.report_dead();
                    return None;
                }
                (Err(e), before) => {
                    tracing::warn!(event = "start-failed", task = %task, run, error = %e);
                    before
                }
            };
            if answer != StartReply::Unknown {
                break;
            }
        }
        Some(answer)
    }

    /// Asks the worker whether it is healthy. A failed call is only logged, since polls detect a worker that does not
    /// answer.
    pub async fn ask_health(self: Rc<Self>, path: Name) {
        let begun = self.context.clock.now();
        let answer = self.client.is_healthy(&path, self.context.time_limit()).await;
        self.note_call(begun, Duration::ZERO, &answer);
        match answer {
            Ok(is_healthy) => {
                let (id, born) = (self.worker.id.clone(), self.worker.born);
                self.send(LinkEvent::HealthReported(id, born, is_healthy));
            }
            Err(e) => {
                tracing::debug!(event = "health-not-told", worker = %self.worker.id, error = %e);
            }
        }
    }

    /// Sets a run's speed.
    pub async fn pace(self: Rc<Self>, task: TaskId, run: u32, percent: u32) {
        if let Err(e) = self.client.pace(&task, run, percent, self.context.time_limit()).await {
            tracing::debug!(event = "pace-failed", task = %task, run, percent, error = %e);
            self.send(LinkEvent::PaceFailed(task, run));
        }
    }

    /// Stops a run and sends an event on whether the worker has confirmed the stop.
    pub async fn stop(self: Rc<Self>, task: TaskId, run: u32) {
        for _ in 0..MAX_STOP_TRIES {
            if self.is_over() {
                let worker = &self.worker.id;
                tracing::info!(event = "stop-not-sent", %task, run, %worker, cause = "link closed");
                return self.send(LinkEvent::StopFailed(task, run));
            }
            self.set_busy(true);
            let begun = self.context.clock.now();
            let answer = self.client.stop(&task, run, self.context.time_limit()).await;
            self.note_call(begun, Duration::ZERO, &answer);
            match answer {
                Ok(()) => {
                    tracing::info!(event = "stop-confirmed", task = %task, run);
                    return self.send(LinkEvent::Stopped(task, run));
                }
                Err(WorkerCallError::OtherIncarnation) => {
                    self.report_dead();
                    return;
                }
                Err(e) => tracing::info!(event = "stop-failed", task = %task, run, error = %e),
            }
            sleep(RETRY_PAUSE).await;
        }
        tracing::warn!(event = "stop-given-up", task = %task, run, worker = %self.worker.id);
        self.send(LinkEvent::StopFailed(task, run));
    }
}
