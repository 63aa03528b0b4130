//! Rebuilds the coordinator's state from the store.

use std::{sync::Arc, time::Duration};

use fuchsiamill_fleet::{
    Coordinator, JobRecord, JobSpec, Name, RecordKey,
    coordinator::{Takeover, UnlistedWorker, WaveRecord},
};
use fuchsiamill_model::{FastMap, FastSet, units::Moment};
use fuchsiamill_platform::{InvalidEntry, Row, read_worker, tables as shared};
use monoio::time::sleep;

use super::{
    Candidate, durations,
    feeds::{TableRead, read_table},
};
use crate::tables;

/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(80);

/// The coordinator's state as loaded, and what the leader needs to go on from it.
pub struct Loaded {
    /// The coordinator with all jobs and workers.
    pub coordinator: Coordinator,
    /// The version from which the feed of jobs goes on.
    pub jobs_version: u64,
    /// The version from which the feed of workers goes on.
    pub workers_version: u64,
    /// Workers whose rows cannot be decoded.
    pub unreadable_workers: UnreadableWorkers,
    /// Records of maintenance waves that earlier coordinators stored, by wave number.
    pub waves: FastMap<u64, WaveRecord>,
    /// Rows of progress whose job is gone; they have to be deleted.
    pub orphans: Vec<Name>,
}

/// Loads the state from the store, retrying without limit; the caller cancels it if the lease is lost meanwhile.
pub async fn load(cx: &Candidate, takeover: Takeover, store_ms: u64) -> Loaded {
    let begun = cx.clock.now();
    let parts = [tables::COORDINATOR_PART.to_owned()];
    let own = read_with_retries(cx, tables::COORDINATOR, &parts).await.rows;
    let waves = own.iter().filter_map(read_wave_record).collect();
    let progress = read_with_retries(cx, tables::PROGRESS, &parts).await.rows;
    let job_parts: Vec<String> = tables::job_parts().collect();
    let jobs_read = read_with_retries(cx, tables::JOBS, &job_parts).await;
    let (jobs, jobs_version) = (jobs_read.rows, jobs_read.version);
    let workers_read = read_with_retries(cx, shared::WORKERS, &[String::new()]).await;
    let (workers, workers_version) = (workers_read.rows, workers_read.version);
    let config = cx.intent.borrow().config.clone().unwrap_or_default();
    let mut coordinator = Coordinator::new(cx.timing.clone(), config, takeover);
    coordinator.set_admission(cx.is_admission_on);
    if cx.learns_durations {
        coordinator.learn_durations(durations::read(&own, store_ms));
    }
    apply_former_orders(&mut coordinator, &own, (store_ms, begun));
    let mut unreadable_workers = UnreadableWorkers::default();
    for row in &workers {
        apply_worker(&mut coordinator, &mut unreadable_workers, row, cx);
    }
    let mut records: FastMap<Name, Vec<(u32, JobRecord)>> = FastMap::default();
    for row in &progress {
        if let Some(record) = read_record(row) {
            let RecordKey { job, part } = RecordKey::from_row_name(&row.key.key);
            records.entry(job).or_default().push((part, record));
        }
    }
    for row in &jobs {
        let record = records.get(&row.key.key).map_or(&[][..], Vec::as_slice);
        apply_job(&mut coordinator, row, record, cx);
    }
    apply_unlisted_workers(&mut coordinator, &own);
    let known: FastSet<&Name> = jobs.iter().map(|it| &it.key.key).collect();
    // While some job rows are unreadable, a progress row without a job may belong to one of them. It is kept for a
    // coordinator that can read them.
    let is_orphan = |it: &&Name| jobs_read.unreadable == 0 && !known.contains(*it);
    let rows = progress.iter().map(|it| &it.key.key);
    let orphans =
        rows.filter(|row| is_orphan(&&RecordKey::from_row_name(row).job)).cloned().collect();
    tracing::info!(
        event = "state-loaded",
        jobs = jobs.len(),
        open = coordinator.open_jobs(),
        workers = workers.len(),
        runs_to_end = coordinator.runs_to_end(cx.clock.now()).count
    );
    Loaded { coordinator, jobs_version, workers_version, unreadable_workers, waves, orphans }
}

