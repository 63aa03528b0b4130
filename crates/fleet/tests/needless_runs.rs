//! Needless runs use capacity until their end is reported, also after a takeover.

mod common;

use std::sync::Arc;

use common::{Bench, START, WALL, config, cores, job, starts, step, stops, task, worker};
use fuchsiamill_fleet::{
    Config, Ending, JobRecord, Stage, Step, TaskRecord, coordinator::Takeover,
};

/// Returns a coordinator after a takeover: a run goes on on `w1` although an earlier run has done its task.
fn inherited(config: Config) -> Bench {
    let mut bench = Bench::after(config, Takeover { renewals_end: START, at: START });
    bench.coordinator.worker_listed(worker("w1"), bench.now);
    let on = Some(("w1".into(), 7));
    let done = TaskRecord { run: 2, done: true, on, ..TaskRecord::default() };
    let record = JobRecord { stage: Stage::Running, tasks: vec![done], ..JobRecord::default() };
    // The rest of the job fits on no worker.
    let steps = vec![Step { size: cores(5), ..step(1) }, Step { size: cores(9), ..step(1) }];
    let spec = Arc::new(job(steps));
    bench.coordinator.accept("j".into(), spec, Some(&record), bench.now, WALL);
    bench
}

#[test]
fn needless_run_takes_room_of_its_worker() {
    let mut bench = inherited(config());
    bench.accept("k", job(vec![Step { size: cores(8), ..step(1) }]));
    let run = task("j", 0, 0);
    bench.report("w1", &[(run.clone(), 2)], &[]);
    let orders = bench.step();
    assert_eq!(stops(&orders), [(run.clone(), 2)]);
    assert!(starts(&orders).is_empty(), "{orders:?}");
    bench.report("w1", &[], &[(run, 2, Ending::Stopped)]);
    assert_eq!(starts(&bench.step()).len(), 1);
}

#[test]
fn needless_run_counts_for_its_team() {
    let mut limited = config();
    limited.teams.get_mut("north").expect("a team").limit = cores(8);
    let mut bench = inherited(limited);
    bench.add(worker("w2"));
    bench.accept("k", job(vec![Step { size: cores(4), ..step(1) }]));
    assert!(starts(&bench.step()).is_empty());
}
