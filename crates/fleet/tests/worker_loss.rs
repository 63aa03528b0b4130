//! Workers that become silent, die, restart under their id, or are inherited from a former coordinator.

mod common;

use std::sync::Arc;

use common::{
    Bench, START, WALL, config, host, job, list, run_info, starts, step, stops, task, worker,
};
use fuchsiamill_fleet::{
    Ending, HostInfo, HostListing, HostState, JobRecord, Order, RunInfo, Stage, TaskRecord,
    WorkerInfo, WorkerReport, WorkerState, coordinator::StartReply, coordinator::Takeover,
};

fn running() -> Bench {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    assert_eq!(bench.run().len(), 1);
    bench.report("w1", &[(task("j", 0, 0), 1)], &[]);
    bench.add(worker("w2"));
    bench
}

#[test]
fn silent_worker_keeps_its_tasks_for_the_lease() {
    let mut bench = running();
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    bench.wait(6_000);
    assert!(starts(&bench.step()).is_empty());
    bench.wait(300);
    assert_eq!(bench.run()[0].2, "w2");
}

#[test]
fn unlisted_worker_keeps_its_tasks_for_the_lease() {
    let mut bench = running();
    bench.coordinator.worker_unlisted(&"w1".into());
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    bench.wait(5_000);
    assert!(starts(&bench.step()).is_empty());
    bench.wait(1_300);
    assert_eq!(bench.run()[0].2, "w2");
}

#[test]
fn dead_worker_loses_its_tasks_at_once() {
    let mut bench = running();
    bench.coordinator.worker_dead(&"w1".into(), 7, bench.now);
    assert_eq!(bench.run()[0].2, "w2");
}

/// The runs of a crashed worker waited for their leases although its host was known to be down.
#[test]
fn silent_worker_that_its_host_no_longer_has_loses_its_tasks_at_once() {
    let mut bench = running();
    list(&mut bench, vec![host("h1", "web", Some("w1"))]);
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    bench.wait(400);
    list(&mut bench, vec![HostInfo { state: HostState::Down, ..host("h1", "web", None) }]);
    assert_eq!(bench.run()[0].2, "w2");
}

/// A worker that answers is alive, whatever an older list shows.
#[test]
fn answering_worker_keeps_its_tasks_whatever_the_host_list_shows() {
    let mut bench = running();
    list(&mut bench, vec![host("h1", "web", Some("w1"))]);
    bench.wait(400);
    list(&mut bench, vec![HostInfo { state: HostState::Down, ..host("h1", "web", None) }]);
    assert!(bench.run().is_empty());
}

/// The list was requested before the worker fell silent.
#[test]
fn former_host_list_does_not_end_a_silent_worker() {
    let mut bench = running();
    list(&mut bench, vec![host("h1", "web", Some("w1"))]);
    let asked = bench.now;
    bench.wait(400);
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    let down = HostInfo { state: HostState::Down, ..host("h1", "web", None) };
    let listing = HostListing { hosts: vec![down], is_whole: true, asked };
    assert!(bench.coordinator.hosts_listed(&listing).is_empty());
    assert!(bench.run().is_empty());
}

/// A host that was down before it had this worker, or that lists it again, says nothing of its end.
#[test]
fn silent_worker_that_its_host_still_has_keeps_its_tasks() {
    let mut bench = running();
    list(&mut bench, vec![host("h1", "web", Some("w1"))]);
    list(&mut bench, vec![HostInfo { state: HostState::Down, ..host("h1", "web", None) }]);
    list(&mut bench, vec![host("h1", "web", Some("w1"))]);
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    bench.wait(400);
    list(&mut bench, vec![host("h1", "web", Some("w1"))]);
    assert!(bench.run().is_empty());
}

#[test]
fn death_of_a_former_incarnation_changes_nothing() {
    let mut bench = running();
    bench.coordinator.worker_dead(&"w1".into(), 6, bench.now);
    assert!(bench.run().is_empty());
}

#[test]
fn restarted_worker_has_no_runs() {
    let mut bench = running();
    bench.coordinator.worker_listed(WorkerInfo { born: 8, ..worker("w1") }, bench.now);
    report_after_restart(&mut bench, Vec::new());
    let started = bench.run();
    assert_eq!(started.iter().map(|it| it.1).collect::<Vec<_>>(), [2]);
}

/// A worker lists so many ends at a time; runs whose ends it had not listed yet were started again after they were done.
#[test]
fn run_whose_end_is_not_listed_yet_is_not_missing() {
    let mut bench = running();
    bench.wait(100);
    let report = WorkerReport {
        asked: bench.now,
        born: 7,
        running: Vec::new(),
        ended: Vec::new(),
        has_more_ends: true,
    };
    bench.coordinator.worker_reported(&"w1".into(), report, bench.now);
    assert!(bench.run().is_empty());
    bench.report("w1", &[], &[(task("j", 0, 0), 1, Ending::Done)]);
    bench.step();
    assert!(bench.coordinator.job("j").is_none());
}

