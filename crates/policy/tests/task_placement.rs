//! Checks placement against a simple model of the same hosts, learned sizes and the relief of overloaded hosts.

use fuchsiamill_model::{
    Host, HostName, HostState, Resources, TeamName,
    task::{TaskId, Usage},
};
use fuchsiamill_policy::placement::{
    Placement, PlacementRequest, Placer, Relief, Sizes, TaskLoad, WaitReason, relieve,
};
use quickcheck::{Gen, QuickCheck};

fn resources(millicores: u32, memory_mib: u32, accelerators: u32) -> Resources {
    Resources { millicores, memory_mib, accelerators }
}

fn host(n: usize, resources: Resources, state: HostState) -> Host {
    let addr = "127.0.0.1:1".parse().unwrap();
    Host {
        name: format!("h{n}").parse().unwrap(),
        pool: "p".parse().unwrap(),
        rack: format!("r{}", n / 4).parse().unwrap(),
        data_centre: format!("dc{}", n % 3).parse().unwrap(),
        region: "r".parse().unwrap(),
        backend: addr,
        worker: addr,
        slots: 8,
        connections: 64,
        resources,
        state,
    }
}

struct Model {
    hosts: Vec<(Host, Resources)>,
    ejected: Vec<HostName>,
}

impl Model {
    fn fitting(&self, size: Resources) -> Vec<&HostName> {
        let open = |it: &&(Host, Resources)| {
            it.0.state == HostState::Serving
                && !self.ejected.contains(&it.0.name)
                && it.0.resources.minus(it.1).fits(size)
        };
        let has_plain_host = self
            .hosts
            .iter()
            .any(|(it, _)| it.resources.accelerators == 0 && it.resources.fits(size));
        let class = |it: &&(Host, Resources)| {
            size.accelerators > 0 || !has_plain_host || it.0.resources.accelerators == 0
        };
        self.hosts.iter().filter(open).filter(class).map(|(it, _)| &it.name).collect()
    }

    fn can_ever_fit(&self, size: Resources) -> bool {
        self.hosts.iter().any(|(it, _)| it.resources.fits(size))
    }
}

fn random_size(rng: &mut fastrand::Rng) -> Resources {
    let accelerators = if rng.u8(0..4) == 0 { rng.u32(1..5) } else { 0 };
    resources(rng.u32(100..18_000), rng.u32(100..70_000), accelerators)
}

fn agrees_with_model(seed: u64) -> bool {
    println!("seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let hosts: Vec<Host> = (0..rng.usize(1..40))
        .map(|n| {
            let accelerators = if rng.u8(0..3) == 0 { 4 } else { 0 };
            let state = if rng.u8(0..6) == 0 { HostState::Draining } else { HostState::Serving };
            host(n, resources(rng.u32(8_000..16_001), rng.u32(32_000..64_001), accelerators), state)
        })
        .collect();
    let mut placer = Placer::new(hosts.iter());
    let hosts = hosts.into_iter().map(|it| (it, Resources::default())).collect();
    let mut model = Model { hosts, ejected: Vec::new() };
    let team: TeamName = "t".parse().unwrap();
    let mut running: Vec<(HostName, Resources)> = Vec::new();
    for _ in 0..300 {
        match rng.u8(0..10) {
            0..=5 => {
                let size = random_size(&mut rng);
                let fitting = model.fitting(size);
                match placer.place(&PlacementRequest { team: &team, size, avoid: &[] }) {
                    Placement::On(host) => {
                        assert!(fitting.contains(&&host), "{host} has no room for {size:?}");
                        placer.add_task(&host, &team, size);
                        let it = model.hosts.iter_mut().find(|it| it.0.name == host).unwrap();
                        it.1 = it.1.plus(size);
                        running.push((host, size));
                    }
                    Placement::Wait(_) => {
                        assert!(fitting.is_empty(), "{size:?} fits on {fitting:?}");
                        assert!(model.can_ever_fit(size));
                    }
                    Placement::Unplaceable => assert!(!model.can_ever_fit(size)),
                }
            }
            6..=8 if !running.is_empty() => {
                let (host, size) = running.swap_remove(rng.usize(0..running.len()));
                placer.remove_task(&host, &team, size);
                let it = model.hosts.iter_mut().find(|it| it.0.name == host).unwrap();
                it.1 = it.1.minus(size);
            }
            _ => {
                let name = model.hosts[rng.usize(0..model.hosts.len())].0.name.clone();
                match model.ejected.iter().position(|it| *it == name) {
                    Some(at) => {
                        model.ejected.swap_remove(at);
                        placer.readmit(&name);
                    }
                    None => {
                        placer.eject(&name);
                        model.ejected.push(name);
                    }
                }
            }
        }
    }
    true
}

#[test]
fn placement_agrees_with_model() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 7))
        .tests(300)
        .quickcheck(agrees_with_model as fn(u64) -> bool);
}

#[test]
fn small_tasks_leave_whole_hosts_free() {
    let whole = resources(16_000, 64_000, 0);
    let hosts: Vec<Host> = (0..12).map(|n| host(n, whole, HostState::Serving)).collect();
    let mut placer = Placer::new(hosts.iter());
    let team: TeamName = "t".parse().unwrap();
    let small = resources(2_000, 8_000, 0);
    for _ in 0..48 {
        match placer.place(&PlacementRequest { team: &team, size: small, avoid: &[] }) {
            Placement::On(host) => placer.add_task(&host, &team, small),
            other => panic!("{other:?}"),
        }
    }
    // Half of the resources are in use; at least a third of the hosts must still fit a task of whole-host size.
    let empty = hosts.iter().filter(|it| placer.free(&it.name) == Some(whole)).count();
    assert!(empty >= 4, "{empty} hosts are empty");
}

