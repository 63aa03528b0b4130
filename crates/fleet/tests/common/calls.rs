//! Orders and looks on their way: see `world`.

use fuchsiamill_fleet::{
    Name, Order, TaskId, WorkerInfo, WorkerReport,
    coordinator::{Refusal, StartReply},
};
use fuchsiamill_model::units::{Millisecond, Moment};

use super::{
    seen,
    work::name_of,
    world::{Lives, World},
};

/// How long a stop is tried: three times, with 400 ms for an answer and pauses of 200 ms.
const STOP_MS: Millisecond = 1_800;

/// The most that a worker's clock is slow, in per cent.
const DRIFT_PERCENT: u64 = 2;

/// The longest lease that a worker gives. A life whose clock began anew shortens the deadline of an older one to it.
const LEASE_MOST_MS: Millisecond = 10_000;

/// What the coordinator's side of a connection knows.
pub struct Link {
    /// The life in whose list entry it was opened.
    born: u64,
    is_silent: bool,
    /// The last moment at which a call may have put the worker's deadline off.
    renewed: Moment,
    /// The life whose clock was read last; without a clock nothing is started.
    clock_of: Option<u64>,
}

/// An order on its way.
#[derive(Clone)]
pub struct Flight {
    worker: Name,
    order: Order,
    fence: u64,
    pub sent: Moment,
    /// The life whose clock the deadline is told on.
    clock_of: u64,
    /// Until when the worker takes it, and what it starts may run.
    deadline: Moment,
    /// Whether it is sent until it is answered, and its answer is waited for.
    pub is_carried: bool,
}

impl Flight {
    pub fn is_stop(&self) -> bool {
        matches!(self.order, Order::Stop { .. })
    }

    pub fn is_start(&self) -> bool {
        matches!(self.order, Order::Start { .. })
    }

    pub fn is_to(&self, worker: &Name) -> bool {
        self.worker == *worker
    }
}

impl World {
    pub(super) fn carry_orders(&mut self) {
        for order in self.coordinator.take_orders() {
            self.send(order);
        }
    }

    fn send(&mut self, order: Order) {
        let (now, lease_end) = (self.now, self.lease_end(self.timing.lease_ms));
        self.note(|| format!("ordered: {order:?}"));
        let worker = match &order {
            Order::Watch { worker } => return self.watch(worker),
            Order::Advise { step, workers } => {
                return self.policy.ask(step.clone(), workers.clone(), now);
            }
            Order::Start { worker, task, run, ticket, .. } => {
                self.check_start(task);
                self.check_ticket(task, worker, ticket);
                // Nobody tells of an order without a link.
                let Some(link) = self.links.get_mut(worker) else { return };
                if link.is_silent || link.clock_of.is_none() {
                    return self.coordinator.start_answered(task, *run, StartReply::NotSent, now);
                }
                link.renewed = now;
                worker.clone()
            }
            Order::Stop { worker, .. } | Order::Acknowledge { worker, .. } => worker.clone(),
            _ => return,
        };
        let Some(link) = self.links.get(&worker) else { return };
        let clock_of = link.clock_of.unwrap_or(link.born);
        let (fence, deadline, sent) = (self.fence, lease_end, now);
        let is_carried = !matches!(order, Order::Start { .. });
        self.flights.push(Flight { worker, order, fence, sent, clock_of, deadline, is_carried });
    }

    fn check_start(&mut self, task: &TaskId) {
        let is_over = self.stored.get(&task.job).is_some_and(|it| it.stage.is_over());
        if is_over || self.cancelled.get(&task.job) == Some(&true) {
            self.fail(format!("{task:?} is started though its job is over"));
        }
    }

    /// Opens a link; one to an earlier entry is closed, and the stops that it carries with it.
    fn watch(&mut self, seen: &WorkerInfo) {
        let link = self.links.get(&seen.id);
        if link.is_some_and(|it| it.born == seen.born) {
            return;
        }
        self.give_up_stops(|it| it.is_to(&seen.id));
        let link = Link { born: seen.born, is_silent: false, renewed: self.now, clock_of: None };
        self.links.insert(seen.id.clone(), link);
    }

