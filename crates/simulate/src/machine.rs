//! A host as it really is.

use std::collections::BTreeMap;

use fuchsiamill_fleet::{
    Ending, HostInfo, HostState, Name, RunEnd, RunInfo, TaskId, WorkerInfo, WorkerState,
};
use fuchsiamill_model::{Resources, units::Millisecond};

/// A run on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) run: u32,
    pub(crate) began: Millisecond,
    pub(crate) ends: Millisecond,
}

/// A host and the worker on it.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub(crate) name: Name,
    pub(crate) rack: Name,
    pub(crate) pool: Name,
    pub(crate) state: HostState,
    /// When it is up again.
    pub(crate) until: Millisecond,
    pub(crate) life: u64,
    pub(crate) running: BTreeMap<TaskId, Running>,
    pub(crate) ended: Vec<RunEnd>,
    numbers: u64,
}

impl Machine {
    pub(crate) fn new(name: Name, rack: Name, pool: Name) -> Self {
        Self {
            name,
            rack,
            pool,
            state: HostState::Up,
            until: 0,
            life: 1,
            running: BTreeMap::new(),
            ended: Vec::new(),
            numbers: 0,
        }
    }

    /// The id of its worker.
    pub(crate) fn worker(&self) -> Name {
        format!("{}-{}", self.name, self.life).into()
    }

    /// Begins another life in which nothing of the former one is known.
    pub(crate) fn restart(&mut self) {
        self.life += 1;
        self.running.clear();
        self.ended.clear();
        self.numbers = 0;
    }

    /// Ends a run.
    pub(crate) fn end(&mut self, task: &TaskId, ending: Ending) {
        let Some(it) = self.running.remove(task) else { return };
        self.numbers += 1;
        self.ended.push(RunEnd {
            number: self.numbers,
            task: task.clone(),
            run: it.run,
            ending,
            checkpoint: Name::default(),
        });
    }

    /// What its worker tells of itself.
    pub(crate) fn worker_seen(&self, capacity: Resources) -> WorkerInfo {
        WorkerInfo {
            id: self.worker(),
            born: self.life,
            pool: self.pool.clone(),
            addr: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: "a".into(),
            state: WorkerState::Ready,
            capacity,
            labels: self.labels(),
        }
    }

    /// What the list of hosts tells of it.
    pub(crate) fn host_seen(&self, capacity: Resources, has_worker: bool) -> HostInfo {
        HostInfo {
            host: self.name.clone(),
            pool: self.pool.clone(),
            state: self.state,
            data_centre: "a".into(),
            labels: self.labels(),
            capacity,
            worker: has_worker.then(|| self.worker()),
        }
    }

    /// Its kind and its rack.
    fn labels(&self) -> Vec<Name> {
        vec!["kind".into(), self.rack.clone()]
    }

    /// Its runs, with their progress at a moment.
    pub(crate) fn runs(&self, now: Millisecond) -> Vec<RunInfo> {
        let seen = |(task, it): (&TaskId, &Running)| RunInfo {
            task: task.clone(),
            run: it.run,
            checkpoint: Name::default(),
            percent: ((now - it.began) * 100 / (it.ends - it.began).max(1)).min(100) as u32,
            load: 0,
        };
        self.running.iter().map(seen).collect()
    }
}
