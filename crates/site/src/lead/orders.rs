//! Executes the coordinator's orders.

use fuchsiamill_fleet::{
    Name, Order, WorkerInfo,
    coordinator::{HostDuty, StartReply, StepKey},
};

use super::{
    advice,
    event::Event,
    hosts,
    leader::Leader,
    links::{Link, StartOrder},
};

impl Leader {
    pub(super) fn execute_orders(&mut self) {
        for order in self.coordinator.take_orders() {
            self.execute(order);
        }
        let now = self.cx.clock.now();
        let own_room = self.link_context.lateness.borrow_mut().start_room(now);
        let sent = self.start_queue.flush(own_room);
        self.takeover_log.note_sent(sent, now);
    }

    fn execute(&mut self, order: Order) {
        self.count_order(&order);
        match order {
            Order::Watch { worker } => self.open_link(worker),
            Order::Host { host, duty } => self.send_host_order(host, duty),
            Order::Look { worker } => {
                if let Some(link) = self.links.get(&worker) {
                    link.look();
                }
            }
            Order::Advise { step, workers } => self.ask_advice(step, workers),
            Order::AskHealth { worker, path } => {
                if self.link_context.lateness.borrow().is_late() {
                    return;
                }
                let Some(link) = self.links.get(&worker) else { return };
                monoio::spawn(link.clone().ask_health(path));
            }
            Order::Start { worker, task, run, payload, checkpoint, ticket } => {
                let start = StartOrder { task, run, payload, checkpoint, ticket };
                self.start_run(&worker, start);
            }
            Order::Stop { worker, task, run } => {
                let Some(link) = self.links.get(&worker) else {
                    tracing::warn!(event = "stop-not-sent", %task, run, %worker, cause = "no link");
                    return self.coordinator.stop_failed(&task, run);
                };
                tracing::info!(event = "task-stopped", %task, run, %worker);
                monoio::spawn(link.clone().stop(task, run));
            }
            Order::Pace { worker, task, run, percent } => {
                let Some(link) = self.links.get(&worker) else {
                    tracing::warn!(event = "pace-not-sent", %task, run, %worker, cause = "no link");
                    return self.coordinator.pace_failed(&task, run);
                };
                tracing::info!(event = "task-paced", %task, run, %worker, percent);
                monoio::spawn(link.clone().pace(task, run, percent));
            }
            Order::Acknowledge { worker, born, upto } => {
                if let Some(link) = self.links.get(&worker).filter(|it| it.worker.born == born) {
                    tracing::debug!(event = "ends-acknowledged", %worker, born, upto);
                    link.acknowledge(upto);
                }
            }
        }
    }

    /// Queues a start. One whose worker has no link is given back, and the worker gets a link.
    fn start_run(&mut self, worker: &Name, start: StartOrder) {
        let (task, run) = (&start.task, start.run);
        let Some(link) = self.links.get(worker).cloned() else {
            tracing::warn!(event = "start-not-sent", %task, run, %worker, cause = "no link");
            let now = self.cx.clock.now();
            self.coordinator.start_answered(task, run, StartReply::NotSent, now);
            if let Some(known) = self.coordinator.workers().get(worker) {
                self.open_link(known.seen.clone());
            }
            return;
        };
        let job = self.coordinator.job(&task.job);
        let step = job.and_then(|it| it.spec.steps.get(task.step as usize));
        // Lines are limited by their place in the code: first starts of short tasks must not push out the others.
        let long_running = step.is_some_and(|it| it.long_running);
        match run == 1 && !long_running {
            true => tracing::info!(event = "task-started", %task, run, %worker),
            false => tracing::info!(event = "task-started", %task, run, %worker, long_running),
        }
        let accepted_by = job.map(|it| it.spec.accepted_by.clone()).unwrap_or_default();
        self.start_queue.start(&accepted_by, &link, start);
        // A start is released by the commit of its record, before the next transaction begins.
        self.takeover_log.note_recorded(self.last_commit_begin, self.last_commit);
    }

    fn count_order(&self, order: &Order) {
        let kind = match order {
            Order::Start { .. } => "start",
            Order::Stop { .. } => "stop",
            Order::Pace { .. } => "pace",
            Order::Advise { .. } => "advise",
            Order::Host { duty: HostDuty::Move { .. }, .. } => "move",
            Order::Host { duty: HostDuty::Maintain { .. }, .. } => "maintain",
            Order::AskHealth { .. } => "ask-health",
            Order::Watch { .. } | Order::Look { .. } | Order::Acknowledge { .. } => return,
        };
        self.cx.metrics.ordered(kind);
    }

    fn ask_advice(&mut self, step: StepKey, workers: Vec<Name>) {
        let Some(advice) = self.cx.advice.clone() else {
            tracing::warn!(event = "advice-failed", job = %step.job, error = "no advice service is set");
            return self.coordinator.advice_answered(&step, &workers, None);
        };
        let (event_sender, clock) = (self.event_sender.clone(), self.cx.clock);
        monoio::spawn(async move {
            let permits = advice::ask(&advice, &step, &workers, clock).await;
            event_sender.send(Event::Advised(step, workers, permits));
        });
    }

    fn send_host_order(&mut self, host: Name, duty: HostDuty) {
        let Some(hosts) = self.cx.hosts.clone() else { return };
        tracing::info!(event = "host-ordered", %host, duty = ?duty);
        let (event_sender, fence) = (self.event_sender.clone(), self.link_context.fence);
        monoio::spawn(async move {
            let event = hosts::order(&hosts, host, duty, fence).await;
            event_sender.send(Event::Host(event));
        });
    }

    fn open_link(&mut self, worker: WorkerInfo) {
        if let Some(link) = self.links.get(&worker.id) {
            // Each start is checked against the data centre that the link knows.
            let key = |it: &WorkerInfo| (it.born, it.addr, it.data_centre.clone());
            if key(&link.worker) == key(&worker) {
                return;
            }
            link.close();
        }
        let id = worker.id.clone();
        self.links.insert(id, Link::open(worker, self.link_context.clone()));
    }

    /// Closes the link of a worker that the coordinator has forgotten. If the worker is listed again at once, it
    /// needs a new link that polls it: an idle old link would not report that the worker answers.
    pub(super) fn close_link_if_unknown(&mut self, id: &Name) {
        if !self.coordinator.workers().contains_key(id)
            && let Some(link) = self.links.remove(id)
        {
            link.close();
        }
    }

    /// Closes the links of workers that the coordinator no longer knows.
    pub(super) fn close_unknown_links(&mut self) {
        let workers = self.coordinator.workers();
        self.links.retain(|id, link| {
            let is_known = workers.contains_key(id);
            if !is_known {
                link.close();
            }
            is_known
        });
    }
}
