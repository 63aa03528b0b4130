//! Hosts that leave a pool without a plan: those that the platform's host list calls leaving or gone,
//! and those that fail everything.
//!
//! They are recorded at once as out of service, so that they count against their pool's budget. An
//! absent host serves again once the list has called it live for a while and a probe passed. No more
//! hosts than a part of the pool are taken out this way: a wrong list empties no pool.

use fuchsiamill_model::{Change, FastMap, Host, HostName, HostState, Millisecond, Moment, Version};

use crate::{
    backend_state::Listed,
    waves::{AnyStage, Passed, Probe, Reading, Seen},
};

const PERCENT: usize = 100;

/// Time limits and the cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long the list must call a host leaving or gone, in milliseconds.
    pub absent: Millisecond,
    /// How long the list must call an absent host live, in milliseconds.
    pub back: Millisecond,
    /// The most hosts of a pool that are out without a plan, in percent of its hosts.
    pub max_percent: u32,
}

/// How a host's work ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkHealth {
    /// Nothing speaks against it.
    Healthy,
    /// It fails everything, its trials included.
    Failing,
}

/// What was observed of one host.
#[derive(Clone, Copy, Debug)]
pub struct HostObservation<'a> {
    /// The host.
    pub host: &'a Host,
    /// What the list says of it, where a fresh reading is at hand.
    pub listed: Option<Listed>,
    /// How its work ends.
    pub work_health: WorkHealth,
    /// Its last probe that was answered, where it is absent.
    pub probe: Option<Probe>,
}

/// Why a host's state changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The list calls it leaving.
    Leaving,
    /// The list calls it gone.
    Gone,
    /// It fails everything.
    Failing,
    /// It is back.
    Back,
}

impl Reason {
    /// The reason in words, as the audit trail shows it.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Leaving => "is leaving by the host list",
            Reason::Gone => "is gone by the host list",
            Reason::Failing => "fails everything it starts",
            Reason::Back => "is back by the host list and passed a probe",
        }
    }
}

/// A change of one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The host.
    pub host: HostName,
    /// Why.
    pub reason: Reason,
    /// The change of the configuration.
    pub change: Change,
}

/// What is to be done next for a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing.
    Keep,
    /// Propose each of these on its own.
    Decide(Vec<Decision>),
    /// More hosts are to be taken out than the cap allows: none is.
    Capped {
        /// Hosts that are out without a plan or would be.
        out: usize,
        /// The most that may be.
        most: usize,
    },
}

#[derive(Clone, Copy, Debug)]
struct Track {
    is_live: bool,
    since: Moment,
}

/// Watches the hosts of one pool.
#[derive(Clone, Debug)]
pub struct PoolWatch {
    limits: Limits,
    tracks: FastMap<HostName, Track>,
}

impl PoolWatch {
    /// A watch that has seen nothing yet.
    pub fn new(limits: Limits) -> Self {
        Self { limits, tracks: FastMap::default() }
    }

    /// What to do next, from what was observed of all hosts of the pool.
    pub fn next(&mut self, hosts: &[HostObservation<'_>], now: Moment) -> Next {
        self.note(hosts, now);
        let back = hosts.iter().filter_map(|it| self.back(it)).collect::<Vec<_>>();
        if !back.is_empty() {
            return Next::Decide(back);
        }
        // What a host does is evidence of its own: a wrong list must not hide it.
        let failing = self.within_cap(hosts, hosts.iter().filter_map(failing).collect());
        match failing {
            Next::Keep => {}
            next => return next,
        }
        self.within_cap(hosts, hosts.iter().filter_map(|it| self.lost(it, now)).collect())
    }

    fn within_cap(&self, hosts: &[HostObservation<'_>], lost: Vec<Decision>) -> Next {
        let is_out = |it: &&HostObservation<'_>| {
            matches!(it.host.state, HostState::Absent | HostState::SetAside)
        };
        let out = hosts.iter().filter(is_out).count() + lost.len();
        let most = self.max_out(hosts.len());
        match lost.is_empty() {
            true => Next::Keep,
            false if out > most => Next::Capped { out, most },
            false => Next::Decide(lost),
        }
    }

    /// The most hosts that may be out without a plan: of two at least one, and never all.
    pub fn max_out(&self, hosts: usize) -> usize {
        let part = hosts * self.limits.max_percent as usize / PERCENT;
        let least = usize::from(self.limits.max_percent > 0);
        part.max(least).min(hosts.saturating_sub(1))
    }

    /// Without a fresh reading, what the list said before is no evidence of now.
    fn note(&mut self, hosts: &[HostObservation<'_>], now: Moment) {
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

    fn lost(&self, observation: &HostObservation<'_>, now: Moment) -> Option<Decision> {
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

    /// An absent host is back when a probe passes that began after the list had called it live for long.
    fn back(&self, observation: &HostObservation<'_>) -> Option<Decision> {
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
