//! The faults that a soak draws from.

use fuchsiamill_standin::{
    admin::RouteFault,
    fleet::{StoreFault, Worker, WorkerFault},
};

use super::fleet::Fleet;

/// Does something to every worker.
pub fn each_worker(fleet: &Fleet, mut act: impl FnMut(&mut Worker)) {
    let mut world = fleet.site.world();
    for host in 0..world.host_count() {
        if let Some(worker) = world.worker_mut(host) {
            act(worker);
        }
    }
}

pub const ROUTE_FAULTS: [RouteFault; 5] = [
    RouteFault::Delay { ms: 150 },
    RouteFault::Cut,
    RouteFault::HoldForward,
    RouteFault::HoldBack,
    RouteFault::HoldBoth,
];

pub const STORE_FAULTS: [StoreFault; 4] =
    [StoreFault::Down, StoreFault::Silent, StoreFault::Slow(200), StoreFault::LoseAnswers(40)];

pub const WORKER_FAULTS: [WorkerFault; 8] = [
    WorkerFault::None,
    WorkerFault::None,
    WorkerFault::Silent,
    WorkerFault::AnswersLost,
    WorkerFault::Late(1_500),
    WorkerFault::StopsLate(1_000),
    WorkerFault::StopsLate(6_000),
    WorkerFault::OrdersLate(1_500),
];
