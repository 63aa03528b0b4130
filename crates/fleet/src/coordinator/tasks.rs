//! The tasks of one step. Memory grows with the tasks that have run, not with the number that the step specifies.

use fuchsiamill_model::FastMap;

use super::{Task, TaskState};
use crate::Name;

static WAITING: Task = Task::plain(TaskState::Waiting, 0);
static DONE: Task = Task::plain(TaskState::Done, 1);

/// The tasks of a step in one occurrence of its job.
#[derive(Clone, Debug, Default)]
pub struct Tasks {
    count: u32,
    /// One bit for each task that is live or done; empty as long as none is, and once all are done.
    busy: Vec<u64>,
    /// Tasks that differ from one that never ran and from one that is done.
    known: FastMap<u32, Task>,
    /// The number of tasks that may be on a worker.
    live: u32,
    /// Whether all tasks are done, and none of them may be on a worker.
    is_over: bool,
}

impl Task {
    /// Returns a task that is done, of which nothing else is kept.
    pub(super) fn done() -> &'static Self {
        &DONE
    }

    const fn plain(state: TaskState, run: u32) -> Self {
        Self {
            state,
            run,
            failures: 0,
            stalls: 0,
            checkpoint: Name::new_static(""),
            last_run_end: None,
            is_superseded: false,
        }
    }
}

impl Tasks {
    /// Creates tasks that wait and never ran.
    pub fn new(count: u32) -> Self {
        Self { count, ..Self::default() }
    }

    /// Returns the number of tasks.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the number of tasks that may be on a worker.
    pub fn live(&self) -> u32 {
        self.live
    }

    /// Returns whether all tasks are done, and none of them may be on a worker.
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    /// Returns a task, or `None` if there is no such task. Of a task that is done, only its state is kept.
    pub fn get(&self, index: u32) -> Option<&Task> {
        if index >= self.count {
            return None;
        }
        let plain = if self.is_busy(index) { &DONE } else { &WAITING };
        Some(self.known.get(&index).unwrap_or(plain))
    }

    /// Returns a task for changes other than of its state, or `None` if there is no such task or it is done.
    pub fn get_mut(&mut self, index: u32) -> Option<&mut Task> {
        if index >= self.count {
            return None;
        }
        if self.is_busy(index) {
            return self.known.get_mut(&index);
        }
        Some(self.known.entry(index).or_insert_with(|| WAITING.clone()))
    }

    /// Returns the tasks that have run or may run on a worker, except those that are done, in no order.
    pub fn known(&self) -> impl Iterator<Item = (u32, &Task)> {
        self.known.iter().map(|(index, task)| (*index, task))
    }

    /// Returns the indices of the tasks that wait, in order.
    pub fn waiting(&self) -> impl Iterator<Item = u32> {
        let end = if self.is_over { 0 } else { self.count };
        (0..end).filter(|it| !self.is_busy(*it))
    }

    /// Changes the state of a task. Returns the former one, or `None` if there is no such task.
    pub(super) fn set_state(&mut self, index: u32, state: TaskState) -> Option<TaskState> {
        let plain = self.get(index)?;
        let plain = if plain.state == TaskState::Done { &DONE } else { &WAITING };
        let mut task = self.known.remove(&index).unwrap_or_else(|| plain.clone());
        self.live += u32::from(matches!(state, TaskState::Live(_)));
        self.live -= u32::from(matches!(task.state, TaskState::Live(_)));
        self.set_busy(index, state != TaskState::Waiting);
        let is_done = state == TaskState::Done;
        let former = std::mem::replace(&mut task.state, state);
        if !is_done {
            self.known.insert(index, task);
        }
        Some(former)
    }

    /// Gives all tasks the same checkpoint.
    pub(super) fn set_checkpoints(&mut self, checkpoint: &Name) {
        if checkpoint.is_empty() {
            self.known.values_mut().for_each(|it| it.checkpoint = Name::default());
            return;
        }
        for index in 0..self.count {
            if let Some(task) = self.get_mut(index) {
                task.checkpoint = checkpoint.clone();
            }
        }
    }

    /// Marks tasks as done that wait; returns their number.
    pub(super) fn finish(&mut self, indices: std::ops::Range<u32>) -> u32 {
        let mut finished = 0;
        for index in indices.start..indices.end.min(self.count) {
            if !self.is_busy(index) {
                self.known.remove(&index);
                self.set_busy(index, true);
                finished += 1;
            }
        }
        finished
    }

    /// Releases what was kept of the tasks. All of them are done.
    pub(super) fn close(&mut self) {
        *self = Self { count: self.count, is_over: true, ..Self::default() };
    }

    /// Returns about how many bytes the tasks take besides this value itself.
    pub fn heap_bytes(&self) -> usize {
        self.busy.capacity() * size_of::<u64>() + self.known.capacity() * size_of::<(u32, Task)>()
    }

    fn is_busy(&self, index: u32) -> bool {
        let word = self.busy.get(index as usize / WORD_BITS);
        self.is_over || word.is_some_and(|it| it >> (index as usize % WORD_BITS) & 1 == 1)
    }

    fn set_busy(&mut self, index: u32, is_busy: bool) {
        let words = (self.count as usize).div_ceil(WORD_BITS);
        if self.is_over {
            self.busy = vec![u64::MAX; words];
            self.is_over = false;
        }
        if self.busy.is_empty() {
            self.busy = vec![0; words];
        }
        let (word, bit) = (index as usize / WORD_BITS, 1 << (index as usize % WORD_BITS));
        match is_busy {
            true => self.busy[word] |= bit,
            false => self.busy[word] &= !bit,
        }
    }
}

const WORD_BITS: usize = u64::BITS as usize;