#[test]
fn team_is_spread_over_data_centres() {
    let hosts: Vec<Host> =
        (0..12).map(|n| host(n, resources(16_000, 64_000, 0), HostState::Serving)).collect();
    let mut placer = Placer::new(hosts.iter());
    let team: TeamName = "t".parse().unwrap();
    let size = resources(500, 500, 0);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..24 {
        let Placement::On(host) = placer.place(&PlacementRequest { team: &team, size, avoid: &[] })
        else {
            panic!("no room")
        };
        used.insert(hosts.iter().find(|it| it.name == host).unwrap().data_centre.clone());
        placer.add_task(&host, &team, size);
    }
    assert_eq!(used.len(), 3);
}

#[test]
fn task_waits_for_hosts_out_of_service() {
    let hosts = [host(0, resources(16_000, 64_000, 0), HostState::Draining)];
    let placer = Placer::new(hosts.iter());
    let team: TeamName = "t".parse().unwrap();
    let place = |size| placer.place(&PlacementRequest { team: &team, size, avoid: &[] });
    assert_eq!(place(resources(1, 1, 0)), Placement::Wait(WaitReason::OutOfService));
    assert_eq!(place(resources(16_001, 1, 0)), Placement::Unplaceable);
}

fn size_is_learned(true_millicores: u16, true_memory: u16, wrong_by: u8) -> bool {
    let used = resources(u32::from(true_millicores) + 1, u32::from(true_memory) + 1, 0);
    let declared = resources(
        used.millicores * (u32::from(wrong_by) + 1),
        used.memory_mib / (u32::from(wrong_by) + 1),
        1,
    );
    let (team, kind) = ("t".parse().unwrap(), "k".parse().unwrap());
    let largest = resources(1 << 20, 1 << 20, 8);
    let mut sizes = Sizes::default();
    assert_eq!(sizes.expected(&team, &kind, declared, largest), declared);
    for _ in 0..8 {
        sizes.record(&team, &kind, Usage { peak: used, run_time: 1_000 });
    }
    let learned = sizes.expected(&team, &kind, declared, largest);
    // A bucket covers a quarter of a doubling, so a learned size is at most a fifth too large.
    let near = |found: u32, used: u32| found >= used && found <= used + used / 5 + 1;
    near(learned.millicores, used.millicores)
        && near(learned.memory_mib, used.memory_mib)
        && learned.accelerators == 1
}

#[test]
fn sizes_are_learned_from_usage() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 8))
        .quickcheck(size_is_learned as fn(u16, u16, u8) -> bool);
}

#[test]
fn overload_is_relieved_without_a_kill() {
    let task = |n: u32| TaskId { job: format!("j{n}").parse().unwrap(), attempt: 1 };
    let load = |n, reserved, used| TaskLoad { task: task(n), reserved, used, throttled_from: None };
    let offered = resources(4_000, 10_000, 0);
    let within = load(1, resources(2_000, 5_000, 0), resources(2_000, 2_000, 0));
    let over_processors = load(2, resources(1_000, 3_000, 0), resources(3_000, 3_000, 0));
    let throttled = Relief::Throttle(task(2), resources(1_000, 3_000, 0));
    assert_eq!(relieve(offered, &[within.clone(), over_processors]), throttled);
    let over_memory = load(3, resources(1_000, 3_000, 0), resources(1_000, 8_000, 0));
    assert_eq!(relieve(offered, &[within.clone(), over_memory]), Relief::Checkpoint(task(3)));
    assert_eq!(relieve(offered, std::slice::from_ref(&within)), Relief::None);
    // A throttled task is released only if its earlier usage fits with a margin, or if it is alone.
    let throttled_task = load(2, resources(1_000, 3_000, 0), resources(1_000, 3_000, 0));
    let throttled_task =
        |before| TaskLoad { throttled_from: Some(before), ..throttled_task.clone() };
    assert_eq!(relieve(offered, &[within.clone(), throttled_task(3_000)]), Relief::None);
    assert_eq!(
        relieve(offered, &[within, throttled_task(1_500)]),
        Relief::Release(task(2), offered)
    );
    assert_eq!(relieve(offered, &[throttled_task(9_000)]), Relief::Release(task(2), offered));
}

#[test]
fn last_fitting_host_of_a_bucket_is_found() {
    let whole = resources(16_000, 64_000, 0);
    let hosts: Vec<Host> = (0..300).map(|n| host(n, whole, HostState::Serving)).collect();
    let mut placer = Placer::new(hosts.iter());
    let team: TeamName = "t".parse().unwrap();
    for host in &hosts {
        let left = if host.name.as_str() == "h299" { 900 } else { 500 };
        placer.add_task(&host.name, &team, resources(16_000 - left, 1_000, 0));
    }
    let request = PlacementRequest { team: &team, size: resources(800, 800, 0), avoid: &[] };
    assert_eq!(placer.place(&request), Placement::On(hosts[299].name.clone()));
}
