//! The row of learned durations, in which a coordinator leaves them to its successor.

use fuchsiamill_fleet::durations::{Durations, ROW_VERSION, StoredDurations, Totals};
use fuchsiamill_model::units::{Millisecond, Moment};
use fuchsiamill_platform::{Key, Row};

use super::leader::Leader;
use crate::{metrics::Metrics, tables};

/// The largest row of learned durations, in bytes.
const MAX_BYTES: usize = 16 * 1024;

/// The row is rewritten at most this often.
const WRITE_INTERVAL_MS: Millisecond = 5_000;

/// A row that is older than this is not used: the work of a queue changes.
const MAX_AGE_MS: u64 = 3_600_000;

/// Lines are logged at most this often.
const LOG_INTERVAL_MS: Millisecond = 1_000;

/// When the row was last written, and what it had.
#[derive(Clone, Copy, Debug)]
pub struct DurationsRow {
    written: Moment,
    runs: u64,
    logged: Moment,
    counted: Totals,
}

impl DurationsRow {
    /// Returns the state of a coordinator that took over at `now`.
    pub fn new(now: Moment) -> Self {
        Self { written: now, runs: 0, logged: now, counted: Totals::default() }
    }

    /// Returns the row to be written, if it is due and something was learned since the last one. `store_ms` is the present
    /// time on the store's clock.
    pub fn next(
        &mut self,
        durations: Option<&Durations>,
        store_ms: u64,
        now: Moment,
    ) -> Option<(Key, Vec<u8>)> {
        let durations = durations.filter(|it| it.runs() != self.runs)?;
        if now.since(self.written) < WRITE_INTERVAL_MS {
            return None;
        }
        self.written = now;
        self.runs = durations.runs();
        Some((tables::durations_key(), encode(durations, store_ms)))
    }

    /// Logs how predictions compared to the runs that ended since the last line, and adds them to the metrics.
    pub fn log(&mut self, durations: Option<&Durations>, metrics: &Metrics, now: Moment) {
        let Some(durations) = durations.filter(|_| now.since(self.logged) >= LOG_INTERVAL_MS)
        else {
            return;
        };
        self.logged = now;
        let (totals, row_age_ms) = (durations.totals(), now.since(self.written));
        let new = totals.since(&self.counted);
        self.counted = totals;
        metrics.learned(&new, durations.keys(), row_age_ms);
        if new.samples + new.stopped == 0 {
            return;
        }
        tracing::info!(
            event = "durations-learned",
            samples = new.samples,
            fallbacks = new.fallbacks,
            unpredicted = new.unpredicted,
            stopped = new.stopped,
            shorter_than_half = new.ratios_upto(50),
            longer_than_twice = new.ratios_above(200),
            keys = durations.keys(),
            row_age_ms,
        );
    }
}

/// Encodes what was learned, as many keys as the row may have.
pub fn encode(durations: &Durations, at_ms: u64) -> Vec<u8> {
    let empty = StoredDurations { version: ROW_VERSION, at_ms, keys: Vec::new() };
    let mut bytes = to_json(&empty).len();
    let has_room = |it: &_| {
        // A comma separates the keys.
        bytes += to_json(it).len() + 1;
        bytes <= MAX_BYTES
    };
    let keys = durations.stored_keys().into_iter().take_while(has_room).collect();
    to_json(&StoredDurations { keys, ..empty })
}

/// Returns what an earlier coordinator learned. A row that cannot be used costs accuracy only.
pub fn read(rows: &[Row], store_ms: u64) -> Durations {
    let Some(row) = rows.iter().find(|it| it.key == tables::durations_key() && !it.is_removed)
    else {
        tracing::info!(event = "durations-not-loaded", reason = "no row");
        return Durations::default();
    };
    match decode(&row.value, store_ms) {
        Ok(durations) => {
            tracing::info!(event = "durations-loaded", keys = durations.keys());
            durations
        }
        Err(reason) => {
            tracing::warn!(event = "durations-not-loaded", reason);
            Durations::default()
        }
    }
}

fn decode(value: &[u8], store_ms: u64) -> Result<Durations, String> {
    let row: StoredDurations = serde_json::from_slice(value).map_err(|it| it.to_string())?;
    let age_ms = store_ms.saturating_sub(row.at_ms);
    if age_ms > MAX_AGE_MS {
        return Err(format!("{} s old", age_ms / 1_000));
    }
    Durations::restore(&row).map_err(|it| it.to_string())
}

fn to_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("stored types serialise to JSON")
}

impl Leader {
    /// Logs what was learned; see [`DurationsRow::log`].
    pub(super) fn log_learned(&mut self, now: Moment) {
        let learned = self.coordinator.learned_durations();
        self.durations_row.log(learned, &self.cx.metrics, now);
    }
}
