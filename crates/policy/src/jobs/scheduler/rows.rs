//! Rows as they are read, written, overtaken or gone.

use fuchsiamill_model::JobId;

use super::{Scheduler, Seen, Throttle, running_of};
use crate::jobs::row::{JobRow, Stage};

impl Scheduler {
    /// Puts in a row, unless it is older than what is known or is being written.
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

    /// Drops a job whose row is gone.
    pub(super) fn drop_job(&mut self, job: &JobId) {
        if !self.is_pending(job) {
            self.remove(job);
        }
    }

    /// The proposed row was written and has this version.
    pub fn committed(&mut self, job: &JobId, version: u64) {
        let Some(entry) = self.entries.get_mut(job) else { return };
        let Some(row) = entry.pending.take() else { return };
        let before = entry.row.clone();
        self.release_if_held(job, &before, &row);
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
        entry.seen = Seen::NotSent;
        entry.usage = None;
        entry.throttle = Throttle::No;
    }

    /// The proposed row was not written and never will be: a row that it is conditional on has a newer version.
    ///
    /// The job's row is to be read again. A write whose fate is not known stays pending.
    pub fn rejected(&mut self, job: &JobId) {
        let Some(entry) = self.entries.get_mut(job) else { return };
        let Some(row) = entry.pending.take() else { return };
        let was_running = running_of(&entry.row).is_some();
        let team = entry.row.core.team.clone();
        if let (false, Some(run)) = (was_running, running_of(&row)) {
            self.unhold(job, &team, run);
        }
        if !was_running {
            self.queue.push(&team, job.clone());
        }
    }

    /// The proposed row was overtaken by someone else's write, or by the deletion of the row.
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