/// A start that was meant for the former incarnation named a time on a clock that was ahead: the next one grants its longest
/// lease, also by a call that was under way when it was noticed.
#[test]
fn run_on_a_next_incarnation_counts_for_the_longest_lease() {
    let mut bench = running();
    let report = WorkerReport {
        asked: bench.now,
        born: 8,
        running: vec![run_info(&task("j", 0, 0), 1, 50)],
        ended: Vec::new(),
        has_more_ends: false,
    };
    bench.coordinator.worker_reported(&"w1".into(), report, bench.now);
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    bench.wait(11_900);
    assert!(starts(&bench.step()).is_empty());
    bench.wait(500);
    assert_eq!(bench.run()[0].2, "w2");
}

/// A run that was started on a next incarnation, which fell silent before it was noticed, counted for the usual lease, and
/// its task ran twice.
#[test]
fn run_that_no_report_has_listed_counts_for_the_longest_lease() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    assert_eq!(bench.run().len(), 1);
    bench.add(worker("w2"));
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    bench.wait(11_900);
    assert!(starts(&bench.step()).is_empty());
    bench.wait(500);
    assert_eq!(bench.run()[0].2, "w2");
}

/// The reply to a start and the report that first shows the next incarnation travel on different connections. The start,
/// which that incarnation had carried out after it reported, was taken for lost, and the task ran twice.
#[test]
fn report_that_shows_a_next_incarnation_does_not_show_missing_runs() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    assert_eq!(bench.run().len(), 1);
    bench.add(worker("w2"));
    report_after_restart(&mut bench, Vec::new());
    assert!(bench.run().is_empty());
    report_after_restart(&mut bench, vec![run_info(&task("j", 0, 0), 1, 10)]);
    assert!(bench.run().is_empty());
    report_after_restart(&mut bench, Vec::new());
    assert_eq!(bench.run().len(), 1);
}

/// A task whose run was given up was started again while its worker still listed that run, which was to be stopped.
#[test]
fn task_does_not_start_while_a_worker_lists_another_run() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    assert_eq!(bench.run().len(), 1);
    let run = (task("j", 0, 0), 1);
    bench.report("w1", std::slice::from_ref(&run), &[]);
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    bench.wait(6_300);
    assert!(starts(&bench.step()).is_empty());
    bench.add(worker("w2"));
    bench.report("w1", std::slice::from_ref(&run), &[]);
    let orders = bench.step();
    assert_eq!(stops(&orders), [(task("j", 0, 0), 1)]);
    assert!(starts(&orders).is_empty());
    bench.report("w1", &[], &[]);
    assert_eq!(bench.run()[0].1, 2);
}

/// The link to a worker that started again went on with what it knew of the former incarnation.
#[test]
fn report_of_a_next_incarnation_opens_a_new_link() {
    let mut bench = running();
    let report = WorkerReport {
        asked: bench.now,
        born: 8,
        running: Vec::new(),
        ended: Vec::new(),
        has_more_ends: false,
    };
    bench.coordinator.worker_reported(&"w1".into(), report, bench.now);
    let watched = |it: &Order| matches!(it, Order::Watch { worker } if worker.born == 8);
    assert!(bench.step().iter().any(watched));
}

/// An order to the former incarnation may reach the new one: the run is stopped there before the task starts elsewhere.
#[test]
fn run_ordered_to_a_former_incarnation_is_stopped_first() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    assert_eq!(starts(&bench.step()).len(), 1);
    bench.add(worker("w2"));
    bench.coordinator.worker_listed(WorkerInfo { born: 8, ..worker("w1") }, bench.now);
    let orders = bench.step();
    assert_eq!(stops(&orders), [(task("j", 0, 0), 1)]);
    assert!(starts(&orders).is_empty());
}

fn inherited(takeover: Takeover) -> Bench {
    inherited_on("w1", takeover)
}

/// Returns a bench with the workers w1, which has not answered, and w2, and with a run on the worker `on`.
fn inherited_on(on: &str, takeover: Takeover) -> Bench {
    let mut bench = Bench::after(config(), takeover);
    bench.coordinator.worker_listed(worker("w1"), bench.now);
    bench.add(worker("w2"));
    let record = JobRecord {
        stage: Stage::Running,
        tasks: vec![TaskRecord {
            occurrence: 0,
            step: 0,
            index: 0,
            run: 4,
            failures: 1,
            done: false,
            on: Some((on.into(), 7)),
            checkpoint: "half".into(),
        }],
        ..JobRecord::default()
    };
    let spec = Arc::new(job(vec![step(1)]));
    bench.coordinator.accept("j".into(), spec, Some(&record), bench.now, WALL);
    bench
}

