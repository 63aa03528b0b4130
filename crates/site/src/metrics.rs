//! The metrics of an entry host: opentelemetry counters, gauges and latency histograms, exported as Prometheus text.

use std::cell::{Cell, RefCell};

use anyhow::Result;
use fuchsiamill_fleet::{
    coordinator::{PoolNeed, RunsToEnd},
    durations::{RATIO_BOUNDS, Totals},
};
use fuchsiamill_http::accept;
use fuchsiamill_model::FastMap;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

use crate::{
    lead::{Exchanged, Load, START_LIMITS, Waits},
    logging,
    meters::Meters,
};

/// Bucket bounds of the latency histograms, in seconds: from the response time of a store in the same rack to the
/// longest time that a caller waits.
const LATENCY_BOUNDS: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0];

/// The metric instruments of one entry host.
pub struct Metrics {
    meters: Meters,
    requests: Counter<u64>,
    request_latency: Histogram<f64>,
    orders: Counter<u64>,
    handed_starts: Counter<u64>,
    jobs_ended: Counter<u64>,
    worker_events: Counter<u64>,
    commit_latency: Histogram<f64>,
    takeovers: Counter<u64>,
    coordinating: Gauge<u64>,
    open_jobs: Gauge<u64>,
    workers: Gauge<u64>,
    waiting_tasks: Gauge<u64>,
    longest_wait: Gauge<f64>,
    pool_hosts: Gauge<u64>,
    pool_moves: Gauge<u64>,
    runs_to_end: Gauge<u64>,
    longest_to_end: Gauge<f64>,
    exchanged_bytes: Counter<u64>,
    starts: Gauge<u64>,
    start_limit: Gauge<u64>,
    worker_call_time: Gauge<f64>,
    jobs_age: Gauge<f64>,
    config_version: Gauge<u64>,
    evacuated: Gauge<u64>,
    admissions: Counter<u64>,
    admission_age: Gauge<f64>,
    durations_learned: Counter<u64>,
    duration_ratios: Counter<u64>,
    duration_keys: Gauge<u64>,
    durations_row_age: Gauge<f64>,
    accept_failures: Counter<u64>,
    /// The failed accepts that `accept_failures` has counted already.
    counted_failures: Cell<u64>,
    log_lines_left_out: Counter<u64>,
    /// The dropped log lines of each kind that `log_lines_left_out` has counted already.
    counted_dropped: RefCell<FastMap<String, u64>>,
}

