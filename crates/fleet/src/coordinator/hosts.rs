//! Orders to hosts: maintenance waves, and moves between pools.

mod absence;
mod awaited;
mod due;
mod evacuation;
mod host;
mod pace;
mod progress;
mod replaced;
mod reserved;
mod slots;

use fuchsiamill_model::{
    FastMap, FastSet,
    units::{Millisecond, Moment},
};

pub(super) use due::DueHosts;
pub use host::{Duty, DutyReply, Host, PendingDuty};
pub use progress::WaveProgress;

use self::{absence::Absences, awaited::AwaitedRoom, pace::DrainedTasks, slots::Slots};
use super::{Coordinator, Order, Worker};
use crate::{
    HostInfo, HostState, Name,
    worker::{HostListing, Wave},
};

/// The progress of a maintenance wave.
#[derive(Clone, Debug)]
pub struct WaveState {
    /// The wave as the operator requested it.
    pub wave: Wave,
    /// Hosts whose maintenance has begun.
    pub begun: FastSet<Name>,
    /// Hosts that the wave was completed without, since they were lost.
    pub lost: FastSet<Name>,
    /// Hosts that finish their tasks before they are ordered to be maintained.
    pub draining: FastSet<Name>,
    /// Whether the operator was told that all hosts are done.
    pub is_completed: bool,
    absences: Absences,
    slots: Slots,
}

/// The stored progress of a maintenance wave.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct WaveRecord {
    /// Hosts whose maintenance has begun.
    pub begun: Vec<Name>,
    /// Hosts that the wave was completed without, since they were lost.
    pub lost: Vec<Name>,
    /// Whether all hosts are done.
    pub is_completed: bool,
}

/// The most waves in one commit. Each takes two rows, in addition to the job records.
const COMMIT_WAVES: usize = 2;

/// Extra time for the host list to show the end of an order.
const DUTY_SLACK_MS: Millisecond = 300;

impl WaveState {
    /// Returns the hosts whose maintenance has not begun.
    fn left(&self) -> impl Iterator<Item = &Name> {
        self.wave.hosts.iter().filter(|it| !self.begun.contains(*it))
    }
}

/// What the waves that are planned together share.
struct PlannedBeside {
    awaited: AwaitedRoom,
    drained: DrainedTasks,
}

impl Coordinator {
    /// Records the host list. Returns the workers that have ended by this list.
    pub fn hosts_listed(&mut self, listing: &HostListing) -> Vec<Name> {
        let asked = listing.asked;
        let names: FastSet<&Name> = listing.hosts.iter().map(|it| &it.host).collect();
        for (_, host) in self.hosts.iter_mut().filter(|(name, _)| !names.contains(name)) {
            host.seen.state = HostState::Down;
            host.away_since.get_or_insert(asked);
        }
        for seen in &listing.hosts {
            let host =
                self.hosts.entry(seen.host.clone()).or_insert_with(|| Host::new(seen, asked));
            host.update(seen.clone(), asked);
            let name = host.seen.host.clone();
            host.duty.take_if(|it| is_duty_done(it, seen, asked, &self.timing));
            // The list may not have shown the host's worker when the order was given or ended.
            self.update_reserved(&name);
        }
        // The order of a lost host is over as well, although the host never comes back from it.
        for host in self.hosts.values_mut().filter(|it| it.is_lost(asked)) {
            host.duty.take_if(|it| it.confirmed.is_some());
        }
        self.note_absences(listing, &names);
        self.hosts_known = true;
        self.end_absent_workers(listing)
    }

    /// Returns whether a new worker of a pool may be on a host with an unconfirmed order, because the worker known on
    /// that host has ended.
    pub(super) fn may_be_ordered(&self, pool: &Name) -> bool {
        let is_ordered = |it: &Host| {
            it.seen.pool == *pool && it.duty.as_ref().is_some_and(|it| it.confirmed.is_none())
        };
        let is_over = |it: &Worker| !it.answered || it.unlisted || it.silent_since.is_some();
        let ordered = self.hosts.iter().filter(|it| is_ordered(it.1));
        ordered.map(|it| self.worker_on(it.0)).any(|it| it.is_none_or(is_over))
    }

