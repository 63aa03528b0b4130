//! Stores the coordinator's records in transactions, one at a time.

use std::time::Duration;

use fuchsiamill_fleet::{Cancellation, JobRecord, Name, RecordKey, coordinator::WaveRecord};
use fuchsiamill_model::{
    FastSet,
    units::{Millisecond, Moment},
};
use fuchsiamill_platform::{Key, Store, Tx, TxAnswer, write_wave_state};
use monoio::time::sleep;
use serde::Serialize;

use super::{
    Deletion, RENEW_INTERVAL_MS,
    event::Event,
    leader::Leader,
    lease::{Lease, LeaseLost},
};
use crate::{front::Board, tables};

/// The board row is rewritten with the first transaction after this time.
const BOARD_INTERVAL_MS: Millisecond = 800;

/// The same while a pool is limited, since entry hosts admit jobs by it.
const LIMITED_BOARD_INTERVAL_MS: Millisecond = 400;

/// The most entries that the store accepts in one transaction: conditions, rows to write and rows to delete.
const MAX_TX_ENTRIES: usize = 100;

/// The entries of the lease in each transaction: its condition and its row.
const LEASE_ENTRIES: usize = 2;

/// The pause after a failed purge.
const PURGE_PAUSE: Duration = Duration::from_secs(1);

/// The most jobs that are purged at once: a row of the job and of its cancellation in each scope, in transactions of at
/// most [`MAX_TX_ENTRIES`] entries.
const MAX_PURGED_JOBS: usize = 24;

/// The most cancellations without a job that are purged at once: a condition and two rows each.
const MAX_PURGED_CANCELS: usize = 30;

impl Leader {
    /// Begins a transaction if there is something to store or the lease has to be renewed.
    pub(super) fn begin_commit(&mut self, now: Moment) {
        let records = self.coordinator.next_commit().unwrap_or_default().records;
        let waves = self.coordinator.take_wave_records();
        let ordered = self.coordinator.take_recent_orders();
        let unlisted = self.coordinator.take_unlisted_workers();
        let is_due = now.since(self.last_commit) >= RENEW_INTERVAL_MS;
        let is_empty = records.is_empty() && waves.is_empty();
        if is_empty && ordered.is_none() && unlisted.is_none() && !is_due {
            // Orders that depend on no record can be released without a transaction.
            self.coordinator.committed(now);
            return;
        }
        records.iter().for_each(|it| self.log_job_end(it));
        let mut puts: Vec<(Key, Vec<u8>)> = records.iter().map(progress_row).collect();
        puts.extend(waves.iter().flat_map(wave_rows));
        if let Some(ordered) = ordered {
            puts.push(self.host_orders_row(ordered));
        }
        if let Some(unlisted) = unlisted {
            tracing::info!(event = "unlisted-workers-stored", count = unlisted.len());
            puts.push((tables::unlisted_workers_key(), encode(&unlisted)));
        } else if self.is_board_due(now) {
            self.board_written = now;
            let usable =
                self.coordinator.workers().values().filter(|it| it.takes_tasks(now)).count();
            self.cx.metrics.set_sizes(self.coordinator.open_jobs(), usable);
            self.cx.metrics.set_runs_to_end(self.coordinator.runs_to_end(now));
            puts.push((tables::board_key(), encode(&self.board(now))));
        }
        let store_ms = self.store_time(now);
        let learned = self.coordinator.learned_durations();
        // The row can wait for a transaction with room for it.
        if puts.len() + LEASE_ENTRIES < MAX_TX_ENTRIES {
            puts.extend(self.durations_row.next(learned, store_ms, now));
        }
        let Some(mut lease) = self.lease.take() else { return };
        lease.set_limited(self.coordinator.is_limited_by_pools());
        self.last_commit_begin = now;
        let room = MAX_TX_ENTRIES.saturating_sub(LEASE_ENTRIES + puts.len());
        let purged = self.purged.drain(..room.min(self.purged.len()));
        let drops = purged.map(|row| tables::progress_key(&row)).collect();
        let event_sender = self.event_sender.clone();
        monoio::spawn(async move {
            let result = lease.commit(puts, drops).await;
            event_sender.send(Event::Committed(lease, result));
        });
    }

