//! Why a job waits.

use fuchsiamill_model::{JobId, TeamName, Units};
use serde::{Deserialize, Serialize};

use super::{
    Scheduler,
    starts::{Choice, FullSizes},
};

/// Why a job waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitCause {
    /// There is room; it starts when its team's turn comes and the row is written.
    Turn,
    /// The team has as much running as its upper limit allows.
    UpperLimit,
    /// No host of the pool has enough free for it.
    NoRoom,
    /// The hosts that are large enough are out of service, silent or left out.
    OutOfService,
    /// No entry host schedules the pool's jobs now.
    NoOwner,
}

impl WaitCause {
    /// The cause in words.
    pub fn as_str(self) -> &'static str {
        match self {
            WaitCause::Turn => "its team's turn",
            WaitCause::UpperLimit => "the team's upper limit",
            WaitCause::NoRoom => "room on a host of the pool",
            WaitCause::OutOfService => "a host that is out of service, silent or left out",
            WaitCause::NoOwner => "an entry host that schedules the pool",
        }
    }
}

impl Scheduler {
    /// Why a job waits; `None` for one that does not wait here.
    ///
    /// `room` tells how many more units of its upper limit a team may take.
    pub fn wait_cause(&self, job: &JobId, room: impl Fn(&TeamName) -> Units) -> Option<WaitCause> {
        let entry = self.entries.get(job)?;
        if entry.held().is_some() {
            return None;
        }
        if room(&entry.row.core.team) == 0 {
            return Some(WaitCause::UpperLimit);
        }
        Some(match self.choose(job, &mut FullSizes::default()) {
            Choice::Start(..) | Choice::Refuse => WaitCause::Turn,
            Choice::Full(_) => WaitCause::NoRoom,
            Choice::Wait => WaitCause::OutOfService,
        })
    }
}
