//! Carries the coordinator's orders out.

use fuchsiamill_fleet::{
    Name, Order, WorkerSeen,
    coordinator::{HostDuty, StepKey},
};

use super::{
    advice,
    event::Event,
    hosts,
    leader::Leader,
    links::{Link, StartOrder},
};

impl Leader {
    pub(super) fn carry_out(&mut self) {
        for order in self.coordinator.take_orders() {
            self.carry(order);
        }
    }

    fn carry(&mut self, order: Order) {
        self.count(&order);
        match order {
            Order::Watch { worker } => self.watch(worker),
            Order::Host { host, duty } => self.order_host(host, duty),
            Order::Advise { step, workers } => self.ask_advice(step, workers),
            Order::AskHealth { worker, path } => {
                let Some(link) = self.links.get(&worker) else { return };
                monoio::spawn(link.clone().ask_health(path));
            }
            Order::Start { worker, task, run, payload, saved, ticket } => {
                let Some(link) = self.links.get(&worker) else { return };
                tracing::info!(event = "task-started", %task, run, %worker);
                let start = StartOrder { task, run, payload, saved, ticket };
                monoio::spawn(link.clone().start(start));
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
                let Some(link) = self.links.get(&worker) else { return };
                tracing::info!(event = "task-paced", %task, run, %worker, percent);
                monoio::spawn(link.clone().pace(task, run, percent));
            }
            Order::Acknowledge { worker, born, upto } => {
                if let Some(link) = self.links.get(&worker).filter(|it| it.worker.born == born) {
                    link.acknowledge(upto);
                }
            }
        }
    }

    fn count(&self, order: &Order) {
        let kind = match order {
            Order::Start { .. } => "start",
            Order::Stop { .. } => "stop",
            Order::Pace { .. } => "pace",
            Order::Advise { .. } => "advise",
            Order::Host { duty: HostDuty::Move { .. }, .. } => "move",
            Order::Host { duty: HostDuty::Maintain { .. }, .. } => "maintain",
            Order::AskHealth { .. } => "ask-health",
            Order::Watch { .. } | Order::Acknowledge { .. } => return,
        };
        self.cx.metrics.ordered(kind);
    }

    fn ask_advice(&mut self, step: StepKey, workers: Vec<Name>) {
        let Some(advice) = self.cx.advice.clone() else { return };
        let (teller, clock) = (self.teller.clone(), self.cx.clock);
        monoio::spawn(async move {
            let permits = advice::ask(&advice, &step, &workers, clock).await;
            teller.tell(Event::Advised(step, workers, permits));
        });
    }

    fn order_host(&mut self, host: Name, duty: HostDuty) {
        let Some(hosts) = self.cx.hosts.clone() else { return };
        tracing::info!(event = "host-ordered", %host, duty = ?duty);
        let (teller, fence) = (self.teller.clone(), self.link_terms.fence);
        monoio::spawn(async move {
            let event = hosts::order(&hosts, host, duty, fence).await;
            teller.tell(Event::Host(event));
        });
    }

    fn watch(&mut self, worker: WorkerSeen) {
        if let Some(link) = self.links.get(&worker.id) {
            if link.worker.born == worker.born && link.worker.addr == worker.addr {
                return;
            }
            link.close();
        }
        let id = worker.id.clone();
        self.links.insert(id, Link::open(worker, self.link_terms.clone()));
    }

    /// Ends the link of a worker that was forgotten. One that is listed again at once needs a link that looks at it: a
    /// link at rest would not tell that it answers.
    pub(super) fn close_link_of_unknown(&mut self, id: &Name) {
        if !self.coordinator.workers().contains_key(id)
            && let Some(link) = self.links.remove(id)
        {
            link.close();
        }
    }

    /// Ends the links of workers that are no longer known.
    pub(super) fn close_links(&mut self) {
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