fn list_twice(bench: &mut Bench, hosts: &[HostInfo]) {
    for _ in 0..2 {
        bench.wait(400);
        list(bench, hosts.to_vec());
    }
}

const AT_ONCE: Takeover = Takeover { renewals_end: START, at: START };

#[test]
fn inherited_run_goes_on() {
    let mut bench = inherited(AT_ONCE);
    assert!(bench.run().is_empty());
    bench.report("w1", &[(task("j", 0, 0), 4)], &[]);
    assert!(bench.run().is_empty());
}

#[test]
fn inherited_run_that_is_missing_is_restarted() {
    let mut bench = inherited(AT_ONCE);
    bench.report("w1", &[], &[]);
    let started = bench.run();
    assert_eq!(started[0].1, 5);
}

#[test]
fn inherited_silent_worker_waits_for_the_last_renewal() {
    let renewals_end = START + 12_000;
    let mut bench = inherited(Takeover { renewals_end, ..AT_ONCE });
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    bench.wait(18_000);
    assert!(bench.run().is_empty());
    bench.wait(300);
    assert_eq!(bench.run().len(), 1);
}

#[test]
fn silent_worker_waits_less_once_the_former_coordinator_ended() {
    let renewals_end = START + 12_000;
    let mut bench = inherited(Takeover { renewals_end, ..AT_ONCE });
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    bench.coordinator.former_coordinator_ended(bench.now);
    bench.wait(6_000);
    assert!(bench.run().is_empty());
    bench.wait(300);
    assert_eq!(bench.run().len(), 1);
}

/// The runs of workers that were gone before a takeover waited for the longest renewals of the former coordinator.
#[test]
fn silent_worker_that_no_host_has_after_a_takeover_loses_its_tasks_at_once() {
    let mut bench = inherited(Takeover { renewals_end: START + 12_000, ..AT_ONCE });
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    list_twice(&mut bench, &[host("h2", "web", Some("w2"))]);
    assert_eq!(bench.run()[0].2, "w2");
}

/// The entry of such a worker has lapsed, so that it is known from the record of its run only.
#[test]
fn unlisted_worker_that_no_host_has_after_a_takeover_loses_its_tasks_at_once() {
    let mut bench = inherited_on("w9", Takeover { renewals_end: START + 12_000, ..AT_ONCE });
    list_twice(&mut bench, &[host("h2", "web", Some("w2"))]);
    assert!(!bench.run().is_empty());
}

/// A list is read in pages, so that one of them may miss the host of a worker that is cut off.
#[test]
fn host_that_one_list_misses_does_not_end_its_worker() {
    let mut bench = running();
    let both = [host("h1", "web", Some("w1")), host("h2", "web", Some("w2"))];
    list(&mut bench, both.to_vec());
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    for _ in 0..3 {
        bench.wait(400);
        list(&mut bench, both[1..].to_vec());
        assert!(bench.run().is_empty());
        bench.wait(400);
        list(&mut bench, both.to_vec());
    }
    list_twice(&mut bench, &both[1..]);
    assert_eq!(bench.run()[0].2, "w2");
}

/// The entry lapsed while the store was down; its return was taken for a restart.
#[test]
fn worker_whose_entry_comes_back_after_a_takeover_keeps_its_tasks_for_one_lease() {
    let mut bench = inherited_on("w9", AT_ONCE);
    bench.coordinator.worker_listed(worker("w9"), bench.now);
    bench.report("w9", &[(task("j", 0, 0), 4)], &[]);
    bench.coordinator.worker_silent(&"w9".into(), bench.now);
    bench.wait(5_000);
    assert!(bench.run().is_empty());
    bench.wait(1_300);
    assert_eq!(bench.run().len(), 1);
}

/// An entry that cannot be read may be that of the worker's host.
#[test]
fn list_with_unreadable_entries_does_not_end_an_inherited_worker() {
    let mut bench = inherited(Takeover { renewals_end: START + 12_000, ..AT_ONCE });
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    bench.wait(400);
    let hosts = vec![host("h2", "web", Some("w2"))];
    let listing = HostListing { hosts, is_whole: false, asked: bench.now };
    assert!(bench.coordinator.hosts_listed(&listing).is_empty());
    assert!(bench.coordinator.hosts_listed(&listing).is_empty());
    assert!(bench.run().is_empty());
}

