//! The replies of workers to orders to start, and starts without a reply.

use fuchsiamill_model::units::{Millisecond, Moment};
use serde::{Deserialize, Serialize};

use super::{Coordinator, Phase};
use crate::{Name, TaskId};

/// A run whose start was given up and which its worker does not list is stopped this long after that. Before, the report
/// may have overtaken the order.
const LATE_ORDER_MS: Millisecond = 2_000;

/// The reply to the order to start a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartReply {
    /// The worker has the run.
    Running,
    /// The worker has done nothing, for this reason.
    Refused(Refusal),
    /// Nothing was sent.
    NotSent,
    /// No answer: the run may start at any time until its lease ends.
    Unknown,
}

impl StartReply {
    /// Combines the replies to two orders to start the same run. A refusal of the second says nothing about the first,
    /// unless the run had ended there.
    pub fn after(self, before: StartReply) -> StartReply {
        match (before, self) {
            (StartReply::Unknown, StartReply::Running) => StartReply::Running,
            (StartReply::Unknown, it @ StartReply::Refused(Refusal::Old)) => it,
            (StartReply::Unknown, _) => StartReply::Unknown,
            (_, it) => it,
        }
    }
}

/// Why a worker did not start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Another coordinator has given orders since.
    Fence,
    /// The run is not newer than one that ended there.
    Old,
    /// The order arrived after its deadline.
    Late,
    /// The worker has no room.
    Room,
    /// The step may not run there, or its ticket is no longer valid.
    Ticket,
    /// The worker does not understand the order.
    Malformed,
    /// The worker is unhealthy.
    Unhealthy,
}

/// A start that was given up without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostStart {
    /// When it was first given up.
    pub since: Moment,
    /// Whether it was sent again since a report lacked its run.
    pub is_repeated: bool,
}

impl Coordinator {
    /// Notes that a start was given up without an answer.
    pub(super) fn note_lost_start(&mut self, id: &TaskId, now: Moment) {
        let Some(live) = self.live_mut(id) else { return };
        live.lost_start.get_or_insert(LostStart { since: now, is_repeated: false });
        self.set_phase(id, Phase::Unanswered, now);
    }

    /// Handles a report that lacks a run whose start was given up. The order, which is idempotent, is sent again first; the
    /// stop that makes both void follows once neither can be expected to arrive.
    pub(super) fn lost_start_missing(&mut self, id: &TaskId, worker: &Name, now: Moment) {
        let may_start = self.may_start_again(id, worker, now);
        let Some(live) = self.live_mut(id) else { return };
        let Some(lost) = &mut live.lost_start else { return };
        if now.since(lost.since) >= LATE_ORDER_MS || !may_start {
            self.stop_gang_of_cordoned(id, worker, now);
            self.stop_run(id, now);
        } else if !std::mem::replace(&mut lost.is_repeated, true)
            && let Some(order) = self.start_order(id, now)
        {
            self.set_phase(id, Phase::Sent, now);
            self.ready_orders.push(order);
        }
    }

    /// Returns whether a worker may still be told to start a run that was placed there.
    fn may_start_again(&self, id: &TaskId, worker: &Name, now: Moment) -> bool {
        let Some(worker) = self.workers.get(worker) else { return false };
        !worker.is_leaving() && !worker.unlisted && self.has_ticket(id, &worker.seen.id, now)
    }

    fn has_ticket(&self, id: &TaskId, worker: &Name, now: Moment) -> bool {
        let is_advised = self.jobs.get(&id.job).is_some_and(|it| it.spec.route.advised);
        !is_advised || self.ticket(&id.into(), worker, now).is_some()
    }
}
