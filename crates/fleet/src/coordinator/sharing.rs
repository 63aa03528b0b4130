//! Keeps tasks that fill unused capacity from harming tasks that serve users of their own.

use fuchsiamill_model::units::Moment;

use super::{
    Coordinator, Order, Phase,
    live::{FULL_PERCENT, PaceSet, Speed},
};
use crate::{Name, RunInfo, TaskId, WorkerReport};

/// A tail above this part of its target slows the tasks that fill, in per cent.
const TAIL_HIGH_PERCENT: u64 = 85;

/// A tail below this part of its target lets them work more, in per cent.
const TAIL_LOW_PERCENT: u64 = 60;

/// How much faster they may become with one report, in per cent of their speed.
const SPEED_UP_PERCENT: u32 = 15;

/// Below this speed they are paused: the target is missed for another cause than their amount.
const LEAST_PERCENT: u32 = 10;

/// How the tails of a worker's serving tasks compare with their targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tails {
    /// All are far below.
    Low,
    /// None is near, or nothing is known.
    Fair,
    /// One is near its target or above it.
    High,
}

impl Coordinator {
    /// Sets the speed of the tasks that fill on a worker by the tails in its report.
    pub(super) fn share_worker(&mut self, worker: &Name, report: &WorkerReport, now: Moment) {
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
            // Of a task that ends, the report tells its progress, not its speed.
            let (percent, is_known) = match long_running {
                true => (seen.percent, true),
                false => (live.speed.percent(), live.speed != Speed::Unknown),
            };
            let next = match tails {
                Tails::High if percent <= LEAST_PERCENT => 0,
                Tails::High => percent / 2,
                Tails::Fair => percent,
                Tails::Low => (percent + SPEED_UP_PERCENT).min(FULL_PERCENT),
            };
            if next != percent || !is_known {
                live.speed = Speed::Ordered(PaceSet { at: now, percent: next });
                let (worker, task, run) = (worker.clone(), seen.task.clone(), seen.run);
                self.released.push(Order::Pace { worker, task, run, percent: next });
            }
        }
    }

    /// An order to set a run's speed was not answered.
    pub fn pace_failed(&mut self, id: &TaskId, run: u32) {
        if self.run_of(id) == run
            && let Some(live) = self.live_mut(id)
        {
            live.speed = Speed::Unknown;
        }
    }

    fn tails(&self, report: &WorkerReport) -> Tails {
        let tails = report.running.iter().filter_map(|it| {
            let target = self.step_of(&it.task)?.tail_target_ms?;
            Some(if it.load.saturating_mul(100) > target.saturating_mul(TAIL_HIGH_PERCENT) {
                Tails::High
            } else if it.load.saturating_mul(100) > target.saturating_mul(TAIL_LOW_PERCENT) {
                Tails::Fair
            } else {
                Tails::Low
            })
        });
        tails.max().unwrap_or(Tails::Low)
    }
}
