//! Teams of callers and the keys that they present.

use serde::{Deserialize, Serialize};

use crate::{
    digest::KeyDigest,
    names::{KeyId, TeamName},
    units::Units,
};

/// A team of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Its weight when a pool is full; a share is this weight over the sum of weights.
    pub share: u32,
    /// The most that it may have running at once over the whole fleet.
    pub upper_limit: Units,
    /// The most requests that it may have queued in one pool.
    pub queue: u32,
    /// Whether its queued work goes before that of other teams.
    pub urgent: Urgency,
}

/// How soon a team's queued work is to start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// In its share's turn.
    #[default]
    Normal,
    /// Before the queued work of other teams, within the team's upper limit.
    Urgent,
}

/// A key that a team's callers present.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Its public id.
    pub id: KeyId,
    /// The team that it works for.
    pub team: TeamName,
    /// The digest of the key.
    pub digest: KeyDigest,
}
