//! Section `[callers]`: bounds towards callers.

use fuchsiamill_model::Millisecond;

use crate::{
    error::{Error, Result},
    section::Section,
};

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Bounds towards callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Callers {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request or answer, in bytes.
    pub body_bytes: usize,
    /// Caller connections open at once.
    pub connections: usize,
    /// How long a head may take to arrive.
    pub head_ms: Millisecond,
    /// How long a body may take to arrive.
    pub body_ms: Millisecond,
    /// How long a connection may stay open without a request.
    pub idle_ms: Millisecond,
    /// The deadline of a request that names none, from its arrival.
    pub default_deadline_ms: Millisecond,
    /// The longest deadline that a request may name.
    pub longest_deadline_ms: Millisecond,
    /// Requests without a team that may be queued in one pool.
    pub open_queue: u32,
}

impl TryFrom<Section<'_>> for Callers {
    type Error = Error;

    fn try_from(mut section: Section<'_>) -> Result<Self> {
        let callers = Self {
            head_bytes: section.number("head-bytes", 16 * KIB, KIB..=MIB)?,
            body_bytes: section.number("body-bytes", 4 * MIB, KIB..=64 * MIB)?,
            connections: section.number("connections", 2_048, 1..=65_536)?,
            head_ms: section.number("head-ms", 5_000, 10..=60_000)?,
            body_ms: section.number("body-ms", 20_000, 10..=600_000)?,
            idle_ms: section.number("idle-ms", 60_000, 10..=3_600_000)?,
            default_deadline_ms: section.number("default-deadline-ms", 10_000, 10..=600_000)?,
            longest_deadline_ms: section.number("longest-deadline-ms", 30_000, 10..=600_000)?,
            open_queue: section.number("open-queue", 100, 1..=100_000)?,
        };
        if callers.default_deadline_ms > callers.longest_deadline_ms {
            let remedy = "set it to at most 'longest-deadline-ms'";
            return Err(section.clash("default-deadline-ms", remedy));
        }
        section.finish()?;
        Ok(callers)
    }
}