    /// Workers that are not known any more are not looked at.
    pub(super) fn close_links(&mut self) {
        let known = self.coordinator.workers();
        let closed: Vec<Name> =
            self.links.keys().filter(|it| !known.contains_key(*it)).cloned().collect();
        self.links.retain(|it, _| !closed.contains(it));
        self.give_up_stops(|it| closed.contains(&it.worker));
    }

    /// Stops that were tried for long enough.
    pub(super) fn give_up_old_stops(&mut self) {
        let now = self.now;
        self.give_up_stops(|it| now.since(it.sent) > STOP_MS);
    }

    /// Stops that nobody repeats any more, as the coordinator is told: what was sent may still arrive.
    fn give_up_stops(&mut self, is_given_up: impl Fn(&Flight) -> bool) {
        let stops = self.flights.iter_mut().filter(|it| it.is_carried && is_given_up(it));
        for flight in stops {
            if let Order::Stop { task, run, .. } = &flight.order {
                flight.is_carried = false;
                self.coordinator.stop_failed(task, *run);
            }
        }
    }

    /// The links of a coordinator end with it.
    pub(super) fn drop_stops(&mut self) {
        let stops = self.flights.iter_mut().filter(|it| it.is_stop());
        stops.for_each(|it| it.is_carried = false);
    }

    /// An order arrives; its answer may get lost. Without an answer it is carried out nevertheless.
    pub fn deliver(&mut self, pick: usize, is_answered: bool) {
        if self.flights.is_empty() {
            return;
        }
        let flight = self.flights.remove(pick % self.flights.len());
        let is_current = flight.fence == self.fence;
        self.note(|| format!("arrives, answered {is_answered}: {:?}", flight.order));
        match &flight.order {
            Order::Start { task, run, .. } => {
                let answer = self.carry_out(&flight, task, *run);
                let answer = if is_answered { answer } else { StartReply::Unknown };
                if is_current {
                    self.coordinator.start_answered(task, *run, answer, self.now);
                }
            }
            Order::Stop { .. } => self.deliver_stop(flight, is_answered && is_current),
            Order::Acknowledge { born, upto, .. } => {
                if let Some(work) = self.works.get_mut(&flight.worker)
                    && work.born == *born
                {
                    work.ended.retain(|it| it.number > *upto);
                }
            }
            _ => {}
        }
        self.check();
    }

    fn deliver_stop(&mut self, flight: Flight, is_answered: bool) {
        let Order::Stop { task, run, .. } = &flight.order else { return };
        let stopped = self.works.get_mut(&flight.worker).is_some_and(|it| {
            it.is_up && it.fence <= flight.fence && it.stop(task, *run, flight.fence)
        });
        if stopped && is_answered && flight.is_carried {
            self.coordinator.stop_answered(task, *run, self.now);
        } else if flight.is_carried {
            // A stop is sent until it is confirmed.
            self.flights.push(flight);
        }
    }

    /// An order stays on its way, and the coordinator hears that it was not answered.
    pub fn leave_unanswered(&mut self, pick: usize) {
        let pick = pick % self.flights.len().max(1);
        let Some(flight) = self.flights.get(pick) else { return };
        if let Order::Start { task, run, .. } = &flight.order
            && flight.fence == self.fence
        {
            self.coordinator.start_answered(task, *run, StartReply::Unknown, self.now);
        }
    }

    /// An order to start is not answered and sent once more; the first may still arrive.
    pub fn repeat(&mut self, pick: usize) {
        let pick = pick % self.flights.len().max(1);
        let Some(flight) = self.flights.get(pick).cloned() else { return };
        if let Order::Start { task, run, .. } = &flight.order
            && flight.fence == self.fence
        {
            let answer = self.carry_out(&flight, task, *run).after(StartReply::Unknown);
            self.coordinator.start_answered(task, *run, answer, self.now);
        }
        self.check();
    }

