//! Section `[timing]`: time limits of the entry hosts' protocols.

use fuchsiamill_model::Millisecond;

use crate::{
    error::{Error, Result},
    section::Section,
};

/// Time limits of the entry hosts' protocols. All entry hosts of a site use the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The time between heartbeats.
    pub heartbeat_ms: Millisecond,
    /// How long evidence of the newest configuration is good for.
    pub standing_ms: Millisecond,
    /// The silence after which a peer is suspected.
    pub suspect_ms: Millisecond,
    /// The margin on waits by another host's clock, in percent.
    pub drift_percent: u32,
    /// The longest loan of units between entry hosts.
    pub loan_ms: Millisecond,
    /// How long after it was asked for a grant must be started.
    pub start_by_ms: Millisecond,
    /// The time between reads of the configuration's head by this site.
    pub store_read_ms: Millisecond,
    /// How long an entry host still serves after it turned unready.
    pub shutdown_notice_ms: Millisecond,
    /// The longest graceful shutdown, its notice included.
    pub shutdown_ms: Millisecond,
}

impl Timing {
    fn check(&self, section: &Section<'_>) -> Result<()> {
        if self.heartbeat_ms * 2 > self.suspect_ms {
            let remedy = "set it to at most half of 'suspect-ms'";
            return Err(section.clash("heartbeat-ms", remedy));
        }
        if self.suspect_ms >= self.standing_ms {
            return Err(section.clash("suspect-ms", "set it below 'standing-ms'"));
        }
        if self.store_read_ms >= self.standing_ms {
            return Err(section.clash("store-read-ms", "set it below 'standing-ms'"));
        }
        if self.start_by_ms > self.loan_ms {
            return Err(section.clash("start-by-ms", "set it to at most 'loan-ms'"));
        }
        Ok(())
    }
}

impl TryFrom<Section<'_>> for Timing {
    type Error = Error;

    fn try_from(mut section: Section<'_>) -> Result<Self> {
        let timing = Self {
            heartbeat_ms: section.number("heartbeat-ms", 500, 10..=10_000)?,
            standing_ms: section.number("standing-ms", 2_000, 100..=60_000)?,
            suspect_ms: section.number("suspect-ms", 1_500, 50..=60_000)?,
            drift_percent: section.number("drift-percent", 2, 1..=50)?,
            loan_ms: section.number("loan-ms", 5_000, 100..=60_000)?,
            start_by_ms: section.number("start-by-ms", 1_000, 10..=60_000)?,
            store_read_ms: section.number("store-read-ms", 1_000, 10..=60_000)?,
            shutdown_notice_ms: section.number("shutdown-notice-ms", 3_000, 0..=60_000)?,
            shutdown_ms: section.number("shutdown-ms", 40_000, 100..=1_200_000)?,
        };
        timing.check(&section)?;
        section.finish()?;
        Ok(timing)
    }
}
