//! When each worker of a pool is to be synchronised with.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use fuchsiamill_model::{FastMap, Host, HostName, Millisecond, Moment};
use fuchsiamill_policy::jobs::Scheduler;
use fuchsiamill_ports::WorkerClient;

/// Whether a call is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    /// No.
    Idle,
    /// Yes.
    Busy,
}

/// How often workers are synchronised with.
#[derive(Clone, Copy, Debug)]
pub(super) struct Periods {
    /// The time between two calls to a worker that runs something.
    pub(super) busy: Millisecond,
    /// The time between two calls to a worker that runs nothing, while a job waits.
    pub(super) fresh: Millisecond,
    /// How long one call may take.
    pub(super) call: Duration,
}

struct Sync {
    client: Rc<WorkerClient>,
    next: Moment,
    last: Moment,
    call: Call,
}

impl Sync {
    fn new(addr: SocketAddr, time: Duration, now: Moment) -> Self {
        let client = Rc::new(WorkerClient::new(addr, time));
        Self { client, next: now, last: Moment::default(), call: Call::Idle }
    }
}

/// The calls to the workers of one pool.
pub(super) struct Syncs {
    periods: Periods,
    workers: FastMap<HostName, Sync>,
}

impl Syncs {
    /// No worker was called yet.
    pub(super) fn new(periods: Periods) -> Self {
        Self { periods, workers: FastMap::default() }
    }

    /// Begins the calls that are due.
    ///
    /// Workers without tasks are asked only for tickets, and only while a job waits for one.
    pub(super) fn begin_due(
        &mut self,
        scheduler: &Scheduler,
        now: Moment,
    ) -> Vec<(HostName, Rc<WorkerClient>)> {
        if scheduler.waiting() == 0 {
            let busy = scheduler.hosts_to_sync();
            return busy.filter_map(|host| self.begin(host, Need::Tasks, now)).collect();
        }
        let need = |host: &Host| match scheduler.needs_sync(&host.name) {
            true => Need::Tasks,
            false => Need::Ticket,
        };
        scheduler.hosts().filter_map(|host| self.begin(host, need(host), now)).collect()
    }

    /// The worker of a host has something new to be told.
    pub(super) fn hurry(&mut self, host: &HostName, now: Moment) {
        if let Some(sync) = self.workers.get_mut(host) {
            sync.next = now;
        }
    }

    /// The call to a worker ended.
    pub(super) fn end(&mut self, host: &HostName) {
        if let Some(sync) = self.workers.get_mut(host) {
            sync.call = Call::Idle;
        }
    }

    fn begin(
        &mut self,
        host: &Host,
        need: Need,
        now: Moment,
    ) -> Option<(HostName, Rc<WorkerClient>)> {
        let (name, addr, time) = (&host.name, host.worker, self.periods.call);
        if !self.workers.contains_key(name) {
            self.workers.insert(name.clone(), Sync::new(addr, time, now));
        }
        let sync = self.workers.get_mut(name)?;
        if sync.call == Call::Busy {
            return None;
        }
        if sync.client.addr() != addr {
            *sync = Sync::new(addr, time, now);
        }
        let is_due = match need {
            Need::Tasks => now >= sync.next,
            Need::Ticket => now >= sync.last + self.periods.fresh,
        };
        if !is_due {
            return None;
        }
        sync.last = now;
        sync.call = Call::Busy;
        sync.next = now + self.periods.busy;
        Some((name.clone(), sync.client.clone()))
    }
}

/// Why a worker is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// It runs tasks or has records to drop.
    Tasks,
    /// A job waits for a ticket of it.
    Ticket,
}