async fn read_with_retries(cx: &Candidate, table: &str, parts: &[String]) -> TableRead {
    loop {
        match read_table(&cx.store, table, parts).await {
            Ok(read) if read.unreadable == 0 || !is_coordinator_table(table) => return read,
            Ok(read) => {
                let rows = read.unreadable;
                tracing::debug!(event = "read-failed", table, rows, error = "unreadable rows");
            }
            Err(e) => tracing::debug!(event = "read-failed", table, error = %e),
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Returns whether a table is written by coordinators only. Such a table has to be read completely: if one of its rows
/// were left out, runs that exist would be started again.
fn is_coordinator_table(table: &str) -> bool {
    table == tables::PROGRESS || table == tables::COORDINATOR
}

/// Passes former coordinators' recent orders to hosts on to the coordinator, so that its own orders do not alternate
/// with late ones of theirs.
fn apply_former_orders(coordinator: &mut Coordinator, rows: &[Row], (store_ms, at): (u64, Moment)) {
    let Some(row) = rows.iter().find(|it| it.key == tables::host_orders_key()) else { return };
    let ordered: Vec<(Name, u64)> = match serde_json::from_slice(&row.value) {
        Ok(ordered) => ordered,
        Err(e) => {
            tracing::error!(event = "host-orders-unreadable", error = %e);
            return;
        }
    };
    for (host, ordered_ms) in ordered {
        coordinator.note_former_order(host, at - store_ms.saturating_sub(ordered_ms));
    }
}

/// Passes on where workers take orders that have runs and whose entries are gone.
fn apply_unlisted_workers(coordinator: &mut Coordinator, rows: &[Row]) {
    let Some(row) = rows.iter().find(|it| it.key == tables::unlisted_workers_key()) else { return };
    match serde_json::from_slice::<Vec<UnlistedWorker>>(&row.value) {
        Ok(stored) => stored.into_iter().for_each(|it| coordinator.worker_remembered(it)),
        Err(e) => tracing::error!(event = "unlisted-workers-unreadable", error = %e),
    }
}

fn read_wave_record(row: &Row) -> Option<(u64, WaveRecord)> {
    let number = row.key.key.strip_prefix(tables::WAVE_PREFIX)?.parse().ok()?;
    let record = serde_json::from_slice(&row.value)
        .inspect_err(|e| tracing::error!(event = "wave-unreadable", wave = number, error = %e));
    Some((number, record.ok()?))
}

fn read_record(row: &Row) -> Option<JobRecord> {
    serde_json::from_slice(&row.value)
        .inspect_err(|e| {
            tracing::error!(event = "progress-unreadable", job = %row.key.key, error = %e);
        })
        .ok()
}

/// Applies a row of the table of jobs: a job, with the rows of its progress, or a request to cancel one.
pub fn apply_job(
    coordinator: &mut Coordinator,
    row: &Row,
    progress: &[(u32, JobRecord)],
    cx: &Candidate,
) {
    if row.is_removed {
        coordinator.job_row_removed(&row.key.key);
        return;
    }
    let now = cx.clock.now();
    if tables::is_cancellation(&row.key.key) {
        match tables::read_cancellation(row) {
            Ok(request) => coordinator.cancel_in_scope(&request, now),
            Err(e) => tracing::error!(event = "cancel-unreadable", key = %row.key.key, error = %e),
        }
        return;
    }
    match serde_json::from_slice::<JobSpec>(&row.value) {
        Ok(spec) => {
            let id = row.key.key.clone();
            let record = JobRecord::merge(progress, &spec);
            coordinator.accept(id, Arc::new(spec), record.as_ref(), now, cx.clock.wall());
        }
        Err(e) => {
            tracing::error!(event = "job-unreadable", job = %row.key.key, error = %e);
            coordinator.job_unreadable(&row.key.key);
        }
    }
}

/// Workers whose rows cannot be decoded. Each is logged once, however often its row is rewritten.
#[derive(Debug, Default)]
pub struct UnreadableWorkers(FastSet<Name>);

impl UnreadableWorkers {
    /// Forgets workers that are not in `listed`, the keys of the table of workers.
    pub fn retain(&mut self, listed: &FastSet<&Name>) {
        self.0.retain(|it| listed.contains(it));
    }

    fn log_unreadable(&mut self, id: &Name, reason: &InvalidEntry) {
        if self.0.insert(id.clone()) {
            tracing::warn!(event = "worker-unreadable", worker = %id, error = %reason);
        }
    }

    fn log_readable(&mut self, id: &Name) {
        if self.0.remove(id) {
            tracing::info!(event = "worker-readable", worker = %id);
        }
    }
}

/// Applies a row of the table of workers. A worker whose row can no longer be decoded is handled like one whose row was
/// removed: it gets no new tasks, and whatever may run on it counts until it has ended.
pub fn apply_worker(
    coordinator: &mut Coordinator,
    unreadable_workers: &mut UnreadableWorkers,
    row: &Row,
    cx: &Candidate,
) {
    let id = &row.key.key;
    if row.is_removed {
        unreadable_workers.0.remove(id);
        coordinator.worker_unlisted(id);
        return;
    }
    match read_worker(id, &row.value) {
        Ok(seen) => {
            unreadable_workers.log_readable(id);
            coordinator.worker_listed(seen, cx.clock.now());
        }
        Err(e) => {
            unreadable_workers.log_unreadable(id, &e);
            coordinator.worker_unlisted(id);
        }
    }
}
