//! Puts what has to be stored into changes of the store, one at a time.

use std::time::Duration;

use fuchsiamill_fleet::{JobRecord, Name, coordinator::WaveRecord};
use fuchsiamill_model::units::{Millisecond, Moment};
use fuchsiamill_platform::{Key, Tx, write_wave_state};
use monoio::time::sleep;
use serde::Serialize;

use super::{
    RENEW_MS,
    event::Event,
    leader::Leader,
    lease::{Lease, Lost},
};
use crate::{front::Board, tables};

/// The board is written with the first change after this time.
const BOARD_MS: Millisecond = 800;

/// The most entries that the store takes in one change: conditions, rows to write and rows to drop.
const CHANGE_ENTRIES: usize = 100;

/// The lease's part of each change: its condition and its row.
const LEASE_ENTRIES: usize = 2;

/// The pause after rows could not be dropped.
const PURGE_PAUSE: Duration = Duration::from_secs(1);

/// Jobs whose rows are dropped at once: two rows each, in changes of at most a hundred.
const PURGED_JOBS: usize = 40;

impl Leader {
    /// Begins a change, if there is something to store or the lease has to be renewed.
    pub(super) fn begin_commit(&mut self, now: Moment) {
        let records = self.coordinator.next_commit().unwrap_or_default().records;
        let waves = self.coordinator.take_wave_records();
        let ordered = self.coordinator.take_recent_orders();
        let is_due = now.since(self.committed) >= RENEW_MS;
        if records.is_empty() && waves.is_empty() && ordered.is_none() && !is_due {
            // Orders that wait for no record are free to go.
            self.coordinator.committed(now);
            return;
        }
        records.iter().for_each(|it| self.note_end(it));
        let mut puts: Vec<(Key, Vec<u8>)> = records.iter().map(progress_row).collect();
        puts.extend(waves.iter().flat_map(wave_rows));
        if let Some(ordered) = ordered {
            puts.push(self.host_orders_row(ordered));
        }
        if now.since(self.board_written) >= BOARD_MS {
            self.board_written = now;
            let usable =
                self.coordinator.workers().values().filter(|it| it.takes_tasks(now)).count();
            self.cx.metrics.sizes(self.coordinator.open_jobs(), usable);
            self.cx.metrics.runs_to_end(self.coordinator.runs_to_end(now));
            puts.push((tables::board_key(), encode(&self.board(now))));
        }
        let Some(mut lease) = self.lease.take() else { return };
        self.paced = now;
        let left = CHANGE_ENTRIES.saturating_sub(LEASE_ENTRIES + puts.len());
        let dropped = self.purged.drain(..left.min(self.purged.len()));
        let drops = dropped.map(|id| tables::progress_key(&id)).collect();
        let teller = self.teller.clone();
        monoio::spawn(async move {
            let result = lease.commit(puts, drops).await;
            teller.tell(Event::Committed(lease, result));
        });
    }

    fn note_end(&self, (id, record): &(Name, JobRecord)) {
        // Tasks of a job that is over may still be stopped: its record is written again.
        if record.stage.is_over() && record.tasks.is_empty() {
            let stage = record.stage.as_str();
            tracing::info!(event = "job-ended", job = %id, stage);
            self.cx.metrics.job_ended(stage);
        }
    }

    /// The change under way was made.
    pub(super) fn apply_commit(&mut self, lease: Box<Lease>) {
        let now = self.cx.clock.now();
        self.cx.metrics.changed(now.since(self.paced));
        self.committed = now;
        self.link_terms.confirmed.set(now);
        self.store_offset = (lease.store_ms(), now);
        self.lease = Some(lease);
        self.coordinator.committed(now);
    }

    /// Waits for the change under way, then gives the lease back.
    pub(super) async fn give_back(mut self) {
        let mut lease = self.lease.take();
        while lease.is_none()
            && let Some(event) = self.events.recv().await
        {
            match event {
                Event::Committed(held, Ok(())) => lease = Some(held),
                Event::Committed(_, Err(Lost)) => return,
                _ => {}
            }
        }
        if let Some(mut lease) = lease {
            let given = lease.give_back().await;
            tracing::info!(event = "lease-given-back", ok = given.is_ok());
        }
    }

    /// Drops the rows of jobs whose state was told for long enough: first the job, then its progress.
    pub(super) fn purge(&mut self, now: Moment) {
        let expired = self.coordinator.take_expired(now, PURGED_JOBS);
        if expired.is_empty() {
            return;
        }
        let (store, teller) = (self.cx.store.clone(), self.teller.clone());
        monoio::spawn(async move {
            for part in tables::job_parts() {
                let own = expired.iter().filter(|it| tables::job_part(it) == part.as_str());
                let drops: Vec<Key> =
                    own.flat_map(|it| [tables::job_key(it), tables::cancel_key(it)]).collect();
                let tx = Tx { drops, ..Tx::default() };
                if !tx.drops.is_empty()
                    && let Err(e) = store.commit(&tx).await
                {
                    tracing::warn!(event = "purge-failed", jobs = expired.len(), error = %e);
                    sleep(PURGE_PAUSE).await;
                    teller.tell(Event::NotPurged(expired));
                    return;
                }
            }
            tracing::info!(event = "purged", jobs = expired.len());
            teller.tell(Event::Purged(expired));
        });
    }

    fn host_orders_row(&self, ordered: Vec<(Name, Moment)>) -> (Key, Vec<u8>) {
        let ordered: Vec<(Name, u64)> =
            ordered.into_iter().map(|(host, at)| (host, self.store_time(at))).collect();
        (tables::host_orders_key(), encode(&ordered))
    }

    /// A moment on the store's clock.
    fn store_time(&self, at: Moment) -> u64 {
        let (store_ms, read) = self.store_offset;
        (store_ms + at.0).saturating_sub(read.0)
    }

    fn board(&self, now: Moment) -> Board {
        Board { at_ms: self.store_time(now), waiting: self.coordinator.waiting() }
    }
}

fn progress_row((id, record): &(Name, JobRecord)) -> (Key, Vec<u8>) {
    (tables::progress_key(id), encode(record))
}

fn wave_rows((number, record): &(u64, WaveRecord)) -> [(Key, Vec<u8>); 2] {
    let (begun, completed) = (record.begun.len(), record.is_completed);
    tracing::info!(event = "wave", wave = number, begun, completed);
    [
        (tables::wave_key(*number), encode(record)),
        (tables::wave_status_key(*number), write_wave_state(completed)),
    ]
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("stored types serialise to JSON")
}
