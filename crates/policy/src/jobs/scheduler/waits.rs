//! The reason why a job waits.

use fuchsiamill_model::{JobId, TeamName, Units};
use serde::{Deserialize, Serialize};

use super::{
    Scheduler,
    starts::{Choice, FullSizes},
};

/// The reason why a job waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitCause {
    /// There is room; the job starts when its team's turn comes and its row is written.
    Turn,
    /// The team has as much running as its upper limit allows.
    UpperLimit,
    /// No host of the pool has enough free resources.
    NoRoom,
    /// The hosts that are large enough are out of service, silent or ejected.
    OutOfService,
    /// No entry host schedules the pool's jobs now.
    NoOwner,
}

impl WaitCause {
    /// Returns what the job waits for, as a phrase for operators.
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
    /// Returns why a job waits; `None` if it is not known here or is already placed.
    ///
    /// `room` returns how many more units of its upper limit a team may take.
    pub fn wait_cause(&self, job: &JobId, room: impl Fn(&TeamName) -> Units) -> Option<WaitCause> {
        let entry = self.entries.get(job)?;
        if entry.placement().is_some() {
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
