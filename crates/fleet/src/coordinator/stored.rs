//! A job's progress as it is stored, and read by the next coordinator.

use std::ops::Range;

use fuchsiamill_model::units::Moment;

use super::{Job, LiveRun, Phase, TaskState, live::Speed};
use crate::{DoneRange, JobRecord, Name, RECORD_TASKS, TaskId, TaskRecord};

impl Job {
    /// Returns one row of the job's record as it is stored.
    pub fn record(&self, part: u32) -> JobRecord {
        let team = if part == 0 { self.spec.team.clone() } else { Name::default() };
        let mut record = JobRecord { stage: self.stage, team, ..JobRecord::default() };
        if self.stage.is_over() && self.live == 0 {
            return record;
        }
        self.each_range_of(part, |occurrence, step, range| {
            let Some(tasks) = self.occurrences[occurrence as usize].steps.get(step as usize) else {
                let (first, count) = (range.start, range.end - range.start);
                record.push_done(DoneRange { occurrence, step, first, count });
                return;
            };
            for index in range {
                let Some(task) = tasks.tasks.get(index).filter(|it| it.run > 0) else { continue };
                if task.state == TaskState::Done {
                    record.push_done(DoneRange { occurrence, step, first: index, count: 1 });
                    continue;
                }
                record.tasks.push(TaskRecord {
                    occurrence,
                    step,
                    index,
                    run: task.run,
                    failures: task.failures,
                    done: task.is_superseded,
                    on: task.live().map(|it| (it.worker.clone(), it.born)),
                    checkpoint: task.checkpoint.clone(),
                });
            }
        });
        record
    }

    /// Restores what an earlier coordinator stored; returns the tasks that may be on a worker.
    pub fn restore(&mut self, record: &JobRecord, now: Moment) -> Vec<(TaskId, LiveRun)> {
        self.stage = record.stage;
        self.parts = record.parts.max(1);
        self.has_begun =
            !record.done.is_empty() || record.tasks.iter().any(|it| it.done || it.failures > 0);
        for it in &record.done {
            self.restore_done(it);
        }
        let mut live = Vec::new();
        for it in &record.tasks {
            self.open_until(it.occurrence);
            let id = it.id(&self.id);
            if it.done && it.on.is_none() {
                self.set_state(&id, TaskState::Done);
                continue;
            }
            let Some(task) = self.task_mut(&id) else { continue };
            task.run = it.run;
            task.failures = it.failures;
            task.checkpoint = it.checkpoint.clone();
            if let Some((worker, born)) = &it.on {
                let run = LiveRun {
                    worker: worker.clone(),
                    born: *born,
                    phase: Phase::Inherited,
                    since: now,
                    last_seen_working: None,
                    progress: None,
                    speed: Speed::Unknown,
                    stop_ordered: None,
                    checkpoint: it.checkpoint.clone(),
                    is_inherited: true,
                    is_listed: false,
                    lost_start: None,
                    began_cold: false,
                };
                self.set_state(&id, TaskState::Live(run.clone()));
                if it.done {
                    self.supersede(&id);
                }
                live.push((id, run));
            }
        }
        live
    }

    fn restore_done(&mut self, it: &DoneRange) {
        self.open_until(it.occurrence);
        let run = self.occurrences.get_mut(it.occurrence as usize);
        let Some(step) = run.and_then(|run| run.steps.get_mut(it.step as usize)) else { return };
        let finished = step.tasks.finish(it.first..it.first.saturating_add(it.count));
        step.done += finished;
        step.waiting -= finished;
        self.waiting -= finished;
        self.close_done(it.occurrence as usize, it.step as usize);
    }

    /// Opens the occurrences up to one that an earlier coordinator had opened.
    fn open_until(&mut self, occurrence: u32) {
        let expected = self.spec.schedule.map_or(1, |it| it.times);
        while self.occurrences.len() <= occurrence as usize && occurrence < expected {
            self.open_next();
        }
    }

    /// Visits the tasks whose progress is in one row, as ranges of steps.
    fn each_range_of(&self, part: u32, mut f: impl FnMut(u32, u16, Range<u32>)) {
        let count = self.spec.task_count();
        let first = u64::from(part) * RECORD_TASKS;
        let rows = first..first + RECORD_TASKS;
        for k in first.checked_div(count).unwrap_or(0)..self.occurrences.len() as u64 {
            let mut begin = k * count;
            for (s, step) in self.spec.steps.iter().enumerate() {
                let end = begin + u64::from(step.count);
                let (from, to) = (begin.max(rows.start), end.min(rows.end));
                if from < to {
                    f(k as u32, s as u16, (from - begin) as u32..(to - begin) as u32);
                }
                begin = end;
            }
            if begin >= rows.end {
                return;
            }
        }
    }
}
