//! Section `[jobs]`: time limits and bounds of jobs.

use fuchsiamill_model::Millisecond;

use crate::{
    error::{Error, Result},
    section::Section,
};

const KIB: usize = 1024;
const HOUR_MS: Millisecond = 3_600_000;

/// Time limits and bounds of jobs. All entry hosts of a site use the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Jobs {
    /// The lease of a task, which a worker stops by itself when it is not renewed.
    pub lease_ms: Millisecond,
    /// The time between two batches of orders to a worker.
    pub sync_ms: Millisecond,
    /// The time between two reads of all jobs of a pool by its owner.
    pub rescan_ms: Millisecond,
    /// How long a job that is over is kept, and with it its idempotency key.
    pub keep_ms: Millisecond,
    /// Jobs whose rows change in one write.
    pub batch: usize,
    /// The largest payload of a job, in bytes.
    pub payload_bytes: usize,
    /// How much of each upper limit is kept from jobs, to serve requests while the table is down.
    pub reserve_percent: u32,
}

impl TryFrom<Section<'_>> for Jobs {
    type Error = Error;

    fn try_from(mut section: Section<'_>) -> Result<Self> {
        let jobs = Self {
            lease_ms: section.number("lease-ms", 15_000, 100..=600_000)?,
            sync_ms: section.number("sync-ms", 1_000, 10..=60_000)?,
            rescan_ms: section.number("rescan-ms", 5_000, 50..=600_000)?,
            keep_ms: section.number("keep-ms", 48 * HOUR_MS, 1_000..=8_760 * HOUR_MS)?,
            batch: section.number("batch", 64, 1..=1_000)?,
            payload_bytes: section.number("payload-bytes", 64 * KIB, 1..=1024 * KIB)?,
            reserve_percent: section.number("reserve-percent", 50, 0..=90)?,
        };
        if jobs.sync_ms * 4 > jobs.lease_ms {
            return Err(section.clash("sync-ms", "set it to at most a quarter of 'lease-ms'"));
        }
        section.finish()?;
        Ok(jobs)
    }
}