/// A service of hosts that lists none tells nothing of workers.
#[test]
fn empty_host_list_does_not_end_an_inherited_worker() {
    let mut bench = inherited(Takeover { renewals_end: START + 12_000, ..AT_ONCE });
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    list_twice(&mut bench, &[]);
    assert!(bench.run().is_empty());
}

/// Its first poll is not over, so that it may run on.
#[test]
fn inherited_worker_that_is_not_silent_keeps_its_tasks_whatever_the_host_list_shows() {
    let mut bench = inherited(Takeover { renewals_end: START + 12_000, ..AT_ONCE });
    list_twice(&mut bench, &[host("h2", "web", Some("w2"))]);
    assert!(bench.run().is_empty());
}

/// The list was requested before the worker was known, so that its host may have got it later.
#[test]
fn former_host_list_does_not_end_a_worker_that_has_not_answered() {
    let mut bench = inherited(Takeover { renewals_end: START + 12_000, ..AT_ONCE });
    let asked = bench.now;
    bench.wait(400);
    bench.coordinator.worker_listed(WorkerInfo { born: 8, ..worker("w1") }, bench.now);
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    let listing = HostListing { hosts: vec![host("h2", "web", Some("w2"))], is_whole: true, asked };
    assert!(bench.coordinator.hosts_listed(&listing).is_empty());
    assert!(bench.run().is_empty());
}

/// A cut between the worker and the coordinator looks the same, but its host has it.
#[test]
fn silent_worker_that_a_host_has_after_a_takeover_keeps_its_tasks() {
    let mut bench = inherited(Takeover { renewals_end: START + 12_000, ..AT_ONCE });
    bench.coordinator.worker_silent(&"w1".into(), bench.now);
    list_twice(&mut bench, &[host("h1", "web", Some("w1")), host("h2", "web", Some("w2"))]);
    assert!(bench.run().is_empty());
}

#[test]
fn missing_run_is_restarted() {
    let mut bench = running();
    bench.report("w1", &[], &[]);
    assert_eq!(bench.run().len(), 1);
}

#[test]
fn report_asked_before_the_start_proves_nothing() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    let asked = bench.now;
    bench.wait(5);
    let started = starts(&bench.step());
    bench.coordinator.start_answered(&started[0].0, 1, StartReply::Running, bench.now);
    let report = WorkerReport {
        asked,
        born: 7,
        running: Vec::new(),
        ended: Vec::new(),
        has_more_ends: false,
    };
    bench.coordinator.worker_reported(&"w1".into(), report, bench.now);
    assert!(bench.run().is_empty());
    let running = vec![run_info(&task("j", 0, 0), 1, 50)];
    let report = WorkerReport {
        asked: bench.now,
        born: 7,
        running,
        ended: Vec::new(),
        has_more_ends: false,
    };
    bench.coordinator.worker_reported(&"w1".into(), report, bench.now);
    assert!(bench.run().is_empty());
}

/// A worker gets no new tasks once its entry shows that it is draining; its running tasks end there.
#[test]
fn draining_worker_takes_no_tasks() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.accept("j", job(vec![step(1)]));
    assert_eq!(bench.run().len(), 1);
    let draining = WorkerInfo { state: WorkerState::Draining, ..worker("w1") };
    bench.coordinator.worker_listed(draining, bench.now);
    bench.accept("k", job(vec![step(1)]));
    let orders = bench.step();
    assert!(starts(&orders).is_empty(), "{orders:?}");
    assert!(stops(&orders).is_empty(), "{orders:?}");
    bench.add(worker("w2"));
    assert_eq!(bench.run()[0].2, "w2");
}

/// Reports the answer of a worker's new incarnation to its first poll.
fn report_after_restart(bench: &mut Bench, running: Vec<RunInfo>) {
    bench.wait(1);
    let report = WorkerReport {
        asked: bench.now,
        born: 8,
        running,
        ended: Vec::new(),
        has_more_ends: false,
    };
    bench.coordinator.worker_reported(&"w1".into(), report, bench.now);
}

/// A worker restarted without notice and executed the order in its new incarnation: the task must not start twice.
#[test]
fn run_on_an_unlisted_incarnation_does_not_start_twice() {
    let mut bench = running();
    report_after_restart(&mut bench, vec![run_info(&task("j", 0, 0), 1, 100)]);
    assert!(bench.run().is_empty());
}

#[test]
fn run_on_a_listed_incarnation_does_not_start_twice() {
    let mut bench = running();
    bench.coordinator.worker_listed(WorkerInfo { born: 8, ..worker("w1") }, bench.now);
    assert!(bench.run().is_empty());
    report_after_restart(&mut bench, vec![run_info(&task("j", 0, 0), 1, 100)]);
    assert!(bench.run().is_empty());
}