    /// Records the waves that the operator requested; `stored` is the progress that an earlier coordinator stored.
    pub fn waves_requested(
        &mut self,
        waves: &[Wave],
        stored: &FastMap<u64, WaveRecord>,
        now: Moment,
    ) {
        for wave in waves {
            if self.waves.iter().any(|it| it.wave == *wave) {
                continue;
            }
            let drained = self.take_replaced(wave.number);
            let is_kept = |it: &&Name| wave.hosts.contains(it);
            let record = stored.get(&wave.number).cloned().unwrap_or_default();
            // The operator may have written the wave anew, with more hosts, since the record was stored.
            let is_done = |it: &Name| record.begun.contains(it) || record.lost.contains(it);
            let is_completed = record.is_completed && wave.hosts.iter().all(is_done);
            self.waves.push(WaveState {
                wave: wave.clone(),
                begun: record.begun.into_iter().collect(),
                lost: record.lost.into_iter().filter(|_| is_completed).collect(),
                draining: drained.iter().filter(is_kept).cloned().collect(),
                is_completed,
                absences: Absences::since(now),
                slots: Slots::default(),
            });
            self.dirty_waves.insert(wave.number);
            drained.iter().for_each(|it| self.update_reserved(it));
        }
    }

    /// Returns the records of some changed waves; the others are left for the next commit.
    pub fn take_wave_records(&mut self) -> Vec<(u64, WaveRecord)> {
        let dirty: FastSet<u64> = self.dirty_waves.iter().copied().take(COMMIT_WAVES).collect();
        self.dirty_waves.retain(|it| !dirty.contains(it));
        let changed = self.waves.iter().filter(|it| dirty.contains(&it.wave.number));
        changed
            .map(|it| {
                let (begun, lost) = (&it.begun, &it.lost);
                let record = WaveRecord {
                    begun: begun.iter().cloned().collect(),
                    lost: lost.iter().cloned().collect(),
                    is_completed: it.is_completed,
                };
                (it.wave.number, record)
            })
            .collect()
    }

    /// Gives orders to hosts: maintenance first, then moves that adjust the sizes of pools.
    pub fn plan_hosts(&mut self, now: Moment) {
        if !self.hosts_known {
            return;
        }
        self.retry_duties(now);
        let mut beside =
            PlannedBeside { awaited: self.awaited_room(), drained: DrainedTasks::default() };
        for number in 0..self.waves.len() {
            self.plan_wave(number, &mut beside, now);
        }
        self.update_due();
        self.plan_pools(now);
        self.evacuate(now);
    }

    fn plan_wave(&mut self, index: usize, beside: &mut PlannedBeside, now: Moment) {
        let state = &self.waves[index];
        if state.is_completed {
            return;
        }
        let number = state.wave.number;
        let down = self.down_count(state, now);
        if down == 0 && state.left().all(|it| state.absences.is_lost(it)) {
            let lost = state.left().cloned().collect();
            let state = &mut self.waves[index];
            (state.lost, state.is_completed) = (lost, true);
            self.dirty_waves.insert(number);
            self.set_draining(index, FastSet::default());
            return;
        }
        let at_once = state.wave.at_once;
        let mut slots = at_once.saturating_sub(down);
        let may_begin = |it: &&Name| self.is_present(it) && !self.recalled.contains(*it);
        let left: Vec<Name> = state.left().filter(may_begin).cloned().collect();
        let left = self.in_order_of_slots(index, left, slots, now);
        let mut draining = FastSet::default();
        for name in left {
            if slots == 0 && !self.may_be_under_former_order(&name, now) {
                continue;
            }
            let is_free = self.is_free(&name, now);
            let is_kept = match is_free {
                true => self.is_awaited(&name, &mut beside.awaited, now),
                false => !self.may_drain(&name, number, &beside.drained),
            };
            if is_kept {
                continue;
            }
            // A host that may be under an order of a former coordinator already counts as down.
            match self.may_be_under_former_order(&name, now) {
                true if down > at_once => continue,
                true => {}
                false if slots == 0 => continue,
                false => slots -= 1,
            }
            if is_free {
                self.give_duty(&name, Duty::Maintain { wave: number }, now);
            } else {
                self.count_drained(&name, number, &mut beside.drained);
                draining.insert(name);
            }
        }
        self.set_draining(index, draining);
    }