impl Metrics {
    /// Creates the instruments in a new registry.
    pub fn new() -> Result<Self> {
        let meters = Meters::new()?;
        let meter = meters.meter();
        let latency = |name: &'static str| {
            let built = meter.f64_histogram(name).with_unit("s");
            built.with_boundaries(LATENCY_BOUNDS.to_vec()).build()
        };
        Ok(Self {
            requests: meter.u64_counter("requests").build(),
            request_latency: latency("request_latency"),
            orders: meter.u64_counter("orders").build(),
            handed_starts: meter.u64_counter("handed_starts").build(),
            jobs_ended: meter.u64_counter("jobs_ended").build(),
            worker_events: meter.u64_counter("worker_events").build(),
            commit_latency: latency("change_latency"),
            takeovers: meter.u64_counter("takeovers").build(),
            coordinating: meter.u64_gauge("coordinating").build(),
            open_jobs: meter.u64_gauge("open_jobs").build(),
            workers: meter.u64_gauge("workers").build(),
            waiting_tasks: meter.u64_gauge("waiting_tasks").build(),
            longest_wait: meter.f64_gauge("longest_wait").with_unit("s").build(),
            pool_hosts: meter.u64_gauge("pool_hosts").build(),
            pool_moves: meter.u64_gauge("pool_moves").build(),
            runs_to_end: meter.u64_gauge("runs_to_end").build(),
            longest_to_end: meter.f64_gauge("longest_run_to_end").with_unit("s").build(),
            exchanged_bytes: meter.u64_counter("exchanged_bytes").build(),
            starts: meter.u64_gauge("starts").build(),
            start_limit: meter.u64_gauge("start_limit").build(),
            worker_call_time: meter.f64_gauge("worker_call_time").with_unit("s").build(),
            jobs_age: meter.f64_gauge("jobs_age").with_unit("s").build(),
            config_version: meter.u64_gauge("config_version").build(),
            evacuated: meter.u64_gauge("evacuated_data_centres").build(),
            admissions: meter.u64_counter("admissions").build(),
            admission_age: meter.f64_gauge("admission_data_age").with_unit("s").build(),
            durations_learned: meter.u64_counter("durations_learned").build(),
            duration_ratios: meter.u64_counter("duration_ratios").build(),
            duration_keys: meter.u64_gauge("duration_keys").build(),
            durations_row_age: meter.f64_gauge("durations_row_age").with_unit("s").build(),
            accept_failures: meter.u64_counter("accept_failures").build(),
            counted_failures: Cell::default(),
            log_lines_left_out: meter.u64_counter("log_lines_left_out").build(),
            counted_dropped: RefCell::default(),
            meters,
        })
    }

    /// Counts an answered request and records its latency in milliseconds.
    pub fn answered(&self, status: u16, ms: u64) {
        self.requests.add(1, &[KeyValue::new("status", i64::from(status))]);
        self.request_latency.record(ms as f64 / 1_000.0, &[]);
    }

    /// Counts an order of the coordinator.
    pub fn ordered(&self, kind: &'static str) {
        self.orders.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts starts that were handed to another entry host, by outcome: `sent` and `not-sent` at the sender, `answered`,
    /// `unanswered`, `unreachable` and `given-up` at the coordinator.
    pub fn handed_starts(&self, outcome: &'static str, count: usize) {
        self.handed_starts.add(count as u64, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a job that has ended in `stage`.
    pub fn job_ended(&self, stage: &'static str) {
        self.jobs_ended.add(1, &[KeyValue::new("stage", stage)]);
    }

    /// Counts a worker that fell silent, is gone or reported itself unhealthy.
    pub fn worker_event(&self, kind: &'static str) {
        self.worker_events.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Records the latency of a transaction of the coordinator in milliseconds.
    pub fn committed(&self, ms: u64) {
        self.commit_latency.record(ms as f64 / 1_000.0, &[]);
    }

    /// Records that this process began or ceased to coordinate.
    pub fn set_coordinating(&self, is_coordinating: bool) {
        if is_coordinating {
            self.takeovers.add(1, &[]);
        }
        self.coordinating.record(is_coordinating.into(), &[]);
    }

    /// Records the numbers of open jobs and of workers that take tasks.
    pub fn set_sizes(&self, open_jobs: usize, workers: usize) {
        self.open_jobs.record(open_jobs as u64, &[]);
        self.workers.record(workers as u64, &[]);
    }

    /// Records how many tasks wait for a reason, and the longest time for which nothing of one of their steps was placed.
    pub fn set_waits(&self, reason: &'static str, waits: Waits) {
        let labels = [KeyValue::new("reason", reason)];
        self.waiting_tasks.record(waits.tasks, &labels);
        self.longest_wait.record(waits.longest_ms as f64 / 1_000.0, &labels);
    }

    /// Records the hosts of a pool: those that it has, its claim and share, what keeps some of them from other work, and
    /// the moves to it.
    pub fn set_pool(&self, need: &PoolNeed) {
        let kinds = [
            ("in-pool", need.hosts),
            ("wanted", need.wanted),
            ("claim", need.claim),
            ("share", need.share),
            ("standing", need.standing),
            ("drained", need.drained),
            ("held", need.held),
            ("packed", need.packed),
            ("kept", need.kept),
        ];
        for (kind, hosts) in kinds {
            let labels =
                [KeyValue::new("pool", need.pool.to_string()), KeyValue::new("kind", kind)];
            self.pool_hosts.record(hosts, &labels);
        }
        self.pool_moves.record(need.moves, &[KeyValue::new("pool", need.pool.to_string())]);
    }

    /// Records how many runs have to end, and the longest time that one of them has been in its phase.
    pub fn set_runs_to_end(&self, runs: RunsToEnd) {
        self.runs_to_end.record(runs.count as u64, &[]);
        self.longest_to_end.record(runs.longest_ms as f64 / 1_000.0, &[]);
    }

    /// Counts the bytes that a coordinator exchanged, and records how long the fastest quarter of its calls to workers
    /// took and how old its copy of the table of jobs is.
    pub fn loaded(&self, load: &Load) {
        for (peer, bytes) in [("store", &load.store), ("workers", &load.workers)] {
            let Exchanged { sent, received } = bytes;
            for (way, count) in [("sent", *sent), ("received", *received)] {
                let labels = [KeyValue::new("peer", peer), KeyValue::new("way", way)];
                self.exchanged_bytes.add(count, &labels);
            }
        }
        self.worker_call_time.record(load.calls.fastest_quarter_ms as f64 / 1_000.0, &[]);
        self.jobs_age.record(load.jobs_age_ms as f64 / 1_000.0, &[]);
        let starts = &load.starts;
        let kinds = [
            ("window", starts.window.size),
            ("under-way", starts.window.under_way),
            ("waiting", starts.waiting),
        ];
        for (kind, count) in kinds {
            self.starts.record(count as u64, &[KeyValue::new("kind", kind)]);
        }
        for limit in START_LIMITS {
            let is_in_force = u64::from(starts.limit() == limit);
            self.start_limit.record(is_in_force, &[KeyValue::new("limit", limit)]);
        }
    }

    /// Records the version of the configuration in force.
    pub fn configured(&self, version: u64) {
        self.config_version.record(version, &[]);
    }

    /// Records how many data centres are evacuated.
    pub fn set_evacuated(&self, data_centres: usize) {
        self.evacuated.record(data_centres as u64, &[]);
    }

    /// Counts a decision on a posted job, by its basis or by the reason of the refusal.
    pub fn admission(&self, decision: &'static str) {
        self.admissions.add(1, &[KeyValue::new("decision", decision)]);
    }

    /// Records the age of the data by which jobs are admitted; 0 while there is none.
    pub fn set_admission_age(&self, ms: u64) {
        self.admission_age.record(ms as f64 / 1_000.0, &[]);
    }

    /// Counts runs that durations were learned from, by kind and by the upper end of the ratio of actual to predicted time, and
    /// records the number of keys and the age of the stored row.
    pub fn learned(&self, new: &Totals, keys: usize, row_age_ms: u64) {
        let kinds = [
            ("ended", new.samples),
            ("coarser-key", new.fallbacks),
            ("unpredicted", new.unpredicted),
            ("stopped", new.stopped),
        ];
        for (kind, count) in kinds {
            self.durations_learned.add(count, &[KeyValue::new("kind", kind)]);
        }
        let bounds = RATIO_BOUNDS.iter().map(|it| format!("{}", *it as f64 / 100.0));
        for (bound, count) in bounds.chain(["more".to_owned()]).zip(new.ratios) {
            self.duration_ratios.add(count, &[KeyValue::new("upto", bound)]);
        }
        self.duration_keys.record(keys as u64, &[]);
        self.durations_row_age.record(row_age_ms as f64 / 1_000.0, &[]);
    }

    /// Returns all metrics as Prometheus text.
    pub fn text(&self) -> Result<String> {
        let failures = accept::failures();
        self.accept_failures.add(failures - self.counted_failures.replace(failures), &[]);
        let mut counted = self.counted_dropped.borrow_mut();
        for (kind, dropped) in logging::dropped_line_counts() {
            let before = counted.insert(kind.clone(), dropped).unwrap_or(0);
            self.log_lines_left_out.add(dropped - before, &[KeyValue::new("kind", kind)]);
        }
        self.meters.page()
    }
}
