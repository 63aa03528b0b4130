//! Which hosts of a wave get its slots: those that can be emptied come first.

use fuchsiamill_model::{
    FastMap, FastSet,
    units::{Millisecond, Moment},
};

use crate::{
    Name, TaskId,
    coordinator::{Coordinator, LiveRun, Phase, Worker, room::RoomSearch},
};

/// How long a drained host keeps its slot without losing a task: a task that moves is at work again in less.
const DRAIN_PATIENCE_MS: Millisecond = 3_000;

/// A host that was drained and has no slot any more takes none from another drained host for this time.
const GIVEN_BACK_MS: Millisecond = 10_000;

/// The most hosts that are examined for a wave in one plan. Each costs a look at the workers of its pool; the next plan goes on
/// where this one ended.
const MOST_EXAMINED: usize = 16;

/// How the hosts of a wave come and go in its slots.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    drained: FastMap<Name, Drain>,
    given_back: FastMap<Name, Moment>,
    /// Hosts that were examined in vain, so that the next plan begins after them.
    examined: usize,
}

/// The progress of a drained host.
#[derive(Clone, Debug)]
struct Drain {
    tasks: usize,
    /// When it was first drained, or last lost a task.
    since: Moment,
    is_stuck: bool,
}

/// The order in which hosts get slots. Among equal ones those with the fewest tasks come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// It is empty or can be emptied, or is drained and not known to be stuck.
    First,
    /// It is drained, and cannot be emptied.
    Stuck,
    /// It can be emptied, and gave its slot back a while ago.
    Again,
    Other,
}

impl Slots {
    /// Notes which hosts are drained now.
    fn note(&mut self, draining: &FastSet<Name>, tasks: impl Fn(&Name) -> usize, now: Moment) {
        self.given_back.retain(|_, at| now.since(*at) < GIVEN_BACK_MS);
        let over = self.drained.extract_if(|it, _| !draining.contains(it));
        self.given_back.extend(over.filter(|it| it.1.is_stuck).map(|it| (it.0, now)));
        for host in draining {
            let tasks = tasks(host);
            let new = || Drain { tasks, since: now, is_stuck: false };
            let drain = self.drained.entry(host.clone()).or_insert_with(new);
            if tasks < drain.tasks {
                drain.since = now;
            }
            drain.tasks = tasks;
        }
    }
}

impl Coordinator {
    /// Returns the hosts left of a wave in the order in which they get its slots.
    pub(super) fn in_order_of_slots(
        &mut self,
        wave: usize,
        mut left: Vec<Name>,
        slots: usize,
        now: Moment,
    ) -> Vec<Name> {
        let mut state = std::mem::take(&mut self.waves[wave].slots);
        state.note(&self.waves[wave].draining, |it| self.task_count_on(it), now);
        let key = |it: &Name| {
            let tasks = self.task_count_on(it);
            let is_used = !self.is_cordoned(it);
            (is_used, tasks, tasks > 0 && !state.drained.contains_key(it), it.clone())
        };
        left.sort_by_cached_key(key);
        if slots > 0 {
            let ranks = self.ranks(&mut state, &left, slots, now);
            left.sort_by_key(|it| ranks.get(it).copied().unwrap_or(Rank::Other));
        }
        self.waves[wave].slots = state;
        left
    }

    fn ranks(
        &self,
        state: &mut Slots,
        left: &[Name],
        slots: usize,
        now: Moment,
    ) -> FastMap<Name, Rank> {
        let mut search = None;
        let mut ranks: FastMap<Name, Rank> = FastMap::default();
        for host in left {
            let drain = state.drained.get_mut(host);
            if let Some(drain) = drain {
                drain.is_stuck = self.is_stuck(host, drain, &mut search, now);
                ranks.insert(host.clone(), if drain.is_stuck { Rank::Stuck } else { Rank::First });
            } else if self.task_count_on(host) == 0 {
                ranks.insert(host.clone(), Rank::First);
            }
        }
        let first = ranks.iter().filter(|it| *it.1 == Rank::First);
        let mut tasks: Vec<usize> = first.map(|it| self.task_count_on(it.0)).collect();
        tasks.sort_unstable();
        // Where all slots are taken, only hosts with fewer tasks are of interest.
        let below = slots.checked_sub(1).and_then(|it| tasks.get(it)).copied();
        let is_of_interest = |it: &&Name| {
            !ranks.contains_key(*it) && below.is_none_or(|below| self.task_count_on(it) < below)
        };
        let others: Vec<&Name> = left.iter().filter(is_of_interest).collect();
        let from = state.examined.checked_rem(others.len()).unwrap_or(0);
        let most = MOST_EXAMINED.min(others.len());
        let mut found = 0;
        for host in others.iter().cycle().skip(from).take(most) {
            if found < slots && self.can_be_emptied(host, &mut search, now) {
                let is_again = state.given_back.contains_key(*host);
                found += usize::from(!is_again);
                let rank = if is_again { Rank::Again } else { Rank::First };
                ranks.insert((*host).clone(), rank);
            }
        }
        state.examined = if found < slots { from + most } else { 0 };
        ranks
    }

    /// Returns whether a drained host has lost no task for long and cannot lose one now.
    fn is_stuck(
        &self,
        host: &Name,
        drain: &Drain,
        search: &mut Option<RoomSearch>,
        now: Moment,
    ) -> bool {
        // A stop that does not end is not waited for either.
        let is_stopped = |it: &LiveRun| {
            matches!(it.phase, Phase::Stopping | Phase::StopConfirmed)
                && now.since(it.since) < DRAIN_PATIENCE_MS
        };
        let is_stopping =
            |it: &Worker| self.live_on(&it.seen.id).iter().any(|it| is_stopped(&it.1));
        now.since(drain.since) >= DRAIN_PATIENCE_MS
            && !self.worker_on(host).is_some_and(is_stopping)
            && !self.can_be_emptied(host, search, now)
    }

    /// Returns whether the short tasks on a host end, and its lasting ones may be stopped: all at once, or one after the other
    /// because there is a place elsewhere for each.
    fn can_be_emptied(&self, host: &Name, search: &mut Option<RoomSearch>, now: Moment) -> bool {
        let Some(worker) = self.worker_on(host) else { return true };
        if self.short_busy_ms(worker, now).is_none() {
            return false;
        }
        if !worker.has_long_running() {
            return true;
        }
        let id = &worker.seen.id;
        let tasks = self.stoppable_on(id, now);
        if tasks.len() < worker.long_running as usize {
            return false;
        }
        if self.may_stop_together(&tasks, now) {
            return true;
        }
        let may_stop =
            |it: &TaskId| self.jobs.get(&it.job).is_some_and(|job| job.may_stop(it, now));
        let search = search.get_or_insert_with(|| self.search_beside_stopped(now));
        let mut elsewhere = search.without(&worker.seen.pool, id);
        tasks.iter().all(|it| may_stop(it) && self.take_place(it, &mut elsewhere, now))
    }
}
