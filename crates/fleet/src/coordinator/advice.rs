//! Advice on which workers may run a step, for queues whose policy allows only some.

use fuchsiamill_model::{
    FastMap, FastSet,
    units::{Millisecond, Moment},
};

use super::{
    Coordinator, Order, WaitReason,
    room::{FreeWorker, RoomSearch},
};
use crate::{JobSpec, Name, TaskId};

/// The most workers in one request: a longer list takes longer to answer.
const MAX_WORKERS_ASKED: usize = 30;

/// A ticket is used only while it stays valid for this much longer, since the order takes a while to arrive.
const TICKET_MARGIN_MS: Millisecond = 500;

/// A request without an answer is repeated after this time.
const REQUEST_TIMEOUT_MS: Millisecond = 3_000;

/// A request that failed is repeated after this time, counted from when it was made: the service turns requests away
/// while too many of them wait.
const REQUEST_RETRY_MS: Millisecond = 500;

/// A step of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepKey {
    /// The id of the job.
    pub job: Name,
    /// The number of the occurrence.
    pub occurrence: u32,
    /// The number of the step.
    pub step: u16,
}

impl StepKey {
    /// Returns one of the step's tasks.
    pub fn task(&self, index: u32) -> TaskId {
        TaskId { job: self.job.clone(), occurrence: self.occurrence, step: self.step, index }
    }
}

impl From<&TaskId> for StepKey {
    fn from(it: &TaskId) -> Self {
        Self { job: it.job.clone(), occurrence: it.occurrence, step: it.step }
    }
}

/// Allows the tasks of a step on one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The ticket that a start order carries.
    pub ticket: Name,
    /// Until when the ticket is valid.
    pub until: Moment,
}

/// The advice that is known for a step.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    permits: FastMap<Name, Permit>,
    pub(super) refused: FastSet<Name>,
    asked: Option<Moment>,
    /// When the last request was made, if it has failed.
    failed: Option<Moment>,
}

impl Coordinator {
    /// Returns the ticket for a step on a worker, if there is a valid one.
    pub(super) fn ticket(&self, step: &StepKey, worker: &Name, now: Moment) -> Option<Name> {
        let permit = self.advice.get(step)?.permits.get(worker)?;
        (permit.until >= now + TICKET_MARGIN_MS).then(|| permit.ticket.clone())
    }

    /// Asks which of the workers that have room for a step may run it, unless a request is pending.
    pub(super) fn ask_advice(
        &mut self,
        step: &StepKey,
        spec: &JobSpec,
        search: &RoomSearch,
        now: Moment,
    ) {
        let known = self.advice.entry(step.clone()).or_default();
        if known.asked.is_some_and(|at| now.since(at) < REQUEST_TIMEOUT_MS) {
            return;
        }
        let known = &self.advice[step];
        let Some(pool) = search.pool(&spec.route.pool) else { return };
        let task = step.task(0);
        let is_open = |it: &&FreeWorker| {
            !known.refused.contains(&it.id)
                && self.suits(it, &task, spec, now) == Err(WaitReason::Permit)
        };
        let mut workers: Vec<&FreeWorker> = pool.workers.iter().filter(is_open).collect();
        // Workers whose permits are over come first, then those with most room.
        workers.sort_by_key(|it| {
            let is_new = !known.permits.contains_key(&it.id);
            (is_new, std::cmp::Reverse(it.free.millicores), it.id.clone())
        });
        let workers: Vec<Name> =
            workers.into_iter().take(MAX_WORKERS_ASKED).map(|it| it.id.clone()).collect();
        if workers.is_empty() {
            return;
        }
        let known = self.advice.entry(step.clone()).or_default();
        known.asked = Some(now);
        known.failed = None;
        self.ready_orders.push(Order::Advise { step: step.clone(), workers });
    }

    /// Handles the answer to a request; `permits` is `None` if the advice service did not answer.
    pub fn advice_answered(
        &mut self,
        step: &StepKey,
        asked: &[Name],
        permits: Option<Vec<(Name, Permit)>>,
    ) {
        let Some(known) = self.advice.get_mut(step) else { return };
        let asked_at = known.asked.take();
        let Some(permits) = permits else {
            known.failed = asked_at;
            return;
        };
        let permitted: FastSet<&Name> = permits.iter().map(|it| &it.0).collect();
        known.refused.extend(asked.iter().filter(|it| !permitted.contains(it)).cloned());
        known.permits.extend(permits);
        self.needs_placing = true;
    }

    /// Requests placement when a request for advice is to be repeated, since no other event may do so.
    pub(super) fn end_advice_waits(&mut self, now: Moment) {
        for known in self.advice.values_mut() {
            let is_unanswered =
                known.asked.take_if(|at| now.since(*at) >= REQUEST_TIMEOUT_MS).is_some();
            let has_failed =
                known.failed.take_if(|at| now.since(*at) >= REQUEST_RETRY_MS).is_some();
            self.needs_placing |= is_unanswered || has_failed;
        }
    }

    /// Forgets the advice on a worker: it is valid for one incarnation only.
    pub(super) fn forget_advice_on(&mut self, worker: &Name) {
        for known in self.advice.values_mut() {
            known.permits.remove(worker);
            known.refused.remove(worker);
        }
    }

    /// Forgets a ticket that a worker did not accept.
    pub(super) fn forget_ticket(&mut self, id: &TaskId, worker: &Name) {
        if let Some(known) = self.advice.get_mut(&StepKey::from(id)) {
            known.permits.remove(worker);
        }
    }
}
