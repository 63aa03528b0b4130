//! Maintenance of the owned pools: configuration, queues, deadlines and the measure of nearness to share.

use fuchsiamill_model::{Millisecond, Moment, PoolName, ProblemKind};

use super::{
    Action, Dispatcher,
    answers::{answer, refused},
};
use crate::{
    dispatch::{Acquire, Answer},
    shares::{Lane, QueuedRequest},
};

impl Dispatcher {
    pub(super) fn configure_pool(&mut self, pool: &PoolName) {
        let Some(owned) = self.pools.get_mut(pool) else { return };
        owned.slots.set_hosts(self.config.hosts_of(pool));
        owned.queues.set_lane(Lane::Open, self.bounds.open);
        for team in self.config.teams.values() {
            owned.queues.set_lane(Lane::Team(team.name.clone()), team.into());
        }
    }

    /// Removes an owned pool and answers the open asks of its queue.
    pub(super) fn remove_pool(&mut self, pool: &PoolName, actions: &mut Vec<Action>) {
        let Some(mut owned) = self.pools.remove(pool) else { return };
        let waiting = owned.queues.remove_where(|_| true);
        let asking = waiting.into_iter().filter(|it| it.is_asking);
        actions.extend(asking.map(|it| answer(it.ticket, Answer::NotOwner)));
    }

    pub(super) fn enqueue(&mut self, now: Moment, req: &Acquire) -> Result<(), Answer> {
        let Some(owned) = self.pools.get_mut(&req.pool) else { return Err(Answer::NotOwner) };
        if !owned.slots.is_serving() && owned.slots.in_use() == 0 && owned.is_granting(now) {
            let detail = format!("No host of pool '{}' serves.", req.pool);
            return Err(refused(ProblemKind::NoCapacity, detail));
        }
        let waiting = QueuedRequest {
            ticket: req.ticket.clone(),
            ask: req.ask,
            data_centre: req.data_centre.clone(),
            until: now + self.bounds.timing.with_drift(req.left),
            asked_at: now,
            is_asking: true,
        };
        let full = |_| {
            let detail = format!("The queue of pool '{}' is full.", req.pool);
            refused(ProblemKind::QueueFull, detail)
        };
        owned.queues.enqueue(&req.lane, waiting).map_err(full)
    }

    pub(super) fn tick_pool(
        &mut self,
        now: Moment,
        span: Millisecond,
        pool: &PoolName,
        actions: &mut Vec<Action>,
    ) {
        let Some(owned) = self.pools.get_mut(pool) else { return };
        owned.expire(now);
        owned.measure(now, span);
        if owned.queues.is_empty() {
            return;
        }
        let start_by = self.bounds.timing.start_by;
        let overdue = owned.queues.remove_where(|it| it.until <= now);
        for over in overdue.into_iter().filter(|it| it.is_asking) {
            let detail = "The deadline passed while the request was queued.";
            actions.push(answer(over.ticket, refused(ProblemKind::DeadlinePassed, detail)));
        }
        owned.queues.remove_where(|it| now.since(it.asked_at) > start_by);
        for waiting in owned.queues.waiting_mut() {
            if waiting.is_asking && now.since(waiting.asked_at) >= self.bounds.ask_timeout {
                waiting.is_asking = false;
                actions.push(answer(waiting.ticket.clone(), Answer::Queued));
            }
        }
    }
}