    /// An order without an answer never arrives.
    pub fn lose(&mut self, pick: usize) {
        let pick = pick % self.flights.len().max(1);
        if self.flights.get(pick).is_some_and(|it| it.is_stop() && !it.is_carried) {
            self.flights.remove(pick);
        }
    }

    fn carry_out(&mut self, flight: &Flight, task: &TaskId, run: u32) -> StartReply {
        let (lives, shortened) = (self.lives, self.lease_end(LEASE_MOST_MS));
        let Some(work) = self.works.get_mut(&flight.worker).filter(|it| it.is_up) else {
            return StartReply::Unknown;
        };
        let deadline = match lives {
            _ if work.born == flight.clock_of => flight.deadline,
            Lives::Apart => return StartReply::Unknown,
            // A clock that began anew lies far behind.
            Lives::OneName => shortened,
        };
        let is_new = work.fence <= flight.fence && work.running.get(task) != Some(&run);
        if let Order::Start { ticket, .. } = &flight.order
            && is_new
            && self.specs[&task.job].route.advised
            && !self.policy.admits(ticket, &task.into(), (&flight.worker, work.born), self.now)
        {
            return StartReply::Refused(Refusal::Ticket);
        }
        let answer = work.start((task, run), flight.fence, deadline, self.now);
        if is_new && answer == StartReply::Running {
            self.check_order(task);
        }
        answer
    }

    fn lease_end(&self, lease: Millisecond) -> Moment {
        self.now + lease + lease * DRIFT_PERCENT / 100
    }

    /// A worker is looked at; the look, or its answer, may get lost.
    pub fn look(&mut self, pick: usize, is_answered: bool, arrives: bool) {
        let id = name_of(pick % self.works.len());
        let (now, fence) = (self.now, self.fence);
        let lease_end = self.lease_end(self.timing.lease_ms);
        let shortened = self.lease_end(LEASE_MOST_MS);
        let work = self.works.get_mut(&id).expect("a worker");
        let Some(link) = self.links.get_mut(&id) else { return };
        if let Some(story) = &mut self.story {
            let running = &work.running;
            story.push(format!("       look at {id}, {arrives}, {is_answered}: {running:?}"));
        }
        if !work.is_up {
            link.clock_of = None;
            self.coordinator.worker_dead(&id, link.born, now);
            return;
        }
        // A silent worker is looked at without putting its deadline off.
        let renews = !link.is_silent && link.clock_of.is_some();
        if renews {
            link.renewed = now;
        }
        if arrives {
            work.fence = fence;
            if renews && link.clock_of == Some(work.born) {
                work.deadline = work.deadline.max(lease_end);
            } else if renews && self.lives == Lives::OneName {
                work.deadline = work.deadline.max(shortened);
            }
        }
        link.is_silent = !(arrives && is_answered);
        if link.is_silent {
            let renewed = link.renewed;
            self.coordinator.worker_silent(&id, renewed);
            return;
        }
        link.clock_of = Some(work.born);
        let report = WorkerReport {
            asked: now,
            born: work.born,
            ended: work.ended.clone(),
            running: work.running.iter().map(|(task, run)| seen(task, *run, 100)).collect(),
        };
        self.coordinator.worker_reported(&id, report, now);
    }

    /// A former coordinator that may be alive renews the leases of a worker that has not heard of the new one.
    pub fn ghost_look(&mut self, pick: usize) {
        let id = name_of(pick % self.works.len());
        let (now, fence) = (self.now, self.fence);
        let lease_end = self.lease_end(self.timing.lease_ms);
        let work = self.works.get_mut(&id).expect("a worker");
        if now <= self.ghost_until && work.is_up && work.fence < fence {
            work.deadline = work.deadline.max(lease_end);
        }
    }
}
