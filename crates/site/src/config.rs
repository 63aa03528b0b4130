//! Follows the operator's configuration and maintenance waves in the store.

use std::{rc::Rc, sync::Arc, time::Duration};

use fuchsiamill_fleet::{Config, Name, timing::without_drift, worker::Wave};
use fuchsiamill_model::{
    FastSet,
    units::{Millisecond, Moment},
};
use fuchsiamill_platform::{FeedAnswer, Row, Store, read_config, read_wave, tables};
use monoio::time::sleep;
use tokio::sync::watch;

use crate::{clock::Clock, dependency::Dependency};

/// How long one call to the feed waits for new rows. A connection that has gone silent is noticed soon after this time.
const FEED_WAIT: Duration = Duration::from_millis(900);

/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// No start is decided by an older copy of the operator's table: an evacuation that is not known yet would be missed. While the
/// store answers, the copy is within 2 s, also where each answer takes half a second.
const MAX_AGE_MS: Millisecond = 3_000;

/// The operator's configuration and maintenance waves.
#[derive(Clone, Debug, Default)]
pub struct Intent {
    /// The table is known as of this moment or a later one; `None` until it is read.
    pub known: Option<Moment>,
    /// The newest configuration; `None` until one is read.
    pub config: Option<Arc<Config>>,
    /// Maintenance waves, with at most one of each number.
    pub waves: Vec<Wave>,
    /// Data centres that are evacuated: no task may start there.
    pub evacuated: FastSet<Name>,
}

impl Intent {
    /// Returns whether the table is known as of a moment ago.
    pub fn is_current(&self, now: Moment) -> bool {
        self.known.is_some_and(|it| now.since(it) <= MAX_AGE_MS)
    }
}

/// How far the follower has got.
struct Position {
    /// The version from which it goes on.
    after: u64,
    /// Whether the last answer had all changes up to its call. Otherwise the next call is not to wait for further ones.
    is_current: bool,
}

/// Follows the operator's table.
pub struct IntentFollower {
    /// The platform's store.
    pub store: Rc<Store>,
    /// The process's clock.
    pub clock: Clock,
    /// Publishes the current [`Intent`].
    pub tx: watch::Sender<Intent>,
    /// Logs when the store stops answering, and when it answers again.
    pub health: Dependency,
}

impl IntentFollower {
    /// Reads the table, then follows its changes forever.
    pub async fn run(self) {
        let mut position = None;
        loop {
            position = match position {
                None => self.read_all().await,
                Some(it) => self.follow(it).await,
            };
        }
    }

    async fn read_all(&self) -> Option<Position> {
        let asked = self.clock.now();
        match self.store.read_part(tables::OPERATOR, "").await {
            Ok(page) => {
                self.health.answered();
                // A row that was skipped may be the one of an evacuation.
                if page.unreadable == 0 {
                    self.end_unlisted_evacuations(&page.rows);
                }
                self.apply_all(&page.rows);
                self.note_known(asked);
                Some(Position { after: page.version, is_current: false })
            }
            Err(e) => {
                self.health.failed(&e);
                sleep(RETRY_PAUSE).await;
                None
            }
        }
    }

    async fn follow(&self, Position { after, is_current }: Position) -> Option<Position> {
        let asked = self.clock.now();
        let wait = if is_current { FEED_WAIT } else { Duration::ZERO };
        match self.store.feed(tables::OPERATOR, after, wait).await {
            Ok(FeedAnswer::Rows(page)) => {
                self.health.answered();
                self.apply_all(&page.rows);
                let is_whole = !page.has_more;
                if is_whole {
                    let has_no_rows = page.rows.is_empty() && page.unreadable == 0;
                    self.note_known(self.known_by(asked, wait, has_no_rows));
                }
                Some(Position { after: page.version.max(after), is_current: is_whole })
            }
            Ok(FeedAnswer::HistoryLost) => None,
            // The size of a feed grows with the versions that were missed; that of the table does not.
            Err(e) => {
                self.health.failed(&e);
                sleep(RETRY_PAUSE).await;
                None
            }
        }
    }

