//! Section `[claims]`: bounds on the claims of idempotency keys.

use fuchsiamill_model::Millisecond;

use crate::{
    error::{Error, Result},
    section::Section,
};

/// Bounds on the claims of one entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claims {
    /// Table writes a second over a longer time.
    pub writes_per_second: u32,
    /// Table writes at once after a quiet time.
    pub burst: u32,
    /// Rows in one write.
    pub rows_per_write: usize,
    /// Claims that may wait to be written.
    pub waiting: usize,
    /// Ended claims that are kept in memory.
    pub remembered: usize,
    /// How long a request waits for its claim.
    pub wait_ms: Millisecond,
}

impl TryFrom<Section<'_>> for Claims {
    type Error = Error;

    fn try_from(mut section: Section<'_>) -> Result<Self> {
        let claims = Self {
            writes_per_second: section.number("writes-per-second", 4, 1..=1_000)?,
            burst: section.number("burst", 8, 1..=1_000)?,
            rows_per_write: section.number("rows-per-write", 256, 1..=1_000)?,
            waiting: section.number("waiting", 1_024, 1..=100_000)?,
            remembered: section.number("remembered", 1_024, 0..=100_000)?,
            wait_ms: section.number("wait-ms", 3_000, 10..=60_000)?,
        };
        section.finish()?;
        Ok(claims)
    }
}
