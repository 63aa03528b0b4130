//! Keeps best-effort tasks, which take only unused processor time, from harming tasks that serve users of their own.

use fuchsiamill_model::units::Moment;

use super::{
    Coordinator, Order, Phase,
    live::{FULL_PERCENT, Speed, SpeedOrder},
};
use crate::{Name, RunInfo, TaskId, WorkerReport};

/// A tail latency above this part of its target slows the best-effort tasks on the worker, in per cent.
const TAIL_HIGH_PERCENT: u64 = 85;

/// Tail latencies below this part of their targets let the best-effort tasks speed up, in per cent.
const TAIL_LOW_PERCENT: u64 = 60;

/// How much faster a best-effort task may become with one report, in per cent of full speed.
const SPEED_UP_PERCENT: u32 = 15;

/// A best-effort task at this speed or less, in per cent of full speed, is paused when a tail latency is high: the
/// target is then missed for another reason than how much such tasks do.
const MIN_SPEED_PERCENT: u32 = 10;

/// How the tail latencies of a worker's serving tasks compare with their targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TailLevel {
    /// All are far below their targets, or the worker has no such tasks.
    Low,
    /// None is near its target, but not all are far below.
    Fair,
    /// One is near its target or above it.
    High,
}

impl Coordinator {
    /// Sets the speed of the best-effort tasks on a worker by the tail latencies in its report.
    pub(super) fn adjust_best_effort_speeds(
        &mut self,
        worker: &Name,
        report: &WorkerReport,
        now: Moment,
    ) {
        let tails = self.tails(report);
        let best_effort: Vec<&RunInfo> = report
            .running
            .iter()
            .filter(|it| self.step_of(&it.task).is_some_and(|step| step.best_effort))
            .collect();
        for seen in best_effort {
            let long_running = self.step_of(&seen.task).is_some_and(|it| it.long_running);
            let Some(live) = self.live_mut(&seen.task) else { continue };
            let is_older = matches!(live.speed, Speed::Ordered(it) if report.asked <= it.at);
            if live.phase != Phase::Running || is_older {
                continue;
            }
            // For a task that ends by itself, the report contains its progress and not its speed.
            let (percent, is_known) = match long_running {
                true => (seen.percent, true),
                false => (live.speed.percent(), live.speed != Speed::Unknown),
            };
            let next = match tails {
                TailLevel::High if percent <= MIN_SPEED_PERCENT => 0,
                TailLevel::High => percent / 2,
                TailLevel::Fair => percent,
                TailLevel::Low => (percent + SPEED_UP_PERCENT).min(FULL_PERCENT),
            };
            if next != percent || !is_known {
                live.speed = Speed::Ordered(SpeedOrder { at: now, percent: next });
                let (worker, task, run) = (worker.clone(), seen.task.clone(), seen.run);
                self.ready_orders.push(Order::Pace { worker, task, run, percent: next });
            }
        }
    }

    /// Notes that an order to set a run's speed was not answered.
    pub fn pace_failed(&mut self, id: &TaskId, run: u32) {
        if self.run_of(id) == run
            && let Some(live) = self.live_mut(id)
        {
            live.speed = Speed::Unknown;
        }
    }

    fn tails(&self, report: &WorkerReport) -> TailLevel {
        let tails = report.running.iter().filter_map(|it| {
            let target = self.step_of(&it.task)?.tail_target_ms?;
            Some(if it.load.saturating_mul(100) > target.saturating_mul(TAIL_HIGH_PERCENT) {
                TailLevel::High
            } else if it.load.saturating_mul(100) > target.saturating_mul(TAIL_LOW_PERCENT) {
                TailLevel::Fair
            } else {
                TailLevel::Low
            })
        });
        tails.max().unwrap_or(TailLevel::Low)
    }
}
