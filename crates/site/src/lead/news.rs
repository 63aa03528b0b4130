//! Applies news of the tables, the workers and the hosts to the coordinator.

use fuchsiamill_fleet::{
    Ending, Name, WorkerReport,
    coordinator::{HeldRuns, RunToEnd},
};
use fuchsiamill_model::{
    FastSet,
    units::{Millisecond, Moment},
};
use fuchsiamill_platform::Row;

use super::{
    event::LinkEvent,
    feeds::FeedEvent,
    hosts::HostEvent,
    leader::Leader,
    load::{apply_job, apply_worker},
};

/// A run that has to end is overdue after this time in one phase. Runs normally end within a second of their stop.
const OVERDUE_MS: Millisecond = 2_000;

impl Leader {
    pub(super) fn apply_jobs(&mut self, event: FeedEvent) {
        match event {
            FeedEvent::Rows(rows) | FeedEvent::Whole(rows) => {
                for row in rows.iter().filter(|it| !self.deleted_rows.is_deleted(it)) {
                    apply_job(&mut self.coordinator, row, &[], &self.cx);
                }
            }
            FeedEvent::Known(asked) => {
                self.deleted_rows.table_known(asked);
                let known = &self.link_context.jobs_known;
                known.set(known.get().max(asked));
            }
        }
    }

    pub(super) fn apply_workers(&mut self, event: FeedEvent) {
        match event {
            FeedEvent::Rows(rows) => self.apply_worker_rows(&rows),
            FeedEvent::Whole(rows) => {
                let listed: FastSet<&Name> = rows.iter().map(|it| &it.key.key).collect();
                let known: Vec<Name> = self.coordinator.workers().keys().cloned().collect();
                for id in known.iter().filter(|it| !listed.contains(it)) {
                    self.coordinator.worker_unlisted(id);
                    self.close_link_if_unknown(id);
                }
                self.unreadable_workers.retain(&listed);
                self.apply_worker_rows(&rows);
            }
            FeedEvent::Known(_) => {}
        }
    }

    fn apply_worker_rows(&mut self, rows: &[Row]) {
        for row in rows {
            apply_worker(&mut self.coordinator, &mut self.unreadable_workers, row, &self.cx);
            self.close_link_if_unknown(&row.key.key);
        }
    }

    pub(super) fn apply_link(&mut self, event: LinkEvent) {
        let now = self.cx.clock.now();
        match event {
            LinkEvent::Reported(id, report) => {
                self.takeover_log.note_polled(now);
                self.log_ends(&id, &report);
                self.coordinator.worker_reported(&id, report, now);
                self.log_overdue(&id, now);
                if let Some(link) = self.links.get(&id) {
                    link.set_busy(self.coordinator.has_runs(&id));
                }
            }
            LinkEvent::Unanswered(id) => self.coordinator.poll_unanswered(&id, now),
            LinkEvent::Silent(id, renewed) => {
                if self.coordinator.worker_silent(&id, renewed) {
                    self.cx.metrics.worker_event("silent");
                    let ago_ms = now.since(renewed);
                    tracing::info!(event = "worker-silent", worker = %id, renewed_ago_ms = ago_ms);
                    self.log_held(&id, now);
                }
            }
            LinkEvent::Dead(id, born) => {
                if self.coordinator.worker_dead(&id, born, now) {
                    self.cx.metrics.worker_event("over");
                    tracing::info!(event = "worker-over", worker = %id, born);
                }
            }
            LinkEvent::HealthReported(id, born, is_healthy) => {
                if self.coordinator.worker_health_reported(&id, born, is_healthy, now) {
                    self.cx.metrics.worker_event("sick");
                    tracing::info!(event = "worker-sick", worker = %id, born);
                }
            }
            LinkEvent::Started(task, run, answer) => {
                tracing::debug!(event = "start-answered", %task, run, answer = ?answer);
                self.coordinator.start_answered(&task, run, answer, now);
            }
            LinkEvent::Stopped(task, run) => self.coordinator.stop_answered(&task, run, now),
            LinkEvent::StopFailed(task, run) => self.coordinator.stop_failed(&task, run),
            LinkEvent::PaceFailed(task, run) => self.coordinator.pace_failed(&task, run),
            LinkEvent::Fenced(_) => {}
        }
    }

    /// Logs the ends of runs that are new. A worker lists each end until it is told that the end was recorded.
    fn log_ends(&self, id: &Name, report: &WorkerReport) {
        let known = self.coordinator.workers().get(id);
        let taken = known.filter(|it| it.seen.born == report.born).map_or(0, |it| it.last_end);
        for end in report.ended.iter().filter(|it| it.number > taken) {
            let (task, run, ending) = (&end.task, end.run, end.ending);
            if self.coordinator.job(&task.job).is_none() {
                tracing::info!(event = "end-without-job", %task, run, worker = %id, number = end.number);
            }
            // As with starts, the many ends of tasks that are done at once must not push out the others.
            match ending == Ending::Done && run == 1 {
                true => {
                    tracing::info!(event = "task-ended", %task, run, worker = %id, ending = "Done")
                }
                false => {
                    tracing::info!(event = "task-ended", %task, run, worker = %id, ending = ?ending)
                }
            }
        }
    }

    /// Logs the runs on workers that are known from the records of these only, as a takeover finds them.
    pub(super) fn log_inherited_holds(&self, now: Moment) {
        let unlisted = self.coordinator.workers().iter().filter(|it| it.1.unlisted);
        unlisted.for_each(|(id, _)| self.log_held(id, now));
    }

    /// Logs until when runs on a worker that does not answer keep their tasks from being started elsewhere.
    fn log_held(&self, id: &Name, now: Moment) {
        let Some(held) = self.coordinator.held_runs(id) else { return };
        let HeldRuns { runs, long_running, until } = held;
        let ms = until.since(now);
        tracing::info!(event = "runs-held", worker = %id, runs, long_running, held_for_ms = ms);
    }

    /// Logs runs that should have ended long ago and are still listed.
    fn log_overdue(&self, id: &Name, now: Moment) {
        let overdue = self.coordinator.runs_to_end_on(id, now);
        for it in overdue.into_iter().filter(|it| it.age_ms >= OVERDUE_MS) {
            let RunToEnd { task, run, stage, phase, age_ms } = it;
            let stage = stage.as_str();
            tracing::warn!(event = "run-overdue", %task, run, worker = %id, stage, phase = ?phase, age_ms);
        }
    }

    pub(super) fn apply_host(&mut self, event: HostEvent) {
        let now = self.cx.clock.now();
        match event {
            HostEvent::Listed(listing) => {
                for worker in self.coordinator.hosts_listed(&listing) {
                    self.cx.metrics.worker_event("over");
                    tracing::info!(event = "worker-over", %worker, cause = "no host has it");
                }
            }
            HostEvent::NotListed => self.coordinator.host_list_failed(),
            HostEvent::Answered(host, duty, reply) => {
                tracing::info!(event = "host-answered", %host, duty = ?duty, reply = ?reply);
                self.coordinator.host_answered(&host, &duty, reply, now);
            }
        }
    }
}
