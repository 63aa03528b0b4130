//! Takes hosts out of service without a plan: hosts that the platform's host list reports as leaving or no
//! longer contains, and hosts on which all work fails.
//!
//! Such hosts are recorded as out of service at once, so that they count against their pool's budget. An
//! absent host serves again once the list has reported it live for a while and it has passed a probe. The
//! share of a pool that can be out this way is limited, so that a wrong list cannot empty the pool.

use fuchsiamill_model::{Change, FastMap, Host, HostName, HostState, Millisecond, Moment, Version};

use crate::{
    backend_state::Listed,
    waves::{AnyStage, Passed, Probe, Reading, Seen},
};

const PERCENT: usize = 100;

/// Time limits, and the limit on hosts that are out without a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long a host must be reported as leaving, or be off the list, before it is taken out, in milliseconds.
    pub absent: Millisecond,
    /// How long the list must report an absent host as live before it serves again, in milliseconds.
    pub back: Millisecond,
    /// Upper limit of a pool's hosts that are out without a plan, in percent of its hosts.
    pub max_percent: u32,
}

/// Whether the work on a host succeeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkHealth {
    /// Not all work on the host fails.
    Healthy,
    /// All work on the host fails, trial requests included.
    Failing,
}

/// The current observations of one host.
#[derive(Clone, Copy, Debug)]
pub struct HostObservation<'a> {
    /// The host, as recorded in the configuration.
    pub host: &'a Host,
    /// The host's status in the platform's host list; `None` without a recent copy of the list.
    pub listed: Option<Listed>,
    /// Whether its work succeeds.
    pub work_health: WorkHealth,
    /// The last answered probe; only absent hosts are probed.
    pub probe: Option<Probe>,
}

/// Why a host's state changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The host list reports the host as leaving.
    Leaving,
    /// The host is not on the host list.
    Gone,
    /// All work on the host fails.
    Failing,
    /// An absent host is live again and passed a probe.
    Back,
}

impl Reason {
    /// Returns the reason as it is worded in the audit trail, to follow the host's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Leaving => "is leaving by the host list",
            Reason::Gone => "is gone by the host list",
            Reason::Failing => "fails everything it starts",
            Reason::Back => "is back by the host list and passed a probe",
        }
    }
}

/// A decision to change the state of one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The host that changes.
    pub host: HostName,
    /// Why it changes.
    pub reason: Reason,
    /// The configuration change that records the new state.
    pub change: Change,
}

/// The result of evaluating a pool's hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// No host changes.
    Keep,
    /// Propose each of these changes in a configuration change of its own.
    Decide(Vec<Decision>),
    /// Taking all the affected hosts out would exceed the limit, so none is taken out.
    Capped {
        /// Hosts that are out already, with those that would be taken out.
        out: usize,
        /// The upper limit for these.
        max: usize,
    },
}

/// Since when the host list has reported a host as live, or as not live.
#[derive(Clone, Copy, Debug)]
struct Track {
    is_live: bool,
    since: Moment,
}

/// Decides which hosts of one pool leave and return without a plan.
#[derive(Clone, Debug)]
pub struct PoolWatch {
    limits: Limits,
    tracks: FastMap<HostName, Track>,
}

impl PoolWatch {
    /// Creates a watch without any observations.
    pub fn new(limits: Limits) -> Self {
        Self { limits, tracks: FastMap::default() }
    }

    /// Decides what to do next; `hosts` has the observations of all hosts of the pool.
    pub fn next(&mut self, hosts: &[HostObservation<'_>], now: Moment) -> Next {
        self.update_tracks(hosts, now);
        let returned = hosts.iter().filter_map(|it| self.returned(it)).collect::<Vec<_>>();
        if !returned.is_empty() {
            return Next::Decide(returned);
        }
        // Failing hosts are decided before the list is considered: a wrong list that reaches the limit must
        // not keep a failing host in service.
        let failing = self.within_cap(hosts, hosts.iter().filter_map(failing).collect());
        match failing {
            Next::Keep => {}
            next => return next,
        }
        self.within_cap(hosts, hosts.iter().filter_map(|it| self.absent(it, now)).collect())
    }

    fn within_cap(&self, hosts: &[HostObservation<'_>], decisions: Vec<Decision>) -> Next {
        let is_out = |it: &&HostObservation<'_>| {
            matches!(it.host.state, HostState::Absent | HostState::SetAside)
        };
        let out = hosts.iter().filter(is_out).count() + decisions.len();
        let max = self.max_out(hosts.len());
        match decisions.is_empty() {
            true => Next::Keep,
            false if out > max => Next::Capped { out, max },
            false => Next::Decide(decisions),
        }
    }

    /// Returns how many of `hosts` hosts may be out without a plan: at least one of two or more, unless
    /// `max_percent` is 0, and never all.
    pub fn max_out(&self, hosts: usize) -> usize {
        let share = hosts * self.limits.max_percent as usize / PERCENT;
        let min = usize::from(self.limits.max_percent > 0);
        share.max(min).min(hosts.saturating_sub(1))
    }

    /// Updates since when each host is live or not. A host without a current list entry loses its
    /// record, because an earlier status says nothing about the present one.
    fn update_tracks(&mut self, hosts: &[HostObservation<'_>], now: Moment) {
        let mut next = FastMap::default();
        for observation in hosts {
            let Some(listed) = observation.listed else { continue };
            let is_live = listed == Listed::Live;
            let track = match self.tracks.get(&observation.host.name) {
                Some(track) if track.is_live == is_live => *track,
                _ => Track { is_live, since: now },
            };
            next.insert(observation.host.name.clone(), track);
        }
        self.tracks = next;
    }

    fn absent(&self, observation: &HostObservation<'_>, now: Moment) -> Option<Decision> {
        let AnyStage::Serving(stage) = observation.host.into() else { return None };
        let is_due = |it: &Track| !it.is_live && now.since(it.since) >= self.limits.absent;
        let is_absent = self.tracks.get(&observation.host.name).is_some_and(is_due);
        let reason = match observation.listed {
            Some(Listed::Leaving) if is_absent => Reason::Leaving,
            Some(Listed::Absent) if is_absent => Reason::Gone,
            _ => return None,
        };
        let change = stage.leave();
        Some(Decision { host: observation.host.name.clone(), reason, change })
    }

    /// Returns the decision to let an absent host serve again: a probe passed that began after the list had
    /// reported the host live for `Limits::back`.
    fn returned(&self, observation: &HostObservation<'_>) -> Option<Decision> {
        let AnyStage::Absent(stage) = observation.host.into() else { return None };
        let track = self.tracks.get(&observation.host.name).filter(|it| it.is_live)?;
        let at = track.since + self.limits.back;
        let seen = Seen { at, version: Version::default(), accepted_at: None };
        let reading = Reading { probe: observation.probe, ..Reading::default() };
        let passed = Passed::prove(&seen, &reading)?;
        let change = stage.serve(passed);
        Some(Decision { host: observation.host.name.clone(), reason: Reason::Back, change })
    }
}

fn failing(observation: &HostObservation<'_>) -> Option<Decision> {
    let AnyStage::Serving(stage) = observation.host.into() else { return None };
    let is_failing = observation.work_health == WorkHealth::Failing;
    let host = observation.host.name.clone();
    is_failing.then(|| Decision { host, reason: Reason::Failing, change: stage.fail() })
}
