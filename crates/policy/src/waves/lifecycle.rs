//! The life cycle of a host as types: each step exists only in the state and on the evidence that allow it.

use std::marker::PhantomData;

use fuchsiamill_model::{Change, Host, HostState, PoolName};

use super::evidence::{Back, Empty, Passed};

/// The host takes new work.
#[derive(Clone, Copy, Debug)]
pub struct Serving;
/// The host takes no new work.
#[derive(Clone, Copy, Debug)]
pub struct Draining;
/// The host is empty and restarts.
#[derive(Clone, Copy, Debug)]
pub struct Rebooting;
/// The host is being checked.
#[derive(Clone, Copy, Debug)]
pub struct Checking;
/// The host is out of service until it is restored.
#[derive(Clone, Copy, Debug)]
pub struct SetAside;

/// The platform's host list calls the host leaving or gone.
#[derive(Clone, Copy, Debug)]
pub struct Absent;

/// A host in the state `S`.
#[derive(Clone, Copy, Debug)]
pub struct Stage<'a, S> {
    host: &'a Host,
    state: PhantomData<S>,
}

/// A host in the state that the configuration records.
#[derive(Clone, Copy, Debug)]
pub enum AnyStage<'a> {
    /// It serves.
    Serving(Stage<'a, Serving>),
    /// It drains.
    Draining(Stage<'a, Draining>),
    /// It restarts.
    Rebooting(Stage<'a, Rebooting>),
    /// It is being checked.
    Checking(Stage<'a, Checking>),
    /// It is out of service.
    SetAside(Stage<'a, SetAside>),
    /// It is leaving or gone.
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

    /// The host.
    pub fn host(self) -> &'a Host {
        self.host
    }

    fn to(self, state: HostState) -> Change {
        Change::SetHostState { host: self.host.name.clone(), state }
    }
}

impl Stage<'_, Serving> {
    /// Stops new work.
    pub fn drain(self) -> Change {
        self.to(HostState::Draining)
    }

    /// Records that the host is leaving or gone.
    pub fn leave(self) -> Change {
        self.to(HostState::Absent)
    }

    /// Gives up a host that fails all its work.
    pub fn fail(self) -> Change {
        self.to(HostState::SetAside)
    }
}

impl Stage<'_, Draining> {
    /// Restarts an empty host.
    pub fn reboot(self, _: Empty) -> Change {
        self.to(HostState::Rebooting)
    }

    /// Checks an empty host that need not restart.
    pub fn check(self, _: Empty) -> Change {
        self.to(HostState::Checking)
    }

    /// Leaves an empty host out of service.
    pub fn take_out(self, _: Empty) -> Change {
        self.to(HostState::SetAside)
    }

    /// Takes new work again.
    pub fn resume(self) -> Change {
        self.to(HostState::Serving)
    }

    /// Gives up a host that cannot be reached.
    pub fn fail(self) -> Change {
        self.to(HostState::SetAside)
    }
}

impl Stage<'_, Rebooting> {
    /// Checks a host that is back.
    pub fn check(self, _: Back) -> Change {
        self.to(HostState::Checking)
    }

    /// Gives up a host that does not come back.
    pub fn fail(self) -> Change {
        self.to(HostState::SetAside)
    }
}

impl Stage<'_, Checking> {
    /// Serves in the host's own pool.
    pub fn serve(self, _: Passed) -> Vec<Change> {
        vec![self.to(HostState::Serving)]
    }

    /// Serves in another pool, from the same change on.
    pub fn serve_in(self, pool: &PoolName, _: Passed) -> Vec<Change> {
        let moved = Change::MoveHost { host: self.host.name.clone(), pool: pool.clone() };
        vec![moved, self.to(HostState::Serving)]
    }

    /// Gives up a host that does not pass its checks.
    pub fn fail(self) -> Change {
        self.to(HostState::SetAside)
    }
}

impl Stage<'_, Absent> {
    /// Serves again in its pool.
    pub fn serve(self, _: Passed) -> Change {
        self.to(HostState::Serving)
    }
}

impl Stage<'_, SetAside> {
    /// Restarts a host to bring it back.
    pub fn reboot(self) -> Change {
        self.to(HostState::Rebooting)
    }
}