    fn log_job_end(&self, (id, record): &(Name, JobRecord)) {
        // The record of a job that is over is rewritten while some of its tasks are still being stopped.
        if record.stage.is_over() && record.has_no_tasks() && RecordKey::from_row_name(id).part == 0
        {
            let stage = record.stage.as_str();
            tracing::info!(event = "job-ended", job = %id, stage);
            self.cx.metrics.job_ended(stage);
        }
    }

    /// Handles the commit of the transaction that was under way.
    pub(super) fn apply_commit(&mut self, lease: Box<Lease>) {
        let now = self.cx.clock.now();
        self.record_ms = now.since(self.last_commit_begin);
        self.cx.metrics.committed(self.record_ms);
        self.last_commit = now;
        self.last_confirmed_begin = Some(self.last_commit_begin);
        self.link_context.confirmed.set(now);
        self.store_offset = (lease.store_ms(), now);
        self.lease = Some(lease);
        self.coordinator.committed(now);
    }

    /// Waits for the transaction under way, then releases the lease.
    pub(super) async fn release_lease(mut self) {
        let mut lease = self.lease.take();
        while lease.is_none()
            && let Some(event) = self.events.recv().await
        {
            match event {
                Event::Committed(held, Ok(())) => lease = Some(held),
                Event::Committed(_, Err(LeaseLost)) => return,
                _ => {}
            }
        }
        if let Some(mut lease) = lease {
            release(&mut lease).await;
        }
    }

    /// Deletes the rows of jobs whose retention time is over: first the job, later its progress.
    pub(super) fn purge(&mut self, now: Moment) {
        let expired = self.coordinator.take_expired(now, MAX_PURGED_JOBS);
        if expired.is_empty() {
            return;
        }
        let cancellations = |id: &Name| {
            let scopes = self.coordinator.cancel_scopes(id).into_iter();
            let key = |scope| tables::cancel_key(&Cancellation { job: id.clone(), scope });
            scopes.map(key).collect::<Vec<_>>()
        };
        let keys = |id: &Name| [vec![tables::job_key(id)], cancellations(id)].concat();
        let rows: Vec<Key> = expired.iter().flat_map(keys).collect();
        let (store, event_sender) = (self.cx.store.clone(), self.event_sender.clone());
        monoio::spawn(async move {
            match delete_rows(&store, rows).await {
                Ok(deletions) => {
                    tracing::info!(event = "purged", jobs = expired.len());
                    event_sender.send(Event::Purged(expired, deletions));
                }
                Err(e) => {
                    tracing::warn!(event = "purge-failed", jobs = expired.len(), error = %e);
                    sleep(PURGE_PAUSE).await;
                    event_sender.send(Event::PurgeFailed(expired));
                }
            }
        });
    }

    /// Keeps the rows that were deleted from coming back with a read that began before.
    pub(super) fn note_deleted(&mut self, deletions: Vec<Deletion>) {
        let now = self.cx.clock.now();
        deletions.into_iter().for_each(|it| self.deleted_rows.note(it, now));
    }

    /// Deletes the rows of cancellations whose jobs did not come within the retention time. One whose job comes at this
    /// moment stays and holds.
    pub(super) fn purge_cancels(&mut self, now: Moment) {
        if self.is_purging_cancels {
            return;
        }
        let expired = self.coordinator.take_expired_cancels(now, MAX_PURGED_CANCELS);
        if expired.is_empty() {
            return;
        }
        self.is_purging_cancels = true;
        let (store, event_sender) = (self.cx.store.clone(), self.event_sender.clone());
        monoio::spawn(async move {
            let (mut deleted, mut deletions) = (Vec::new(), Vec::new());
            for part in tables::job_parts() {
                let own = expired.iter().filter(|it| tables::job_part(&it.job) == part.as_str());
                match delete_cancels(&store, own.cloned().collect()).await {
                    Ok(Some((requests, deletion))) => {
                        tracing::info!(event = "cancels-purged", jobs = requests.len());
                        deletions.push(deletion);
                        deleted.extend(requests);
                    }
                    Ok(None) => {}
                    Err(e) => {
                        tracing::warn!(event = "purge-failed", part = %part, error = %e);
                    }
                }
            }
            event_sender.send(Event::CancelsPurged(deleted, deletions));
        });
    }

