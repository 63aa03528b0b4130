//! The life cycle of a host as types: each transition is a method of the state that allows it, and takes
//! the proofs that it needs.

use std::marker::PhantomData;

use fuchsiamill_model::{Change, Host, HostState, PoolName};

use super::evidence::{Empty, Passed, Restarted};

/// The host takes new work.
#[derive(Clone, Copy, Debug)]
pub struct Serving;
/// The host takes no new work.
#[derive(Clone, Copy, Debug)]
pub struct Draining;
/// The host is empty and is being restarted.
#[derive(Clone, Copy, Debug)]
pub struct Rebooting;
/// The host must pass its health check before it serves.
#[derive(Clone, Copy, Debug)]
pub struct Checking;
/// The host is out of service until it is restored.
#[derive(Clone, Copy, Debug)]
pub struct SetAside;

/// The platform's host list reports the host as leaving or no longer contains it.
#[derive(Clone, Copy, Debug)]
pub struct Absent;

/// A host that the configuration records in the state `S`.
#[derive(Clone, Copy, Debug)]
pub struct Stage<'a, S> {
    host: &'a Host,
    state: PhantomData<S>,
}

/// A host in any state that the configuration can record.
#[derive(Clone, Copy, Debug)]
pub enum AnyStage<'a> {
    /// The host takes new work.
    Serving(Stage<'a, Serving>),
    /// The host takes no new work.
    Draining(Stage<'a, Draining>),
    /// The host is being restarted.
    Rebooting(Stage<'a, Rebooting>),
    /// The host is being checked.
    Checking(Stage<'a, Checking>),
    /// The host is out of service until it is restored.
    SetAside(Stage<'a, SetAside>),
    /// The host is leaving or not on the platform's host list.
    Absent(Stage<'a, Absent>),
}

impl<'a> From<&'a Host> for AnyStage<'a> {
    fn from(host: &'a Host) -> Self {
        match host.state {
            HostState::Serving => AnyStage::Serving(Stage::new(host)),
            HostState::Draining => AnyStage::Draining(Stage::new(host)),
            HostState::Rebooting => AnyStage::Rebooting(Stage::new(host)),
            HostState::Checking => AnyStage::Checking(Stage::new(host)),
            HostState::SetAside => AnyStage::SetAside(Stage::new(host)),
            HostState::Absent => AnyStage::Absent(Stage::new(host)),
        }
    }
}

impl<'a, S> Stage<'a, S> {
    fn new(host: &'a Host) -> Self {
        Self { host, state: PhantomData }
    }

    /// Returns the host.
    pub fn host(self) -> &'a Host {
        self.host
    }

    fn set_state(self, state: HostState) -> Change {
        Change::SetHostState { host: self.host.name.clone(), state }
    }
}

impl Stage<'_, Serving> {
    /// Stops new work on the host.
    pub fn drain(self) -> Change {
        self.set_state(HostState::Draining)
    }

    /// Records that the host is leaving or not on the platform's host list.
    pub fn leave(self) -> Change {
        self.set_state(HostState::Absent)
    }

    /// Sets aside a host on which all work fails.
    pub fn fail(self) -> Change {
        self.set_state(HostState::SetAside)
    }
}

impl Stage<'_, Draining> {
    /// Restarts the empty host.
    pub fn reboot(self, _: Empty) -> Change {
        self.set_state(HostState::Rebooting)
    }

    /// Starts the health check of an empty host that needs no restart.
    pub fn check(self, _: Empty) -> Change {
        self.set_state(HostState::Checking)
    }

    /// Sets the empty host aside, out of service.
    pub fn take_out(self, _: Empty) -> Change {
        self.set_state(HostState::SetAside)
    }

    /// Lets the host take new work again.
    pub fn resume(self) -> Change {
        self.set_state(HostState::Serving)
    }

    /// Sets aside a host that cannot be reached.
    pub fn fail(self) -> Change {
        self.set_state(HostState::SetAside)
    }
}

impl Stage<'_, Rebooting> {
    /// Starts the health check of the restarted host.
    pub fn check(self, _: Restarted) -> Change {
        self.set_state(HostState::Checking)
    }

    /// Sets aside a host that did not restart in time.
    pub fn fail(self) -> Change {
        self.set_state(HostState::SetAside)
    }
}

impl Stage<'_, Checking> {
    /// Puts the host into service in its current pool.
    pub fn serve(self, _: Passed) -> Vec<Change> {
        vec![self.set_state(HostState::Serving)]
    }

    /// Moves the host to another pool and puts it into service there; both changes belong in one proposal.
    pub fn serve_in(self, pool: &PoolName, _: Passed) -> Vec<Change> {
        let moved = Change::MoveHost { host: self.host.name.clone(), pool: pool.clone() };
        vec![moved, self.set_state(HostState::Serving)]
    }

    /// Sets aside a host that did not pass its health check in time.
    pub fn fail(self) -> Change {
        self.set_state(HostState::SetAside)
    }
}

impl Stage<'_, Absent> {
    /// Puts the host into service again in its pool.
    pub fn serve(self, _: Passed) -> Change {
        self.set_state(HostState::Serving)
    }
}

impl Stage<'_, SetAside> {
    /// Restarts the host, to bring it back into service.
    pub fn reboot(self) -> Change {
        self.set_state(HostState::Rebooting)
    }
}
