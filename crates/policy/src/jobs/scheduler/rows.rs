//! Applies what became of rows: read, written, rejected, changed by another writer, or deleted.

use fuchsiamill_model::JobId;

use super::{Scheduler, Start, Throttle, running_of};
use crate::jobs::row::{JobRow, Stage};

impl Scheduler {
    /// Applies a row that was read, unless it is older than the known one or a change of the job is being written.
    pub(super) fn put(&mut self, row: JobRow, version: u64) {
        let job = row.core.id.clone();
        if self.ended_in_read.contains(&job) {
            return;
        }
        match self.entries.get(&job) {
            Some(entry) if entry.pending.is_some() || entry.version >= version => (),
            Some(_) => self.replace(row, version),
            None => self.insert(row, version),
        }
    }

    /// Removes a job whose row is gone, unless a change of it is being written.
    pub(super) fn drop_job(&mut self, job: &JobId) {
        if !self.is_pending(job) {
            self.remove(job);
        }
    }

    /// Applies the proposed row, which was written and has this version.
    pub fn committed(&mut self, job: &JobId, version: u64) {
        let Some(entry) = self.entries.get_mut(job) else { return };
        let Some(row) = entry.pending.take() else { return };
        let before = entry.row.clone();
        self.release_if_run_ended(job, &before, &row);
        if matches!(row.stage, Stage::Ended(_)) {
            self.ended_in_read.insert(job.clone());
            self.remove(job);
            return;
        }
        if matches!(row.stage, Stage::Waiting(_)) {
            self.queue.push(&row.core.team, job.clone());
        }
        let Some(entry) = self.entries.get_mut(job) else { return };
        entry.row = row;
        entry.version = version;
        entry.start = Start::NotSent;
        entry.usage = None;
        entry.throttle = Throttle::No;
    }

    /// Discards the proposed row. The write never took effect and never will, because a row that it is conditional on
    /// has a newer version.
    ///
    /// The caller is to read the job's row again. A write whose outcome is not known stays pending instead.
    pub fn rejected(&mut self, job: &JobId) {
        let Some(entry) = self.entries.get_mut(job) else { return };
        let Some(row) = entry.pending.take() else { return };
        let was_running = running_of(&entry.row).is_some();
        let team = entry.row.core.team.clone();
        if let (false, Some(run)) = (was_running, running_of(&row)) {
            self.remove_placement(job, &team, run);
        }
        if !was_running {
            self.queue.push(&team, job.clone());
        }
    }

    /// Discards the proposed row because another writer changed the job's row, or deleted it (`now` is `None`).
    pub fn overtaken(&mut self, job: &JobId, now: Option<(JobRow, u64)>) {
        self.rejected(job);
        match now {
            Some((row, version)) => self.put(row, version),
            None => {
                self.ended_in_read.insert(job.clone());
                self.remove(job);
            }
        }
    }
}