    fn host_orders_row(&self, ordered: Vec<(Name, Moment)>) -> (Key, Vec<u8>) {
        let ordered: Vec<(Name, u64)> =
            ordered.into_iter().map(|(host, at)| (host, self.store_time(at))).collect();
        (tables::host_orders_key(), encode(&ordered))
    }

    /// Converts a moment to the store's clock.
    fn store_time(&self, at: Moment) -> u64 {
        let (store_ms, read) = self.store_offset;
        (store_ms + at.0).saturating_sub(read.0)
    }

    /// Returns whether the board is to be written with the next transaction. As soon as a pool is limited, that is at once.
    fn is_board_due(&self, now: Moment) -> bool {
        let since = now.since(self.board_written);
        let was_limited = self.lease.as_ref().is_some_and(|it| it.is_limited());
        match self.coordinator.is_limited_by_pools() {
            true => since >= LIMITED_BOARD_INTERVAL_MS || !was_limited,
            false => since >= BOARD_INTERVAL_MS,
        }
    }

    fn board(&self, now: Moment) -> Board {
        let capacities = self.coordinator.capacities(now).cloned();
        let is_limited = self.coordinator.is_limited_by_pools();
        let admission = capacities.filter(|_| is_limited);
        Board { at_ms: self.store_time(now), waiting: self.coordinator.waiting(), admission }
    }
}

/// Deletes the rows of cancellations, all of one partition, but for those whose jobs are there. Returns the requests whose
/// rows are deleted, or `None` if all jobs are there.
async fn delete_cancels(
    store: &Store,
    mut requests: Vec<Cancellation>,
) -> fuchsiamill_platform::Result<Option<(Vec<Cancellation>, Deletion)>> {
    while !requests.is_empty() {
        // A request that was stored beside its job has the other key.
        let keys = |it: &Cancellation| [tables::cancel_key(it), tables::cancel_key_of_job(&it.job)];
        let drops: FastSet<Key> = requests.iter().flat_map(keys).collect();
        let drops = drops.into_iter().collect();
        let tx = Tx { expected: absent_jobs(&requests), drops, ..Tx::default() };
        match store.commit(&tx).await? {
            TxAnswer::Done { version, .. } => {
                return Ok(Some((requests, Deletion { keys: tx.drops, version })));
            }
            TxAnswer::Conflict { rows } => {
                let there: FastSet<Name> = rows.into_iter().map(|it| it.key.key).collect();
                let all = requests.len();
                requests.retain(|it| !there.contains(&it.job));
                tracing::info!(event = "cancels-kept", jobs = all - requests.len());
                if requests.len() == all {
                    break;
                }
            }
        }
    }
    Ok(None)
}

/// Returns the conditions that none of the jobs is there. A job may have cancellations of several scopes.
fn absent_jobs(requests: &[Cancellation]) -> Vec<(Key, u64)> {
    let jobs: FastSet<&Name> = requests.iter().map(|it| &it.job).collect();
    jobs.into_iter().map(|it| (tables::job_key(it), 0)).collect()
}

/// Deletes rows from the table of jobs, with one transaction for each of its partitions.
async fn delete_rows(store: &Store, rows: Vec<Key>) -> fuchsiamill_platform::Result<Vec<Deletion>> {
    let mut deletions = Vec::new();
    for part in tables::job_parts() {
        let own = rows.iter().filter(|it| it.part == part.as_str());
        let keys: Vec<Key> = own.cloned().collect();
        if keys.is_empty() {
            continue;
        }
        let tx = Tx { drops: keys, ..Tx::default() };
        // A transaction without conditions cannot conflict.
        if let TxAnswer::Done { version, .. } = store.commit(&tx).await? {
            deletions.push(Deletion { keys: tx.drops, version });
        }
    }
    Ok(deletions)
}

/// Releases the lease, so that another entry host can take it at once.
pub(super) async fn release(lease: &mut Lease) {
    let released = lease.release().await;
    tracing::info!(event = "lease-given-back", ok = released.is_ok());
}

fn progress_row((row, record): &(Name, JobRecord)) -> (Key, Vec<u8>) {
    (tables::progress_key(row), encode(record))
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
