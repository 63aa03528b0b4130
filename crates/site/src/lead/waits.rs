//! Logs steps that wait for long, and why.

use fuchsiamill_fleet::{
    Coordinator, Tenure,
    coordinator::{StepKey, WaitReason, WaitingStep},
};
use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};

use crate::{logging, metrics::Metrics};

/// The time between two rounds of log lines.
const LOG_INTERVAL_MS: Millisecond = 1_000;

/// Steps of which nothing was placed for this long are logged. Work near its objective has started by then.
const LONG_WAIT_MS: Millisecond = 3_000;

/// The most lines of one round.
const MAX_LINES: usize = 20;

/// The steps that wait for one reason.
#[derive(Clone, Copy, Debug, Default)]
pub struct Waits {
    /// The number of tasks that wait.
    pub tasks: u64,
    /// The longest time for which nothing of one of the steps was placed, in milliseconds.
    pub longest_ms: Millisecond,
}

/// Logs long waits once per [`LOG_INTERVAL_MS`], and which lines were left out.
#[derive(Default)]
pub struct WaitLog {
    logged: Moment,
    left_out: FastMap<String, u64>,
}

impl WaitLog {
    /// Logs the steps that wait for long, long-running ones first, and those that have waited longest. Does nothing while another
    /// coordinator may have started their tasks.
    pub fn log(
        &mut self,
        coordinator: &Coordinator,
        metrics: &Metrics,
        tenure: Tenure,
        now: Moment,
    ) {
        if now.since(self.logged) < LOG_INTERVAL_MS || tenure == Tenure::Unknown {
            return;
        }
        self.logged = now;
        let mut by_reason: FastMap<WaitReason, Waits> = FastMap::default();
        let mut long: Vec<WaitingStep> = Vec::new();
        for it in coordinator.waiting_steps(now) {
            let waits = by_reason.entry(it.reason).or_default();
            waits.tasks += u64::from(it.tasks);
            waits.longest_ms = waits.longest_ms.max(it.age_ms);
            if it.age_ms >= LONG_WAIT_MS {
                long.push(it);
            }
        }
        for reason in WaitReason::ALL {
            let waits = by_reason.get(&reason).copied().unwrap_or_default();
            metrics.set_waits(reason.as_str(), waits);
        }
        log_steps(coordinator, long, now);
        self.log_left_out();
    }

    fn log_left_out(&mut self) {
        for (kind, count) in logging::dropped_line_counts() {
            let before = self.left_out.insert(kind.clone(), count).unwrap_or(0);
            if count > before {
                tracing::warn!(event = "lines-left-out", kind, count = count - before);
            }
        }
    }
}

fn log_steps(coordinator: &Coordinator, mut long: Vec<WaitingStep>, now: Moment) {
    long.sort_by_key(|it| (!it.long_running, std::cmp::Reverse(it.age_ms)));
    let others = long.len().saturating_sub(MAX_LINES);
    long.truncate(MAX_LINES);
    let lasting: Vec<&StepKey> =
        long.iter().filter(|it| it.long_running).map(|it| &it.step).collect();
    let places = coordinator.places_for(&lasting, now);
    for (number, it) in long.iter().enumerate() {
        let (job, reason) = (&it.step.job, it.reason.as_str());
        // Long-running steps come first.
        let places = places.get(number);
        tracing::info!(
            event = "step-waits",
            %job,
            occurrence = it.step.occurrence,
            step = it.step.step,
            reason,
            tasks = it.tasks,
            age_ms = it.age_ms,
            long_running = it.long_running,
            places = places.map(|it| it.all),
            silent_places = places.map(|it| it.silent),
            avoided_places = places.map(|it| it.avoided),
            reserved_places = places.map(|it| it.reserved),
            unconfirmed_places = places.map(|it| it.unconfirmed),
            limit_percent = places.map(|_| coordinator.limit_percent(&it.step)),
        );
    }
    if others > 0 {
        tracing::info!(event = "steps-wait", others);
    }
}
