//! How far the waves of maintenance are, for the log.

use fuchsiamill_model::{FastSet, units::Moment};

use super::WaveState;
use crate::{Name, coordinator::Coordinator};

/// How far an open wave is, and what holds it up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaveProgress {
    /// The number of the wave.
    pub number: u64,
    /// Hosts whose maintenance has not begun.
    pub left: u64,
    /// Hosts left that are considered lost.
    pub lost: u64,
    /// Hosts left that take no new tasks until theirs have ended.
    pub drained: u64,
    /// Drained hosts with tasks that run until their job is cancelled.
    pub drained_lasting: u64,
    /// Hosts that are down for the wave, or may be.
    pub down: u64,
    /// The most hosts that may be down or drained at once.
    pub at_once: u64,
    /// Empty hosts left that are kept for such tasks which wait.
    pub kept: u64,
    /// Such tasks that wait in the pools of its hosts.
    pub waiting_lasting: u64,
}

impl Coordinator {
    /// Returns how far each open wave is, as of the last plan.
    pub fn wave_progress(&self, now: Moment) -> Vec<WaveProgress> {
        if !self.hosts_known {
            return Vec::new();
        }
        let mut room = self.awaited_room();
        let open = self.waves.iter().filter(|it| !it.is_completed);
        open.map(|it| {
            let left: Vec<&Name> = it.left().collect();
            let is_kept =
                |host: &&&Name| self.is_free(host, now) && self.is_awaited(host, &mut room, now);
            let kept = left.iter().filter(is_kept).count() as u64;
            self.progress_of(it, left.len(), kept, now)
        })
        .collect()
    }

    fn progress_of(&self, state: &WaveState, left: usize, kept: u64, now: Moment) -> WaveProgress {
        let has_lasting =
            |it: &&Name| self.worker_on(it).is_some_and(|worker| worker.has_long_running());
        let listed = state.wave.hosts.iter().filter_map(|it| self.hosts.get(it));
        let pools: FastSet<&Name> = listed.map(|it| &it.seen.pool).collect();
        WaveProgress {
            number: state.wave.number,
            left: left as u64,
            lost: state.left().filter(|it| state.absences.is_lost(it)).count() as u64,
            drained: state.draining.len() as u64,
            drained_lasting: state.draining.iter().filter(has_lasting).count() as u64,
            down: self.down_count(state, now) as u64,
            at_once: state.wave.at_once as u64,
            kept,
            waiting_lasting: self.waiting_lasting_in(&pools),
        }
    }

    /// Returns how many long-running tasks wait in pools.
    fn waiting_lasting_in(&self, pools: &FastSet<&Name>) -> u64 {
        let open = self.jobs.values().filter(|it| !it.stage.is_over() && it.has_waiting());
        let concerned =
            open.filter(|it| it.spec.long_running() && pools.contains(&it.spec.route.pool));
        let of_jobs = concerned.flat_map(|job| {
            let steps = job.open_steps().into_iter();
            let lasting = steps.filter(|it| job.spec.steps[it.1].long_running);
            lasting.map(|it| u64::from(job.occurrences[it.0].steps[it.1].waiting))
        });
        of_jobs.sum()
    }
}
