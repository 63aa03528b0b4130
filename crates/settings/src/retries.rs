//! Section `[retries]`: bounds on retries.

use fuchsiamill_model::Millisecond;

use crate::{
    error::{Error, Result},
    section::Section,
};

/// Bounds on retries of idempotent requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retries {
    /// Retries allowed for every hundred first attempts.
    pub budget_percent: u32,
    /// Retries allowed at once after a quiet time.
    pub burst: u32,
    /// The most attempts at one request, the first included.
    pub attempts: u32,
    /// The pause before the first retry; it doubles with each further one.
    pub backoff_ms: Millisecond,
}

impl TryFrom<Section<'_>> for Retries {
    type Error = Error;

    fn try_from(mut section: Section<'_>) -> Result<Self> {
        let retries = Self {
            budget_percent: section.number("budget-percent", 10, 0..=100)?,
            burst: section.number("burst", 10, 0..=10_000)?,
            attempts: section.number("attempts", 3, 1..=10)?,
            backoff_ms: section.number("backoff-ms", 50, 1..=10_000)?,
        };
        section.finish()?;
        Ok(retries)
    }
}
