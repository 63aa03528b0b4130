//! Units of time and of capacity.

use std::ops::{Add, Sub};

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

/// Wall-clock time in milliseconds since the Unix epoch, for records that people read.
///
/// Never used to decide whether something is safe: wall clocks of two hosts differ.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub Millisecond);
