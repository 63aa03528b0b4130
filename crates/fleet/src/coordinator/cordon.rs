//! Hosts in data centres that an operator evacuates: they are cordoned, so that nothing more is started on them.
//!
//! Short tasks that run there finish. Long-running tasks leave like those on a host before its maintenance, but only where
//! there is room elsewhere.

use fuchsiamill_model::{FastSet, units::Moment};

use super::{Coordinator, Phase, pool_view::Views, pools::Move};
use crate::{Name, TaskId};

/// How the set of evacuated data centres has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CordonChange {
    /// Data centres whose workers were cordoned, with the number of these.
    pub begun: Vec<(Name, usize)>,
    /// Data centres whose workers take tasks again.
    pub ended: Vec<Name>,
    /// Starts that were placed there and withdrawn before they were sent.
    pub withdrawn: usize,
}

impl Coordinator {
    /// Cordons the hosts of these data centres, and no others. Starts that were placed there and not sent are withdrawn, so
    /// that their tasks are placed anew. Returns `None` if the same data centres were evacuated before.
    pub fn set_evacuated(
        &mut self,
        data_centres: &FastSet<Name>,
        now: Moment,
    ) -> Option<CordonChange> {
        if self.evacuated == *data_centres {
            return None;
        }
        let before = std::mem::replace(&mut self.evacuated, data_centres.clone());
        let cordoned_in = |it: &Name| {
            let is_there = |worker: &&super::Worker| worker.seen.data_centre == *it;
            self.workers.values().filter(is_there).count()
        };
        let begun = data_centres.difference(&before);
        let mut change = CordonChange {
            begun: begun.map(|it| (it.clone(), cordoned_in(it))).collect(),
            ended: before.difference(data_centres).cloned().collect(),
            withdrawn: 0,
        };
        change.begun.sort();
        change.ended.sort();
        let workers: Vec<Name> = self.workers.keys().cloned().collect();
        change.withdrawn = workers.iter().map(|it| self.update_cordon(it, now)).sum();
        self.stop_draining_cordoned();
        self.needs_placing = true;
        Some(change)
    }

    /// Cordons a worker if its data centre is evacuated, and only then. Returns how many starts were withdrawn.
    pub(super) fn update_cordon(&mut self, id: &Name, now: Moment) -> usize {
        let Some(worker) = self.workers.get_mut(id) else { return 0 };
        worker.cordoned = self.evacuated.contains(&worker.seen.data_centre);
        if worker.cordoned { self.withdraw_unsent(id, now) } else { 0 }
    }

    /// Gives up moves of cordoned hosts that still finish their tasks: the pools that they were to move to need others.
    fn stop_draining_cordoned(&mut self) {
        let mut hosts: Vec<Name> = self.draining_to.keys().cloned().collect();
        hosts.retain(|it| self.is_cordoned(it));
        for host in hosts {
            self.draining_to.remove(&host);
            self.update_reserved(&host);
        }
    }

    /// Returns the data centres that are evacuated.
    pub fn evacuated(&self) -> &FastSet<Name> {
        &self.evacuated
    }

    /// Returns whether a host is in a data centre that is evacuated.
    pub(super) fn is_cordoned(&self, host: &Name) -> bool {
        self.hosts.get(host).is_some_and(|it| self.evacuated.contains(&it.seen.data_centre))
    }

    /// Withdraws the starts on a worker that were not sent; returns their number.
    fn withdraw_unsent(&mut self, worker: &Name, now: Moment) -> usize {
        let unsent = self.live_on(worker).into_iter().filter(|it| it.1.phase == Phase::Recorded);
        let unsent: Vec<TaskId> = unsent.map(|it| it.0).collect();
        for task in &unsent {
            self.stop_gang_of_cordoned(task, worker, now);
            self.stop_run(task, now);
        }
        unsent.len()
    }

    /// Stops the other members of a gang of which one could not be started on a cordoned worker: they would wait for it in
    /// vain.
    pub(super) fn stop_gang_of_cordoned(&mut self, task: &TaskId, worker: &Name, now: Moment) {
        if self.workers.get(worker).is_some_and(|it| it.cordoned) {
            let members = self.members_of_gang(task).into_iter().filter(|it| it != task);
            members.for_each(|it| self.stop_run(&it, now));
        }
    }

    /// Returns the live tasks that work together with this one.
    fn members_of_gang(&self, task: &TaskId) -> Vec<TaskId> {
        if !self.step_of(task).is_some_and(|it| it.gang) {
            return Vec::new();
        }
        let Some(job) = self.jobs.get(&task.job) else { return Vec::new() };
        let is_member = |it: &TaskId| it.occurrence == task.occurrence && it.step == task.step;
        job.live_tasks().into_iter().map(|it| it.0).filter(is_member).collect()
    }

    /// Returns moves of idle cordoned hosts to the spare pool, where they cost nothing while they may not be used. Hosts of
    /// pools that get no others in their place stay: each would have to come back as the evacuation ends.
    pub(super) fn return_cordoned(&self, views: &Views, spare: &Name, now: Moment) -> Vec<Move> {
        if self.evacuated.is_empty() {
            return Vec::new();
        }
        let has_others =
            |pool: &Name| views.get(pool).is_some_and(|it| it.need.hosts >= it.need.in_time);
        let is_returned = |name: &&Name| {
            let pool = &self.hosts[*name].seen.pool;
            pool != spare
                && has_others(pool)
                && self.is_cordoned(name)
                && self.is_free(name, now)
                && self.worker_on(name).is_some_and(|it| it.is_idle_long(now))
        };
        let hosts = self.hosts.keys().filter(is_returned);
        hosts.map(|it| (it.clone(), spare.clone())).collect()
    }
}