    /// Counts the hosts of a wave that are down for it, or may be.
    fn down_count(&self, state: &WaveState, now: Moment) -> usize {
        let may_be =
            |it: &Name| !state.begun.contains(it) && self.may_be_under_former_order(it, now);
        let is_down = |it: &&Name| self.is_down_for(state.wave.number, it) || may_be(it);
        state.wave.hosts.iter().filter(is_down).count()
    }

    /// Returns whether a host was ordered to undergo maintenance for a wave, or is in maintenance.
    fn is_down_for(&self, number: u64, host: &Name) -> bool {
        let Some(host) = self.hosts.get(host) else { return false };
        let ordered = host.duty.as_ref().map(|it| &it.duty);
        ordered == Some(&Duty::Maintain { wave: number })
            || host.seen.state == HostState::Maintenance
    }

    fn is_present(&self, host: &Name) -> bool {
        self.hosts.get(host).is_some_and(|it| it.seen.state != HostState::Down)
    }

    /// Returns the number of tasks on a host. Hosts with fewer tasks are maintained first.
    pub(super) fn task_count_on(&self, host: &Name) -> usize {
        self.worker_on(host).map_or(0, |it| it.live.len())
    }

    /// Returns the worker on a host, if its entry is known.
    pub(super) fn worker_on(&self, host: &Name) -> Option<&Worker> {
        let worker = self.hosts.get(host)?.seen.worker.as_ref()?;
        self.workers.get(worker)
    }

    /// Returns whether a host may be moved or maintained now: it is up, and nothing runs on it.
    pub(super) fn is_free(&self, name: &Name, now: Moment) -> bool {
        let Some(host) = self.hosts.get(name) else { return false };
        if host.duty.is_some() || host.seen.state != HostState::Up || !self.may_order(name, now) {
            return false;
        }
        let is_spare = self.config.pools.get(&host.seen.pool).is_some_and(|it| it.spare);
        match self.worker_on(name) {
            Some(worker) => worker.live.is_empty(),
            None => is_spare,
        }
    }

    pub(super) fn give_duty(&mut self, name: &Name, duty: Duty, now: Moment) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        host.duty = Some(PendingDuty {
            duty: duty.clone(),
            begun: now,
            since: now,
            confirmed: None,
            is_sent: false,
            calls: 1,
        });
        self.update_reserved(name);
        self.note_order(name, now);
        self.give_after_records(Order::Host { host: name.clone(), duty });
    }

    /// Handles the reply to an order to a host.
    pub fn host_answered(&mut self, name: &Name, duty: &Duty, reply: DutyReply, now: Moment) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        let Some(pending) = host.duty.as_mut().filter(|it| it.duty == *duty) else { return };
        pending.calls = pending.calls.saturating_sub(1);
        match reply {
            DutyReply::Unknown => {}
            DutyReply::Refused if pending.calls > 0 || pending.confirmed.is_some() => {}
            DutyReply::Refused => {
                host.duty = None;
                self.update_reserved(name);
            }
            DutyReply::Done => {
                pending.confirmed = Some(now);
                // From now on, orders of former coordinators to this host are refused.
                self.former_host_orders.remove(name);
                if let Duty::Maintain { wave } = duty
                    && let Some(state) = self.waves.iter_mut().find(|it| it.wave.number == *wave)
                {
                    state.begun.insert(name.clone());
                    self.dirty_waves.insert(*wave);
                }
            }
        }
    }
}

/// Returns whether the host list shows that an order has been carried out.
fn is_duty_done(it: &PendingDuty, seen: &HostInfo, asked: Moment, timing: &crate::Timing) -> bool {
    let Some(confirmed) = it.confirmed else { return false };
    let takes = match it.duty {
        Duty::Move { .. } => timing.move_ms,
        Duty::Maintain { .. } => timing.maintenance_ms,
    };
    asked > confirmed + takes + DUTY_SLACK_MS && seen.state == HostState::Up
}
