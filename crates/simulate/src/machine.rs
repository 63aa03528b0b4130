//! The model of a host and its worker.

use std::collections::BTreeMap;

use fuchsiamill_fleet::{
    Ending, HostInfo, HostState, Name, RunEnd, RunInfo, TaskId, WorkerInfo, WorkerState,
};
use fuchsiamill_model::{Resources, units::Millisecond};

/// A run that is in progress on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) run: u32,
    pub(crate) started: Millisecond,
    pub(crate) ends: Millisecond,
}

/// A simulated host and the worker on it.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub(crate) name: Name,
    pub(crate) rack: Name,
    pub(crate) pool: Name,
    pub(crate) state: HostState,
    /// The time at which the host is up again, while it is not.
    pub(crate) until: Millisecond,
    /// The incarnation of the worker.
    pub(crate) incarnation: u64,
    pub(crate) running: BTreeMap<TaskId, Running>,
    pub(crate) ended: Vec<RunEnd>,
    /// The number of the last run end.
    last_end: u64,
}

impl Machine {
    pub(crate) fn new(name: Name, rack: Name, pool: Name) -> Self {
        Self {
            name,
            rack,
            pool,
            state: HostState::Up,
            until: 0,
            incarnation: 1,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
        }
    }

    /// Returns the id of the current worker.
    pub(crate) fn worker_id(&self) -> Name {
        format!("{}-{}", self.name, self.incarnation).into()
    }

    /// Begins a new incarnation of the worker, which knows nothing of the runs of the former one.
    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.running.clear();
        self.ended.clear();
        self.last_end = 0;
    }

    /// Ends a run and adds its end to the next report.
    pub(crate) fn end(&mut self, task: &TaskId, ending: Ending) {
        let Some(it) = self.running.remove(task) else { return };
        self.last_end += 1;
        self.ended.push(RunEnd {
            number: self.last_end,
            task: task.clone(),
            run: it.run,
            ending,
            checkpoint: Name::default(),
        });
    }

    /// Returns the worker's entry in the worker list.
    pub(crate) fn worker_info(&self, capacity: Resources) -> WorkerInfo {
        WorkerInfo {
            id: self.worker_id(),
            born: self.incarnation,
            pool: self.pool.clone(),
            addr: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: "a".into(),
            state: WorkerState::Ready,
            capacity,
            labels: self.labels(),
            cold_remaining_ms: 0,
        }
    }

    /// Returns the host's entry in the host list.
    pub(crate) fn host_info(&self, capacity: Resources, has_worker: bool) -> HostInfo {
        HostInfo {
            host: self.name.clone(),
            pool: self.pool.clone(),
            state: self.state,
            data_centre: "a".into(),
            labels: self.labels(),
            capacity,
            worker: has_worker.then(|| self.worker_id()),
        }
    }

    /// Returns the labels of the host: its kind and its rack.
    fn labels(&self) -> Vec<Name> {
        vec!["kind".into(), self.rack.clone()]
    }

    /// Returns the current runs with their progress at the time `now`.
    pub(crate) fn runs(&self, now: Millisecond) -> Vec<RunInfo> {
        let run_info = |(task, it): (&TaskId, &Running)| RunInfo {
            task: task.clone(),
            run: it.run,
            checkpoint: Name::default(),
            percent: ((now - it.started) * 100 / (it.ends - it.started).max(1)).min(100) as u32,
            load: 0,
        };
        self.running.iter().map(run_info).collect()
    }
}
