//! Tasks that run all the time get hosts even if the sum of what they need says that the pool has enough.

mod common;

use std::collections::BTreeSet;

use common::{Bench, cores, host, job, list, moves, step, worker};
use fuchsiamill_fleet::{HostInfo, Name, Step, TaskId, WorkerInfo};
use fuchsiamill_model::Resources;

const TASKS: u32 = 10;
const SPARE_HOSTS: usize = 30;

/// A host takes 1.5 s to change its pool.
const MOVE_ROUNDS: usize = 15;
const ROUND_MS: u64 = 100;

/// One task fills more than half of the memory of a host.
fn large() -> Step {
    let size = Resources { memory_mib: 5 * 1_024, ..cores(1) };
    Step { size, long_running: true, ..step(TASKS) }
}

/// Hosts that follow their orders to move, and the workers on them.
struct Fleet {
    bench: Bench,
    pools: Vec<(String, usize)>,
    running: Vec<(TaskId, u32, Name)>,
    moved: BTreeSet<String>,
}

impl Fleet {
    fn new() -> Self {
        let pools = vec![("spare".to_owned(), 0); SPARE_HOSTS];
        let (running, moved) = (Vec::new(), BTreeSet::new());
        Self { bench: Bench::new(), pools, running, moved }
    }

    fn list(&mut self, round: usize) {
        let entry = |(number, (pool, ready)): (usize, &(String, usize))| {
            let id = format!("w{number}");
            let is_up = pool == "web" && *ready <= round;
            host(&format!("h{number}"), pool, is_up.then_some(id.as_str()))
        };
        let hosts: Vec<HostInfo> = self.pools.iter().enumerate().map(entry).collect();
        for it in hosts.iter().filter_map(|it| it.worker.clone()) {
            if !self.bench.coordinator.workers().contains_key(&it) {
                self.bench.add(WorkerInfo { ..worker(&it) });
            }
        }
        list(&mut self.bench, hosts);
    }

    fn play(&mut self, rounds: std::ops::Range<usize>) {
        for round in rounds {
            self.list(round);
            let orders = self.bench.step();
            for (name, pool) in moves(&orders) {
                let number: usize = name[1..].parse().unwrap();
                self.pools[number] = (pool.clone(), round + MOVE_ROUNDS);
                let duty =
                    fuchsiamill_fleet::coordinator::HostDuty::Move { pool: pool.as_str().into() };
                let reply = fuchsiamill_fleet::coordinator::DutyReply::Done;
                let now = self.bench.now;
                self.bench.coordinator.host_answered(&name.as_str().into(), &duty, reply, now);
                self.moved.insert(name);
            }
            for (task, run, worker) in common::starts(&orders) {
                let reply = fuchsiamill_fleet::coordinator::StartReply::Running;
                self.bench.coordinator.start_answered(&task, run, reply, self.bench.now);
                self.running.push((task, run, worker));
            }
            let ids: Vec<Name> = self.bench.coordinator.workers().keys().cloned().collect();
            for id in ids {
                let own = self.running.iter().filter(|it| it.2 == id);
                let own: Vec<_> = own.map(|it| (it.0.clone(), it.1)).collect();
                self.bench.report(&id, &own, &[]);
            }
            self.bench.wait(ROUND_MS);
        }
    }
}

/// The sum of what the tasks need fits on fewer hosts than the tasks, so that some of them never ran.
#[test]
fn large_long_running_tasks_that_leave_room_unused_all_run() {
    let mut fleet = Fleet::new();
    fleet.bench.accept("j", job(vec![large()]));
    fleet.play(0..80);
    assert_eq!(fleet.running.len(), TASKS as usize);
}

/// Hosts that are on their way count: no host is moved again for the same wait.
#[test]
fn waiting_tasks_take_no_more_hosts_than_they_fill() {
    let mut fleet = Fleet::new();
    fleet.bench.accept("j", job(vec![large()]));
    fleet.play(0..200);
    assert!(fleet.moved.len() <= TASKS as usize + 2, "{:?}", fleet.moved);
}
