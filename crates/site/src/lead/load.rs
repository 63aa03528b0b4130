//! Rebuilds the coordinator's state from the store.

use std::{sync::Arc, time::Duration};

use fuchsiamill_fleet::{
    Coordinator, JobRecord, JobSpec, Name,
    coordinator::{Takeover, WaveRecord},
};
use fuchsiamill_model::{FastMap, FastSet, units::Moment};
use fuchsiamill_platform::{InvalidEntry, Row, read_worker, tables as shared};
use monoio::time::sleep;

use super::{
    Candidate,
    feeds::{TableRead, read_table},
};
use crate::tables;

/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(80);

/// Versions from which the feeds go on.
pub struct Loaded {
    /// The state.
    pub coordinator: Coordinator,
    /// Of the table of jobs.
    pub jobs_version: u64,
    /// Of the table of workers.
    pub workers_version: u64,
    /// Entries of workers that cannot be read.
    pub odd_entries: OddEntries,
    /// What earlier coordinators did of waves.
    pub waves: FastMap<u64, WaveRecord>,
    /// Jobs of which only the progress is left: it has to be dropped.
    pub orphans: Vec<Name>,
}

/// Reads everything; the caller gives up when the lease is lost meanwhile.
pub async fn load(cx: &Candidate, takeover: Takeover, store_ms: u64) -> Loaded {
    let begun = cx.clock.now();
    let parts = [tables::COORDINATOR_PART.to_owned()];
    let own = read_patiently(cx, tables::COORDINATOR, &parts).await.rows;
    let waves = own.iter().filter_map(read_wave_record).collect();
    let progress = read_patiently(cx, tables::PROGRESS, &parts).await.rows;
    let job_parts: Vec<String> = tables::job_parts().collect();
    let jobs_read = read_patiently(cx, tables::JOBS, &job_parts).await;
    let (jobs, jobs_version) = (jobs_read.rows, jobs_read.version);
    let workers_read = read_patiently(cx, shared::WORKERS, &[String::new()]).await;
    let (workers, workers_version) = (workers_read.rows, workers_read.version);
    let config = cx.intent.borrow().config.clone().unwrap_or_default();
    let mut coordinator = Coordinator::new(cx.terms.clone(), config, takeover);
    note_former_orders(&mut coordinator, &own, (store_ms, begun));
    let mut odd_entries = OddEntries::default();
    for row in &workers {
        apply_worker(&mut coordinator, &mut odd_entries, row, cx);
    }
    let records: FastMap<Name, JobRecord> =
        progress.iter().filter_map(|it| Some((it.key.key.clone(), read_record(it)?))).collect();
    for row in &jobs {
        apply_job(&mut coordinator, row, records.get(&row.key.key), cx);
    }
    let known: FastSet<&Name> = jobs.iter().map(|it| &it.key.key).collect();
    // The job of a progress may be one of the unreadable rows: it is kept for a coordinator that can read them.
    let is_orphan = |it: &&Name| jobs_read.unreadable == 0 && !known.contains(*it);
    let orphans = records.keys().filter(is_orphan).cloned().collect();
    tracing::info!(
        event = "state-loaded",
        jobs = jobs.len(),
        open = coordinator.open_jobs(),
        workers = workers.len(),
        runs_to_end = coordinator.runs_to_end(cx.clock.now()).count
    );
    Loaded { coordinator, jobs_version, workers_version, odd_entries, waves, orphans }
}

async fn read_patiently(cx: &Candidate, table: &str, parts: &[String]) -> TableRead {
    loop {
        match read_table(&cx.store, table, parts).await {
            Ok(read) if read.unreadable == 0 || !is_ours_alone(table) => return read,
            Ok(read) => {
                let rows = read.unreadable;
                tracing::debug!(event = "read-failed", table, rows, error = "unreadable rows");
            }
            Err(e) => tracing::debug!(event = "read-failed", table, error = %e),
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Whether only coordinators write a table: without a row of it, runs that are there would be started again.
fn is_ours_alone(table: &str) -> bool {
    table == tables::PROGRESS || table == tables::COORDINATOR
}

/// Another coordinator's orders to a host must not take turns with ours.
fn note_former_orders(coordinator: &mut Coordinator, rows: &[Row], (store_ms, at): (u64, Moment)) {
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

/// Takes a row of the jobs' table in: a job or the wish to cancel one.
pub fn apply_job(
    coordinator: &mut Coordinator,
    row: &Row,
    record: Option<&JobRecord>,
    cx: &Candidate,
) {
    if row.is_removed {
        return;
    }
    let now = cx.clock.now();
    if let Some(id) = tables::cancelled_job(&row.key.key) {
        coordinator.cancel(&Name::from(id), now);
        return;
    }
    match serde_json::from_slice::<JobSpec>(&row.value) {
        Ok(spec) => {
            let id = row.key.key.clone();
            coordinator.accept(id, Arc::new(spec), record, now, cx.clock.wall());
        }
        Err(e) => tracing::error!(event = "job-unreadable", job = %row.key.key, error = %e),
    }
}

/// Entries that name no worker to use. Each is told of once, however often it is written again.
#[derive(Debug, Default)]
pub struct OddEntries(FastSet<Name>);

impl OddEntries {
    /// Forgets those that are no longer in the table.
    pub fn retain(&mut self, listed: &FastSet<&Name>) {
        self.0.retain(|it| listed.contains(it));
    }

    fn note(&mut self, id: &Name, why: &InvalidEntry) {
        if self.0.insert(id.clone()) {
            tracing::warn!(event = "worker-unreadable", worker = %id, error = %why);
        }
    }

    fn note_good(&mut self, id: &Name) {
        if self.0.remove(id) {
            tracing::info!(event = "worker-readable", worker = %id);
        }
    }
}

/// Takes a row of the workers' table in. A worker whose entry can no longer be read takes no new tasks, and what may run
/// on it counts until it has ended: so it is with one whose entry is gone.
pub fn apply_worker(
    coordinator: &mut Coordinator,
    odd: &mut OddEntries,
    row: &Row,
    cx: &Candidate,
) {
    let id = &row.key.key;
    if row.is_removed {
        odd.0.remove(id);
        coordinator.worker_unlisted(id);
        return;
    }
    match read_worker(id, &row.value) {
        Ok(seen) => {
            odd.note_good(id);
            coordinator.worker_listed(seen, cx.clock.now());
        }
        Err(e) => {
            odd.note(id, &e);
            coordinator.worker_unlisted(id);
        }
    }
}