    /// Returns as of when the table is known by an answer to a call that was made at `asked`. An answer without rows at the end
    /// of the wait tells that there were none until then.
    fn known_by(&self, asked: Moment, wait: Duration, has_no_rows: bool) -> Moment {
        let wait_ms = wait.as_millis() as u64;
        let has_waited = has_no_rows && self.clock.now().since(asked) >= wait_ms;
        if has_waited { asked + without_drift(wait_ms) } else { asked }
    }

    /// Notes as of when the table is known. Nobody has to be woken for that.
    fn note_known(&self, known: Moment) {
        self.tx.send_if_modified(|it| {
            it.known = Some(known);
            false
        });
    }

    fn apply_all(&self, rows: &[Row]) {
        // Evacuations come before the first configuration, with which a coordinator may begin to start tasks.
        rows.iter().for_each(|it| self.apply_evacuation(it));
        let kept = || rows.iter().filter(|it| !it.is_removed);
        let is_wave = |it: &&Row| it.key.key.starts_with(tables::WAVE_PREFIX);
        kept().filter(is_wave).for_each(|it| self.apply_wave(it));
        // Former configurations need not be decoded.
        let _ = kept()
            .rev()
            .filter(|it| it.key.key == tables::CONFIG_KEY)
            .any(|it| self.apply_config(it));
    }

    /// Puts a configuration in force unless it is a former one. Returns whether it can be read.
    fn apply_config(&self, row: &Row) -> bool {
        let config = match read_config(&row.value) {
            Ok(config) => config,
            Err(e) => {
                tracing::error!(event = "configuration-unreadable", version = row.version, error = %e);
                return false;
            }
        };
        let current = self.tx.borrow().config.as_ref().map_or(0, |it| it.version);
        if config.version <= current {
            return true;
        }
        tracing::info!(
            event = "configuration-in-force",
            version = config.version,
            before = current,
            queues = config.queues.len(),
            teams = config.teams.len()
        );
        self.tx.send_modify(|it| it.config = Some(Arc::new(config)));
        true
    }

    /// Ends the evacuations of which a whole read of the table shows no row.
    fn end_unlisted_evacuations(&self, rows: &[Row]) {
        let listed: FastSet<&str> = rows.iter().filter_map(evacuated_by).collect();
        let is_over = |it: &&Name| !listed.contains(it.as_str());
        let over: Vec<Name> = self.tx.borrow().evacuated.iter().filter(is_over).cloned().collect();
        over.iter().for_each(|it| self.set_evacuated(it, false));
    }

    /// Applies a request to evacuate a data centre, or its removal. The name is in the key, so that the value does not matter.
    fn apply_evacuation(&self, row: &Row) {
        if let Some(data_centre) = evacuated_by(row) {
            self.set_evacuated(&data_centre.into(), !row.is_removed);
        }
    }

    fn set_evacuated(&self, data_centre: &Name, is_evacuated: bool) {
        if self.tx.borrow().evacuated.contains(data_centre) == is_evacuated {
            return;
        }
        let event = if is_evacuated { "evacuation-asked" } else { "evacuation-over" };
        tracing::info!(event, %data_centre);
        self.tx.send_modify(|it| {
            match is_evacuated {
                true => it.evacuated.insert(data_centre.clone()),
                false => it.evacuated.remove(data_centre),
            };
        });
    }

    fn apply_wave(&self, row: &Row) {
        let wave = match read_wave(&row.value) {
            Ok(wave) => wave,
            Err(e) => {
                tracing::error!(event = "wave-unreadable", key = %row.key.key, error = %e);
                return;
            }
        };
        let known = self.tx.borrow().waves.contains(&wave);
        if known {
            return;
        }
        tracing::info!(event = "wave-asked", wave = wave.number, hosts = wave.hosts.len());
        self.tx.send_modify(|it| {
            it.waves.retain(|known| known.number != wave.number);
            it.waves.push(wave);
        });
    }
}

/// Returns the data centre that a row requests to evacuate.
fn evacuated_by(row: &Row) -> Option<&str> {
    let name = row.key.key.strip_prefix(tables::EVACUATION_PREFIX)?;
    (!name.is_empty()).then_some(name)
}
