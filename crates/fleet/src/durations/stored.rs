//! The form in which learned durations are stored.

use serde::{Deserialize, Serialize};

use super::{Durations, Entry, Key, MAX_KEYS, model::Model, sketch::Sketch};
use crate::Name;

/// The version of the stored form.
pub const ROW_VERSION: u32 = 1;

/// The largest logarithm of a time in milliseconds that is plausible, with room for rounding: `MAX_MS` has 15.1.
const MAX_LOG: f64 = 16.0;

/// A row of learned durations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredDurations {
    /// See [`ROW_VERSION`].
    pub version: u32,
    /// When the row was written, on the store's clock.
    pub at_ms: u64,
    /// The keys with the most runs.
    pub keys: Vec<StoredKey>,
}

/// What was learned for one key. Names are short because the row is limited in size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredKey {
    #[serde(rename = "q")]
    queue: Name,
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    step: Option<u16>,
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    size: Option<u8>,
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    team: Option<Name>,
    #[serde(rename = "n")]
    samples: u32,
    #[serde(rename = "m")]
    means: (f64, f64),
    #[serde(rename = "v")]
    variances: (f64, f64),
    #[serde(rename = "e")]
    errors: (f64, f64),
    #[serde(rename = "r")]
    residuals: Vec<(u8, f32)>,
}

/// Why a row of learned durations is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectedRow {
    /// It has another version.
    #[error("version {0}")]
    Version(u32),
    /// It has too many keys.
    #[error("more than {MAX_KEYS} keys")]
    Size,
    /// A value is impossible.
    #[error("key {0} has impossible values")]
    Value(usize),
}

impl Durations {
    /// Returns what was learned, the keys with the most runs first.
    pub fn stored_keys(&self) -> Vec<StoredKey> {
        let mut entries: Vec<(&Key, &Entry)> = self.entries.iter().collect();
        entries.sort_by(|a, b| (b.1.model.samples, a.0).cmp(&(a.1.model.samples, b.0)));
        entries.into_iter().map(|(key, entry)| StoredKey::new(key, &entry.model)).collect()
    }

    /// Rebuilds what was learned from a row.
    pub fn restore(row: &StoredDurations) -> Result<Self, RejectedRow> {
        if row.version != ROW_VERSION {
            return Err(RejectedRow::Version(row.version));
        }
        if row.keys.len() > MAX_KEYS {
            return Err(RejectedRow::Size);
        }
        let mut durations = Self::default();
        for (number, it) in row.keys.iter().enumerate() {
            let model = it.model().ok_or(RejectedRow::Value(number))?;
            durations.entries.insert(it.key(), Entry { model, last_used: 0 });
        }
        Ok(durations)
    }
}

impl StoredKey {
    fn new(key: &Key, model: &Model) -> Self {
        let pair = |it: (f64, f64)| (rounded(it.0), rounded(it.1));
        Self {
            queue: key.queue.clone(),
            step: key.step,
            size: key.size,
            team: key.team.clone(),
            samples: model.samples,
            means: pair(model.means),
            variances: pair(model.variances),
            errors: pair(model.errors),
            residuals: model.residuals.counts().map(|(at, it)| (at, hundredths(it))).collect(),
        }
    }

    fn key(&self) -> Key {
        let (queue, team) = (self.queue.clone(), self.team.clone());
        Key { queue, step: self.step, size: self.size, team }
    }

    /// Returns the model, or `None` if a value cannot have been written by [`StoredKey::new`].
    fn model(&self) -> Option<Model> {
        let is_log = |it: f64| (-MAX_LOG..=MAX_LOG).contains(&it);
        let is_square = |it: f64| (-MAX_LOG * MAX_LOG..=MAX_LOG * MAX_LOG).contains(&it);
        let is_valid = is_log(self.means.0)
            && is_log(self.means.1)
            && self.variances.0 >= 0.0
            && is_square(self.variances.0)
            && is_square(self.variances.1)
            && (0.0..=MAX_LOG).contains(&self.errors.0)
            && (0.0..=MAX_LOG).contains(&self.errors.1);
        let residuals = Sketch::from_counts(&self.residuals)?;
        let model = Model {
            samples: self.samples,
            means: self.means,
            variances: self.variances,
            residuals,
            errors: self.errors,
            ..Model::default()
        };
        is_valid.then(|| model.restored())
    }
}

/// Rounds to three decimals, which keeps the row short; a time is off by 0.05 % at most.
fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

fn hundredths(count: f32) -> f32 {
    (count * 100.0).round() / 100.0
}
