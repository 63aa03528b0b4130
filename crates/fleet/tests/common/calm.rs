//! Hosts, drains and health of the simulated workers, and stretches without faults: see `any_cancel`.

use std::sync::Arc;

use fuchsiamill_fleet::{
    HostInfo, HostListing, HostState, JobSpec, Name, TaskId,
    coordinator::{DutyReply, HostDuty},
    worker::Wave,
};
use fuchsiamill_model::units::Millisecond;

use super::{calls::InFlight, host, sim_worker::worker_name, world::World};

/// Time without faults within which the runs of a cancelled job have ended: the least time that a site allows.
const CANCEL_MS: Millisecond = 3_400;

const ROUND_MS: Millisecond = 100;

/// Rounds between two polls of a worker that has runs, and of one that left a poll unanswered.
const POLL_ROUNDS: u64 = 10;
const SILENT_POLL_ROUNDS: u64 = 2;

impl World {
    /// Sets whether a worker drains, and passes its list entry to the coordinator.
    pub fn drain(&mut self, pick: usize) {
        let id = worker_name(pick % self.workers.len());
        if !self.draining.remove(&id) {
            self.draining.insert(id);
        }
        self.list(pick);
    }

    /// Reports a health that need not be that of the worker.
    pub fn report_health(&mut self, pick: usize, is_healthy: bool) {
        let id = worker_name(pick % self.workers.len());
        let born = self.workers[&id].born;
        self.coordinator.worker_health_reported(&id, born, is_healthy, self.now);
    }

    /// Lets a long-running task pause its work, or go on with it.
    pub fn pause_work(&mut self, pick: usize) {
        let running = self.workers.values().flat_map(|it| it.running.keys());
        let running: Vec<TaskId> = running.cloned().collect();
        let Some(task) = running.get(pick % running.len().max(1)) else { return };
        if !self.paused.remove(task) {
            self.paused.insert(task.clone());
        }
    }

    /// Passes the list of hosts, one for each worker, to the coordinator.
    pub fn list_hosts(&mut self) {
        let hosts = self.workers.iter().map(|(id, sim)| {
            let state = if sim.is_up { HostState::Up } else { HostState::Maintenance };
            let on = sim.is_up.then_some(&**id);
            HostInfo { state, ..host(&format!("host-{id}"), "web", on) }
        });
        let hosts = hosts.collect();
        self.coordinator.hosts_listed(&HostListing { hosts, is_whole: true, asked: self.now });
    }

    /// Requests maintenance of all hosts.
    pub fn request_wave(&mut self, number: u64) {
        let hosts = self.workers.keys().map(|it| format!("host-{it}").into()).collect();
        let wave = Wave { number, hosts, within_ms: 20_000, at_once: 1 };
        self.coordinator.waves_requested(&[wave], &Default::default(), self.now);
    }

    /// Answers an order to a host as the script said last.
    pub(super) fn answer_duty(&mut self, host: &Name, duty: &HostDuty) {
        let number = self.workers.keys().position(|it| format!("host-{it}") == **host);
        let reply = match duty {
            HostDuty::Move { .. } => DutyReply::Refused,
            HostDuty::Maintain { .. } => self.duty_reply,
        };
        if reply == DutyReply::Done
            && let Some(number) = number
            && self.workers[&worker_name(number)].is_up
        {
            self.crash(number, false);
        }
        self.coordinator.host_answered(host, duty, reply, self.now);
    }

    /// Adds a job whose cancellation is read before its row.
    pub fn add_cancelled(&mut self, id: &str, spec: JobSpec) {
        self.specs.insert(id.into(), Arc::new(JobSpec { accepted: self.wall(), ..spec }));
        self.cancelled.insert(id.into(), false);
        self.read_cancellations();
    }

    /// Passes the row of a job to the coordinator, which may know it.
    pub fn read_job(&mut self, pick: usize) {
        let Some((id, spec)) = self.specs.iter().nth(pick % self.specs.len()) else { return };
        self.coordinator.accept(id.clone(), spec.clone(), None, self.now, self.wall());
    }

    /// Simulates a stretch in which everything answers; starts that were sent before are carried out within it. A worker
    /// that has no runs is not polled. Afterwards no run of a job is at work whose cancellation was told before.
    pub fn calm(&mut self, late_rounds: u64) {
        for number in 0..self.workers.len() {
            if !self.workers[&worker_name(number)].is_up {
                self.crash(number, false);
            }
            if !self.workers[&worker_name(number)].is_listed {
                self.list(number);
            }
        }
        self.read_cancellations();
        let begun = self.now;
        for round in 0..late_rounds + CANCEL_MS / ROUND_MS {
            self.decide();
            self.store();
            let is_held = |it: &InFlight| round < late_rounds && it.is_start() && it.sent < begun;
            // A stop of a worker that is down is sent again.
            for _ in 0..self.in_flight.len() {
                let next = self.in_flight.iter().position(|it| !is_held(it));
                next.into_iter().for_each(|it| self.deliver(it, true));
            }
            for number in 0..self.workers.len() {
                self.poll_as_needed(number, round);
            }
            self.pass(ROUND_MS);
        }
        for (id, sim) in &self.workers {
            let needless = sim.running.iter().find(|it| self.cancelled.contains_key(&it.0.job));
            let Some((task, run)) = needless else { continue };
            let what = format!("{task:?}, run {run}, of a cancelled job goes on on {id}");
            self.violation.get_or_insert(what);
        }
    }

    fn poll_as_needed(&mut self, number: usize, round: u64) {
        let id = worker_name(number);
        let Some(link) = self.links.get(&id) else { return };
        let pause = match link.is_silent() {
            true => SILENT_POLL_ROUNDS,
            false if link.has_no_clock() => 1,
            false if self.coordinator.has_runs(&id) => POLL_ROUNDS,
            false => return,
        };
        if round.is_multiple_of(pause) {
            self.poll(number, true, true);
        }
    }
}
