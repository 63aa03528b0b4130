//! Hosts that join and leave, and what lists show of them.

use fuchsiamill_fleet::{HostInfo, HostListing, HostState, Name};
use fuchsiamill_model::units::{Millisecond, Moment};

use super::{HostWorld, SimHost, worker_id};
use crate::common::{START, host, sim_worker::SimWorker};

/// How much later than a host joins the list may show it.
const LIST_LAG_MS: Millisecond = 800;

/// Time for which lists have to lack a host until its wave may go on without it.
const LOST_MS: Millisecond = 15_000;

const NEVER: Moment = Moment(u64::MAX);

/// The longest time between two lists that counts as evidence.
const MAX_GAP_MS: Millisecond = 5_000;

/// Whether a host is part of the site, and for how long lists have lacked it or shown it down.
pub(super) struct Presence {
    joined: Moment,
    left: Moment,
    /// The last whole list that showed it to be away, and for how long such lists did since the coordinator read the wave.
    away: Option<(Moment, Millisecond)>,
    /// Its last entry that could be read.
    entry: Option<HostInfo>,
}

impl Default for Presence {
    fn default() -> Self {
        Self { joined: START, left: NEVER, away: None, entry: None }
    }
}

impl Presence {
    /// Returns whether it has joined and not left.
    pub(super) fn is_there(&self) -> bool {
        self.joined < NEVER && self.left == NEVER
    }

    fn is_listed(&self, now: Moment) -> bool {
        self.is_there() && (self.joined == START || now.since(self.joined) >= LIST_LAG_MS)
    }

    fn note(&mut self, is_shown: bool, is_whole: bool, asked: Moment) {
        let before = self.away;
        self.away = match (is_shown, before) {
            (true, _) => None,
            (false, before) if !is_whole => before,
            (false, None) => Some((asked, 0)),
            (false, Some((last, ms))) => Some((asked, ms + asked.since(last).min(MAX_GAP_MS))),
        };
    }

    /// Forgets what lists showed before the coordinator read the wave.
    pub(super) fn forget_lists(&mut self) {
        self.away = None;
    }
}

impl HostWorld {
    /// Leaves out the hosts from this number on until they join.
    pub fn begin_without(&mut self, first: usize) {
        for number in first..self.hosts.len() {
            let machine = self.host_mut(number);
            machine.presence.joined = NEVER;
            (machine.state, machine.until) = (HostState::Down, NEVER);
        }
    }

    fn host_mut(&mut self, pick: usize) -> &mut SimHost {
        let name = Name::from(format!("h{}", pick % self.hosts.len()));
        self.hosts.get_mut(&name).expect("a host")
    }

    /// Lets a host join that was left out.
    pub fn join(&mut self, pick: usize) {
        let now = self.now;
        let machine = self.host_mut(pick);
        if machine.presence.joined == NEVER {
            machine.presence.joined = now;
            (machine.state, machine.until) = (HostState::Up, now);
            self.log(format!("host {pick} joins"));
        }
    }

    /// Lets a host leave for good.
    pub fn leave(&mut self, pick: usize) {
        let now = self.now;
        let machine = self.host_mut(pick);
        if machine.presence.is_there() {
            machine.presence.left = now;
            (machine.state, machine.until) = (HostState::Down, NEVER);
            machine.sim = SimWorker::new(machine.born);
            self.log(format!("host {pick} leaves"));
        }
        self.note_absences();
    }

    /// Lets reads of the list of hosts fail for this time.
    pub fn fail_lists(&mut self, ms: Millisecond) {
        self.lists_fail_until = self.now + ms;
    }

    /// Adds a host to the wave.
    pub fn widen_wave(&mut self, pick: usize) {
        let name = Name::from(format!("h{}", pick % self.hosts.len()));
        if !self.wave.hosts.contains(&name) {
            self.wave.hosts.push(name);
        }
        self.ask_wave();
    }

    /// Passes the lists of workers and of hosts to the coordinator.
    pub fn list(&mut self) {
        self.list_workers();
        self.list_hosts(|_| true);
    }

    /// Passes a list of hosts in which some entries cannot be read, which the reader keeps as they were.
    pub fn list_partly(&mut self, pick: usize) {
        self.list_hosts(|number| !(number + pick).is_multiple_of(3));
    }

    fn list_hosts(&mut self, is_readable: impl Fn(usize) -> bool) {
        let now = self.now;
        if now < self.lists_fail_until {
            self.coordinator.host_list_failed();
            return;
        }
        let spare = self.config.spare_pool().map(|it| it.name.clone());
        let is_lost =
            |(number, it): (usize, &SimHost)| it.presence.is_listed(now) && !is_readable(number);
        let is_whole = !self.hosts.values().enumerate().any(is_lost);
        let mut hosts = Vec::new();
        for (number, (name, machine)) in self.hosts.iter_mut().enumerate() {
            let is_listed = machine.presence.is_listed(now);
            if is_listed && !is_readable(number) {
                hosts.extend(machine.presence.entry.clone());
                continue;
            }
            let is_shown = is_listed && machine.state != HostState::Down;
            machine.presence.note(is_shown, is_whole, now);
            let id = worker_id(name, machine.born);
            let on = machine.has_worker(spare.as_ref()).then_some(id.as_str());
            let seen = HostInfo { state: machine.state, ..host(name, &machine.pool, on) };
            machine.presence.entry = is_listed.then_some(seen);
            hosts.extend(machine.presence.entry.clone());
        }
        self.has_listed = true;
        self.coordinator.hosts_listed(&HostListing { hosts, is_whole, asked: now });
    }

    /// Returns whether a wave may not be completed before this host is maintained: whole lists have not shown it to be away for
    /// long since the wave was read.
    pub(super) fn is_due(&self, machine: &SimHost) -> bool {
        let presence = &machine.presence;
        let is_away_for_long = presence.away.is_some_and(|it| it.1 >= LOST_MS);
        !machine.is_maintained && presence.is_there() && !is_away_for_long
    }
}
