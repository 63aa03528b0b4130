//! Pools request hosts with the labels, racks and memory that their tasks need.

mod common;

use common::{Bench, cores, host, job, list, moves, starts, step, wanted, worker};
use fuchsiamill_fleet::{HostInfo, Step, WorkerInfo};
use fuchsiamill_model::Resources;

fn labelled(name: &str, pool: &str, worker: Option<&str>, labels: [&str; 2]) -> HostInfo {
    let labels = labels.map(Into::into).to_vec();
    HostInfo { labels, ..host(name, pool, worker) }
}

/// Returns a site with two hosts of kind a in the pool 'web' and three spare hosts, the last two of kind b.
fn site() -> Bench {
    let mut bench = Bench::new();
    for id in ["w1", "w2"] {
        let labels = ["a", "r1"].map(Into::into).to_vec();
        bench.add(WorkerInfo { labels, ..worker(id) });
    }
    let hosts = vec![
        labelled("h1", "web", Some("w1"), ["a", "r1"]),
        labelled("h2", "web", Some("w2"), ["a", "r1"]),
        labelled("s1", "spare", None, ["a", "r1"]),
        labelled("s2", "spare", None, ["b", "r2"]),
        labelled("s3", "spare", None, ["b", "r3"]),
    ];
    list(&mut bench, hosts);
    bench
}

fn of_kind(kind: &str, count: u32) -> Step {
    Step { label: Some(kind.into()), ..step(count) }
}

#[test]
fn labelled_work_brings_a_labelled_host() {
    let mut bench = site();
    bench.accept("j", job(vec![of_kind("b", 2)]));
    let orders = bench.step();
    assert!(starts(&orders).is_empty());
    let moved = moves(&orders);
    assert_eq!(moved.len(), 1, "{moved:?}");
    assert!(["s2", "s3"].contains(&moved[0].0.as_str()), "{moved:?}");
}

#[test]
fn unknown_label_brings_no_host() {
    let mut bench = site();
    bench.accept("j", job(vec![of_kind("c", 64)]));
    assert!(moves(&bench.step()).is_empty());
    bench.wait(2_500);
    bench.step();
    assert_eq!(wanted(&bench), 2);
}

/// Hosts of other kinds do not help tasks that wait for a scarce kind.
#[test]
fn scarce_label_holds_no_other_hosts() {
    let mut bench = site();
    bench.accept("j", job(vec![of_kind("b", 64)]));
    bench.wait(2_500);
    let moved = moves(&bench.step());
    assert!(moved.iter().all(|it| it.0 != "s1"), "{moved:?}");
    assert!(wanted(&bench) <= 3, "{} hosts for two of kind b", wanted(&bench));
}

/// The host that was idle longest leaves first, except one that waiting tasks need.
#[test]
fn idle_host_with_a_needed_label_stays() {
    let mut bench = Bench::new();
    let mut hosts = Vec::new();
    for (number, kind) in ["b", "a", "a"].into_iter().enumerate() {
        let (host, id) = (format!("h{number}"), format!("w{number}"));
        let labels = [kind, "r1"].map(Into::into).to_vec();
        bench.add(WorkerInfo { labels, ..worker(&id) });
        hosts.push(labelled(&host, "web", Some(&id), [kind, "r1"]));
    }
    list(&mut bench, hosts);
    bench.wait(2_500);
    // The task fits on no host and waits, while the host of its kind is idle.
    let waits = Step { size: cores(9), estimate_ms: 100, ..of_kind("b", 1) };
    bench.accept("j", job(vec![waits]));
    let moved = moves(&bench.step());
    assert_eq!(moved, [("h1".to_string(), "spare".to_string())]);
}

#[test]
fn hosts_come_from_the_rack_of_the_data() {
    let mut bench = site();
    let near = |cores: u32| Step { rack: Some("r2".into()), ..step(cores) };
    bench.accept("small", job(vec![near(1)]));
    assert!(moves(&bench.step()).is_empty(), "a host costs more than the time that it saves");
    bench.accept("half", job(vec![near(3)]));
    assert_eq!(moves(&bench.step()), [("s2".to_string(), "web".to_string())]);
}

#[test]
fn memory_asks_for_hosts() {
    let mut bench = site();
    let size = Resources { millicores: 100, memory_mib: 4 * 1_024, accelerators: 0 };
    bench.accept("j", job(vec![Step { size, ..step(8) }]));
    bench.step();
    // 32 GiB on hosts of 8 GiB, doubled since the first job counts as growth, plus the reserve for uneven tasks.
    assert_eq!(wanted(&bench), 10);
}
