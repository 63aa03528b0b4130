//! Units of time and of capacity.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A span of time in milliseconds.
pub type Millisecond = u64;

/// A number of request slots on a backend server.
pub type Slots = u32;

/// A number of units of a team's upper limit; one unit lets one request or task run.
pub type Units = u32;

/// A reading of one process's monotonic clock, in milliseconds since that process started.
///
/// Readings of two processes cannot be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Moment(pub Millisecond);

impl Moment {
    /// The time that has passed since `earlier`, or zero when `earlier` lies ahead.
    pub fn since(self, earlier: Moment) -> Millisecond {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Millisecond> for Moment {
    type Output = Moment;

    fn add(self, span: Millisecond) -> Moment {
        Moment(self.0.saturating_add(span))
    }
}

impl Sub<Millisecond> for Moment {
    type Output = Moment;

    fn sub(self, span: Millisecond) -> Moment {
        Moment(self.0.saturating_sub(span))
    }
}

/// The time limit of a call that another process asks for, in milliseconds. Longer ones than [`CallTime::MAX_MS`], which no
/// process asks for, are not decoded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Millisecond", into = "Millisecond")]
pub struct CallTime(Millisecond);

impl CallTime {
    /// The longest time limit.
    pub const MAX_MS: Millisecond = 600_000;

    /// Returns the time limit of a call that this process asks for.
    pub fn of(time: Duration) -> Self {
        Self(Millisecond::try_from(time.as_millis()).unwrap_or(Self::MAX_MS).min(Self::MAX_MS))
    }

    /// Returns the time limit.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl TryFrom<Millisecond> for CallTime {
    type Error = String;

    fn try_from(ms: Millisecond) -> Result<Self, String> {
        match ms <= Self::MAX_MS {
            true => Ok(Self(ms)),
            false => {
                Err(format!("a time limit of {ms} ms; at most {} ms are allowed", Self::MAX_MS))
            }
        }
    }
}

impl From<CallTime> for Millisecond {
    fn from(time: CallTime) -> Self {
        time.0
    }
}

/// Wall-clock time in milliseconds since the Unix epoch, for records that people read.
///
/// Never used to decide whether something is safe: wall clocks of two hosts differ.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub Millisecond);
