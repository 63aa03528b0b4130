//! Steps that could start are found, however many others before them cannot start.

mod common;

use common::{Bench, cores, job, step, worker};
use fuchsiamill_fleet::{Ending, JobSpec, Name, Step, WorkerInfo};

const DAY_MS: u64 = 86_400_000;

fn long_running() -> JobSpec {
    job(vec![Step { long_running: true, ..step(1) }])
}

/// Returns the job that gets the only place after the coordinator has been up for this long.
fn first_in_line(up_ms: u64) -> Name {
    let mut bench = Bench::new();
    bench.wait(up_ms);
    bench.add(WorkerInfo { capacity: cores(1), ..worker("w1") });
    bench.accept("a", job(vec![step(1)]));
    let first = bench.run().remove(0);
    bench.accept("short", job(vec![step(4)]));
    bench.accept("last", long_running());
    bench.run();
    bench.report("w1", &[], &[(first.0, first.1, Ending::Done)]);
    bench.run().remove(0).0.job
}

/// Moments were compared with amounts of work.
#[test]
fn rank_of_a_long_running_task_does_not_depend_on_the_uptime() {
    for up_ms in [0, 60_000, 4_000_000, DAY_MS, 30 * DAY_MS] {
        assert_eq!(first_in_line(up_ms), "last", "up for {up_ms} ms");
    }
}
