//! A host that is no longer part of any wave takes tasks again.

mod common;

use common::{Bench, duties, host, job, list, starts, step, worker};
use fuchsiamill_fleet::{Ending, Name, Step, coordinator::HostDuty, worker::Wave};
use fuchsiamill_model::FastMap;

fn ask(bench: &mut Bench, hosts: &[&str], at_once: usize) {
    let hosts = hosts.iter().map(|it| (*it).into()).collect();
    let wave = Wave { number: 1, hosts, within_ms: 20_000, at_once };
    bench.coordinator.waves_requested(&[wave], &FastMap::default(), bench.now);
}

/// Starts a job of two tasks on different workers; returns the workers, sorted.
fn started_apart(bench: &mut Bench, id: &str) -> Vec<Name> {
    bench.accept(id, job(vec![Step { per_worker: Some(1), ..step(2) }]));
    started(bench)
}

fn started(bench: &mut Bench) -> Vec<Name> {
    let mut workers: Vec<Name> = bench.run().into_iter().map(|it| it.2).collect();
    workers.sort();
    workers
}

/// Returns a bench with two hosts and a task on each.
fn two_busy_hosts() -> Bench {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    bench.add(worker("w2"));
    list(&mut bench, vec![host("h1", "web", Some("w1")), host("h2", "web", Some("w2"))]);
    assert_eq!(started_apart(&mut bench, "busy"), ["w1", "w2"]);
    bench
}

#[test]
fn busy_hosts_of_a_retracted_wave_take_tasks_again() {
    let mut bench = two_busy_hosts();
    ask(&mut bench, &["h1", "h2"], 2);
    bench.step();
    assert!(started_apart(&mut bench, "later").is_empty(), "both are to be maintained");
    ask(&mut bench, &[], 2);
    assert_eq!(started(&mut bench), ["w1", "w2"]);
}

#[test]
fn busy_host_that_a_new_wave_leaves_out_takes_tasks_again() {
    let mut bench = two_busy_hosts();
    ask(&mut bench, &["h1", "h2"], 2);
    bench.step();
    assert!(started_apart(&mut bench, "later").is_empty(), "both are to be maintained");
    ask(&mut bench, &["h2"], 2);
    assert_eq!(started(&mut bench), ["w1"]);
}

/// An order that was given may be executed although the wave was retracted.
#[test]
fn ordered_host_of_a_retracted_wave_takes_nothing() {
    let mut bench = Bench::new();
    bench.add(worker("w1"));
    list(&mut bench, vec![host("h1", "web", Some("w1"))]);
    ask(&mut bench, &["h1"], 1);
    let ordered = duties(&bench.step());
    assert_eq!(ordered, [("h1".to_string(), HostDuty::Maintain { wave: 1 })]);
    ask(&mut bench, &[], 1);
    bench.accept("later", job(vec![step(1)]));
    assert!(started(&mut bench).is_empty());
}

/// The host with the fewest tasks is maintained first. If another one has fewer by now, the first one takes tasks
/// again.
#[test]
fn wave_keeps_no_more_hosts_out_of_work_than_its_cap() {
    let mut bench = two_busy_hosts();
    assert_eq!(started_apart(&mut bench, "busier"), ["w1", "w2"]);
    ask(&mut bench, &["h1", "h2"], 1);
    bench.step();
    assert_eq!(started_apart(&mut bench, "third"), ["w2"], "the first host is to be maintained");
    end_all_on(&mut bench, "w2");
    assert_eq!(started(&mut bench), ["w2"], "the other task of the third job");
    bench.accept("fourth", job(vec![step(1)]));
    assert_eq!(started(&mut bench), ["w1"], "the second host is to be maintained instead");
}

/// Ends every task that was started on a worker.
fn end_all_on(bench: &mut Bench, worker: &str) {
    let all = starts(&bench.orders).into_iter().filter(|it| it.2 == worker);
    let ended: Vec<_> = all.map(|it| (it.0, it.1, Ending::Done)).collect();
    bench.report(worker, &[], &ended);
}
