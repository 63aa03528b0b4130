//! Observations of hosts, and the proofs that they give for the changes of a host's state.

use fuchsiamill_model::{FastMap, HostName, Millisecond, Moment, Version};

/// The platform's status of a requested restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    /// The restart is in progress.
    Running,
    /// The host has restarted.
    Done,
}

/// The last answered probe of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// When the probe began.
    pub at: Moment,
    /// Requests in progress on the host.
    pub in_flight: u32,
    /// The health that the host reported.
    pub healthy: Health,
}

/// A host's own report of whether it can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The host can serve.
    Good,
    /// The host cannot serve.
    Bad,
}

/// The tasks on a host, as last reported by the owner of its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tasks {
    /// When the owner was asked.
    pub at: Moment,
    /// Tasks on the host.
    pub count: u32,
}

/// The latest observations of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// The last answered probe; `None` before the first.
    pub probe: Option<Probe>,
    /// The tasks on the host; `None` until the pool's owner has reported them.
    pub tasks: Option<Tasks>,
    /// The last known status of the host's restart; `None` until the platform has reported one.
    pub restart: Option<Restart>,
}

/// The latest observations of a plan's hosts.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The newest accepted version of the configuration: no entry host uses an older one.
    pub accepted: Version,
    /// Observations by host.
    pub hosts: FastMap<HostName, Reading>,
}

impl Observations {
    /// Returns the observations of a host, empty if there are none.
    pub fn of(&self, host: &HostName) -> Reading {
        self.hosts.get(host).copied().unwrap_or_default()
    }
}

/// Proof that a draining host has no work in progress and receives none.
#[derive(Debug)]
pub struct Empty(());

/// Proof that the platform has restarted a host.
#[derive(Debug)]
pub struct Restarted(());

/// Proof that a host passed its health check.
#[derive(Debug)]
pub struct Passed(());

/// When and in which configuration version a runner first saw a host in its current state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// When the runner first saw the state.
    pub at: Moment,
    /// The configuration version at that time; the state was recorded in it or in an earlier one.
    pub version: Version,
    /// When the runner first saw that version accepted; `None` before that.
    pub accepted_at: Option<Moment>,
}

/// Why a draining host is not known to be empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotEmpty {
    /// Entry hosts may still use an older configuration, or start work that was granted under it.
    NotAccepted,
    /// No probe has been answered.
    Unknown,
    /// The owner of the host's pool has not reported the host's tasks recently enough.
    TasksUnknown,
    /// Work is in progress on the host.
    Busy {
        /// Requests and tasks in progress.
        in_flight: u32,
    },
}

impl Empty {
    /// Proves that a draining host is empty. From `settle` milliseconds after the draining was accepted, no
    /// entry host sends work to the host. A probe and a query to the pool's owner, both started after that,
    /// must have found no requests and no tasks.
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

impl Restarted {
    /// Proves that a host has restarted, which the platform must have reported.
    pub fn prove(reading: &Reading) -> Option<Restarted> {
        (reading.restart == Some(Restart::Done)).then_some(Restarted(()))
    }
}

impl Passed {
    /// Proves that a host is healthy by a probe that began no earlier than `seen`.
    pub fn prove(seen: &Seen, reading: &Reading) -> Option<Passed> {
        let probe = reading.probe?;
        (probe.healthy == Health::Good && probe.at >= seen.at).then_some(Passed(()))
    }
}
