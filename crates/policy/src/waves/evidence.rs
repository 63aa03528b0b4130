//! What was observed of hosts, and what that proves.

use fuchsiamill_model::{FastMap, HostName, Millisecond, Moment, Version};

/// What the platform says of a restart that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    /// It goes on.
    Running,
    /// The host is back.
    Done,
}

/// The last successful probe of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// When the probe began.
    pub at: Moment,
    /// Requests that the host runs.
    pub in_flight: u32,
    /// Whether the host says that it can serve.
    pub healthy: Health,
}

/// Whether a host says that it can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It can.
    Good,
    /// It cannot.
    Bad,
}

/// The tasks that hold a host, as the owner of its pool last told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tasks {
    /// When the owner was asked.
    pub at: Moment,
    /// How many.
    pub count: u32,
}

/// What is known of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// The last probe that was answered.
    pub probe: Option<Probe>,
    /// The tasks that hold it.
    pub tasks: Option<Tasks>,
    /// What the platform last said of the restart.
    pub restart: Option<Restart>,
}

/// What is known of the hosts of a plan.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The newest version of the configuration that is accepted: no entry host serves by an older one.
    pub accepted: Version,
    /// Readings by host.
    pub hosts: FastMap<HostName, Reading>,
}

impl Observations {
    /// The reading of a host.
    pub fn of(&self, host: &HostName) -> Reading {
        self.hosts.get(host).copied().unwrap_or_default()
    }
}

/// Proof that a draining host runs nothing and is sent nothing any more.
#[derive(Debug)]
pub struct Empty(());

/// Proof that a restarted host is back.
#[derive(Debug)]
pub struct Back(());

/// Proof that a host passed its checks.
#[derive(Debug)]
pub struct Passed(());

/// Since when this runner has seen a host in its state, and by which version at the latest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// When the runner first saw the state.
    pub at: Moment,
    /// The version of the configuration that it saw then.
    pub version: Version,
    /// When the runner first saw that version accepted.
    pub accepted_at: Option<Moment>,
}

/// Why a draining host is not known to be empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotEmpty {
    /// Entry hosts may still serve by an older configuration, or start what they were granted before.
    NotAccepted,
    /// No probe was answered since.
    Unknown,
    /// The owner of its pool has not told its tasks since.
    TasksUnknown,
    /// It runs work.
    Busy {
        /// Requests and tasks.
        in_flight: u32,
    },
}

impl Empty {
    /// Proves that a draining host is empty: no entry host sends to it since `settle` milliseconds after
    /// the draining was accepted, a probe that began later found no request and the owner of its pool,
    /// asked later, told of no task.
    pub fn prove(seen: &Seen, reading: &Reading, settle: Millisecond) -> Result<Empty, NotEmpty> {
        let accepted_at = seen.accepted_at.ok_or(NotEmpty::NotAccepted)?;
        let probe = reading.probe.ok_or(NotEmpty::Unknown)?;
        let Some(tasks) = reading.tasks else { return Err(NotEmpty::TasksUnknown) };
        let in_flight = probe.in_flight + tasks.count;
        if in_flight > 0 {
            return Err(NotEmpty::Busy { in_flight });
        }
        let settled = accepted_at + settle;
        match (probe.at >= settled, tasks.at >= settled) {
            (true, true) => Ok(Empty(())),
            (true, false) => Err(NotEmpty::TasksUnknown),
            (false, _) => Err(NotEmpty::NotAccepted),
        }
    }
}

impl Back {
    /// Proves that a host is back when the platform says that the restart is done.
    pub fn prove(reading: &Reading) -> Option<Back> {
        (reading.restart == Some(Restart::Done)).then_some(Back(()))
    }
}

impl Passed {
    /// Proves that a host passed a check that began after it was seen in `seen`.
    pub fn prove(seen: &Seen, reading: &Reading) -> Option<Passed> {
        let probe = reading.probe?;
        (probe.healthy == Health::Good && probe.at >= seen.at).then_some(Passed(()))
    }
}
