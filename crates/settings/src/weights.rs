//! Section `[weights]`: what the planner values.

use crate::{
    error::{Error, Result},
    section::Section,
};

/// How heavily the planner weighs each measure; 0 ignores it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Weights {
    /// Spare capacity held back.
    pub buffer_cost: u32,
    /// Roll-out time.
    pub rollout_time: u32,
    /// The number of moves.
    pub moves: u32,
    /// The teams' distance from their shares.
    pub share: u32,
}

impl TryFrom<Section<'_>> for Weights {
    type Error = Error;

    fn try_from(mut section: Section<'_>) -> Result<Self> {
        let weights = Self {
            buffer_cost: section.number("buffer-cost", 1, 0..=1_000)?,
            rollout_time: section.number("rollout-time", 1, 0..=1_000)?,
            moves: section.number("moves", 1, 0..=1_000)?,
            share: section.number("share", 1, 0..=1_000)?,
        };
        if weights.buffer_cost + weights.rollout_time + weights.moves + weights.share == 0 {
            return Err(section.clash("rollout-time", "set at least one weight above 0"));
        }
        section.finish()?;
        Ok(weights)
    }
}
