//! The loop of the coordinating entry host.

use std::{
    cell::{Cell, RefCell},
    pin::pin,
    rc::Rc,
    time::Duration,
};

use fuchsiamill_fleet::{
    Coordinator, Lateness, Name, StartBudget, Tenure, coordinator::WaveRecord,
};
use fuchsiamill_model::{
    FastMap,
    units::{Millisecond, Moment},
};
use fuchsiamill_platform::tables as shared;
use futures_util::future::{Either, select};
use monoio::time::timeout;
use tokio::sync::mpsc;

use super::{
    Candidate, DeletedRows, DurationsRow, RENEW_INTERVAL_MS,
    commits::release,
    election::{REFUSING_SILENCE_MS, WonLease},
    event::{Event, EventSender, LinkEvent},
    feeds::Feed,
    hosts::HostWatch,
    lease::{Lease, LeaseLost},
    links::{Link, LinkContext},
    load::{Loaded, UnreadableWorkers, load},
    load_log::LoadLog,
    pools::PoolLog,
    standing::HolderState,
    start_queue::{StartQueue, StartQueueContext},
    takeover::{stronger_available, takeover, watch_former, watch_stronger},
    takeover_log::TakeoverLog,
    waits::WaitLog,
    waves::WaveLog,
};
use crate::tables;

/// The interval of the work that depends on time alone, and of planning hosts.
const TICK_MS: Millisecond = 50;

/// The least time between the starts of two transactions. Whatever happens in between is stored in one transaction.
const COMMIT_INTERVAL_MS: Millisecond = 15;

/// The reason for which a process stops coordinating.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReason {
    /// Another process holds the lease.
    Lost,
    /// A worker has accepted orders of a newer coordinator.
    Fenced,
    /// The process was told to stop.
    Stopping,
    /// A much stronger entry host is able to coordinate.
    Yielding,
}

/// The coordinating entry host, for as long as it holds the lease.
pub struct Leader {
    pub(super) cx: Candidate,
    pub(super) coordinator: Coordinator,
    pub(super) unreadable_workers: UnreadableWorkers,
    pub(super) links: FastMap<Name, Rc<Link>>,
    pub(super) link_context: LinkContext,
    /// The lease; `None` while a transaction is under way.
    pub(super) lease: Option<Box<Lease>>,
    /// When the last transaction was committed.
    pub(super) last_commit: Moment,
    /// When the last transaction was begun.
    pub(super) last_commit_begin: Moment,
    /// When the last transaction was begun that is known to have taken effect.
    pub(super) last_confirmed_begin: Option<Moment>,
    /// How long the last transaction took.
    pub(super) record_ms: Millisecond,
    /// When the work of [`TICK_MS`] was last done.
    last_tick: Moment,
    pub(super) board_written: Moment,
    /// A reading of the store's clock in milliseconds, and the moment of the reading.
    pub(super) store_offset: (u64, Moment),
    pub(super) event_sender: EventSender,
    pub(super) events: mpsc::UnboundedReceiver<Event>,
    /// Records of maintenance waves that earlier coordinators stored, by wave number.
    waves: FastMap<u64, WaveRecord>,
    pub(super) deleted_rows: DeletedRows,
    /// Rows of the table of progress that are deleted with the next transactions.
    pub(super) purged: Vec<Name>,
    /// Whether rows of cancellations are being deleted. One deletion at a time leaves the store's rate of writes to others.
    pub(super) is_purging_cancels: bool,
    config_version: u64,
    pool_log: PoolLog,
    pub(super) load_log: LoadLog,
    wait_log: WaitLog,
    wave_log: WaveLog,
    pub(super) durations_row: DurationsRow,
    pub(super) start_queue: StartQueue,
    pub(super) takeover_log: TakeoverLog,
}

impl Leader {
    /// Coordinates until one of the [`LeaveReason`]s applies.
    pub async fn run(cx: Candidate, won: WonLease) -> LeaveReason {
        let mut leader = match Self::start(cx, won).await {
            Ok(leader) => leader,
            Err(reason) => return reason,
        };
        leader.log_inherited_holds(leader.cx.clock.now());
        let reason = loop {
            if let Some(reason) = leader.step().await {
                break reason;
            }
        };
        leader.link_context.is_leading.set(false);
        leader.links.values().for_each(|it| it.close());
        if matches!(reason, LeaveReason::Stopping | LeaveReason::Yielding) {
            leader.release_lease().await;
        }
        reason
    }

    /// Loads the state and starts the tasks that send events; fails if the lease is lost or left meanwhile.
    async fn start(cx: Candidate, mut won: WonLease) -> Result<Self, LeaveReason> {
        let taken = cx.clock.now();
        let holder_state = won.holder_state;
        let store_offset = (won.lease.store_ms(), taken);
        let state = load(&cx, takeover(&cx, holder_state, taken), store_offset.0);
        let stronger = stronger_available(cx.entries.clone(), cx.clock, cx.keeps_until);
        let Some(loaded) = renew_while(&mut won.lease, unless(stronger, state)).await? else {
            release(&mut won.lease).await;
            return Err(LeaveReason::Yielding);
        };
        let Loaded {
            coordinator,
            jobs_version,
            workers_version,
            unreadable_workers,
            waves,
            orphans,
        } = loaded;
        let takeover_log = TakeoverLog::new(&won, cx.clock.now());
        let WonLease { lease, former, .. } = won;
        let is_leading = Rc::new(Cell::new(true));
        let (event_sender, events) = EventSender::channel();
        if holder_state != HolderState::Stopped {
            monoio::spawn(watch_former(former, event_sender.clone(), is_leading.clone()));
        }
        monoio::spawn(watch_stronger(
            cx.entries.clone(),
            cx.clock,
            cx.keeps_until,
            event_sender.clone(),
            is_leading.clone(),
        ));
        if let Some(hosts) = cx.hosts.clone() {
            let (clock, event_sender, is_leading) =
                (cx.clock, event_sender.clone(), is_leading.clone());
            monoio::spawn(HostWatch { hosts, clock, event_sender, is_leading }.run());
        }
        let feed = |table, parts, wrap| Feed {
            store: cx.store.clone(),
            table,
            parts,
            wrap,
            clock: cx.clock,
            event_sender: event_sender.clone(),
            is_leading: is_leading.clone(),
        };
        let job_parts = tables::job_parts().collect();
        monoio::spawn(feed(tables::JOBS, job_parts, Event::Jobs).run(jobs_version));
        let worker_parts = vec![String::new()];
        monoio::spawn(feed(shared::WORKERS, worker_parts, Event::Workers).run(workers_version));
        let link_context = LinkContext {
            clock: cx.clock,
            event_sender: event_sender.clone(),
            fence: lease.term(),
            lease_ms: cx.timing.lease_ms,
            is_leading,
            confirmed: Rc::new(Cell::new(taken)),
            renewal_ms: cx.timing.renewal_ms,
            calls: Rc::default(),
            lateness: Rc::new(RefCell::new(Lateness::new(cx.clock.now()))),
            jobs_known: Rc::new(Cell::new(taken)),
            start_budget: StartBudget::new(cx.timing.cancel_ms),
            traffic: Rc::default(),
            intent: cx.intent.clone(),
        };
        let load_log =
            LoadLog::new(cx.store.traffic().clone(), link_context.traffic.clone(), cx.clock.now());
        let start_queue = StartQueue::new(StartQueueContext {
            clock: cx.clock,
            fence: lease.term(),
            own_address: cx.own.address.clone(),
            metrics: cx.metrics.clone(),
        });
        Ok(Self {
            durations_row: DurationsRow::new(taken),
            start_queue,
            takeover_log,
            coordinator,
            unreadable_workers,
            links: FastMap::default(),
            link_context,
            last_commit: taken,
            last_commit_begin: Moment(0),
            last_confirmed_begin: None,
            record_ms: 0,
            last_tick: Moment(0),
            board_written: Moment(0),
            store_offset,
            lease: Some(Box::new(lease)),
            event_sender,
            events,
            waves,
            deleted_rows: DeletedRows::default(),
            purged: orphans,
            is_purging_cancels: false,
            config_version: 0,
            pool_log: PoolLog::default(),
            load_log,
            wait_log: WaitLog::default(),
            wave_log: WaveLog::default(),
            cx,
        })
    }

    /// Applies all pending events, waiting for one if there is none, and acts on them.
    async fn step(&mut self) -> Option<LeaveReason> {
        let pause = self.pause();
        let begun = self.cx.clock.now();
        let mut event = timeout(pause, self.events.recv()).await.ok().flatten();
        let waited = Duration::from_millis(self.cx.clock.now().since(begun)).min(pause);
        while let Some(it) = event {
            if let Some(reason) = self.apply(it) {
                return Some(reason);
            }
            event = self.events.try_recv().ok();
        }
        let reason = self.advance();
        let turn = self.cx.clock.now().since(begun).saturating_sub(waited.as_millis() as u64);
        self.load_log.note_turn(turn);
        reason
    }

    fn apply(&mut self, event: Event) -> Option<LeaveReason> {
        match event {
            Event::Jobs(it) => self.apply_jobs(it),
            Event::Workers(it) => self.apply_workers(it),
            Event::Link(LinkEvent::Fenced(worker)) => {
                tracing::warn!(event = "fenced", %worker);
                return Some(LeaveReason::Fenced);
            }
            Event::Link(it) => self.apply_link(it),
            Event::Committed(lease, Ok(())) => self.apply_commit(lease),
            Event::Committed(_, Err(LeaseLost)) => return Some(LeaveReason::Lost),
            Event::Host(it) => self.apply_host(it),
            Event::Advised(step, asked, permits) => {
                self.coordinator.advice_answered(&step, &asked, permits);
            }
            Event::StrongerAvailable => return Some(LeaveReason::Yielding),
            Event::FormerEnded => {
                tracing::info!(event = "former-coordinator-over");
                self.coordinator.former_coordinator_ended(self.cx.clock.now());
            }
            Event::Purged(jobs, deletions) => {
                self.note_deleted(deletions);
                let rows = self.coordinator.rows_deleted(&jobs);
                self.purged.extend(rows);
            }
            Event::PurgeFailed(jobs) => self.coordinator.rows_not_deleted(&jobs),
            Event::CancelsPurged(requests, deletions) => {
                self.note_deleted(deletions);
                self.is_purging_cancels = false;
                self.coordinator.cancels_deleted(&requests);
            }
        }
        None
    }

    /// Lets the coordinator decide, stores its records and executes its orders.
    fn advance(&mut self) -> Option<LeaveReason> {
        if self.cx.is_stopping.get() {
            return Some(LeaveReason::Stopping);
        }
        let now = self.cx.clock.now();
        if now.since(self.last_tick) >= TICK_MS {
            self.last_tick = now;
            self.apply_config();
            self.coordinator.tick(now, self.cx.clock.wall());
            self.coordinator.plan_hosts(now);
            self.pool_log.log_changes(self.coordinator.pool_needs(), &self.cx.metrics, now);
            self.log_load(now);
            self.log_learned(now);
            let tenure = Tenure::at(self.last_confirmed_begin, REFUSING_SILENCE_MS, now);
            self.wait_log.log(&self.coordinator, &self.cx.metrics, tenure, now);
            self.wave_log.log_changes(&self.coordinator, tenure, now);
            self.close_unknown_links();
            self.purge(now);
            self.purge_cancels(now);
        }
        // A start needs a stored record. While no transaction can begin, placing tasks would only have to be repeated.
        // What the last commit released takes room of the starts that are placed now.
        self.execute_orders();
        if self.lease.is_some() && now.since(self.last_commit_begin) >= COMMIT_INTERVAL_MS {
            if self.link_context.may_start(now) {
                let most = self.start_room(now);
                self.coordinator.place_at_most(most, now);
            }
            self.begin_commit(now);
        }
        self.execute_orders();
        None
    }

    fn start_room(&self, now: Moment) -> usize {
        let mut lateness = self.link_context.lateness.borrow_mut();
        let others = self.cx.entries.borrow().all.len();
        let own = lateness.place_room(self.record_ms, self.start_queue.waiting(), now);
        self.start_queue.start_room(own, others, lateness.is_late(), now)
    }

    /// Returns how long to wait for an event.
    fn pause(&self) -> Duration {
        let now = self.cx.clock.now();
        let until_commit = COMMIT_INTERVAL_MS.saturating_sub(now.since(self.last_commit_begin));
        let ms = if self.start_queue.waiting() > 0 {
            COMMIT_INTERVAL_MS
        } else if self.lease.is_none() {
            TICK_MS
        } else if self.coordinator.has_records() {
            until_commit.max(1)
        } else if self.coordinator.has_work() && self.link_context.may_start(now) {
            // Where a placement was possible already, it has left tasks for want of room for starts.
            if until_commit == 0 { COMMIT_INTERVAL_MS } else { until_commit }
        } else {
            TICK_MS
        };
        Duration::from_millis(ms)
    }

    fn apply_config(&mut self) {
        let (config, waves, evacuated) = {
            let intent = self.cx.intent.borrow();
            (intent.config.clone(), intent.waves.clone(), intent.evacuated.clone())
        };
        self.apply_evacuations(&evacuated);
        self.coordinator.waves_requested(&waves, &self.waves, self.cx.clock.now());
        if let Some(config) = config
            && config.version > self.config_version
        {
            self.config_version = config.version;
            self.cx.metrics.configured(config.version);
            self.coordinator.configure(config);
        }
    }
}

/// Returns the result of `work`, or `None` if `end` comes first.
async fn unless<T>(end: impl Future<Output = ()>, work: impl Future<Output = T>) -> Option<T> {
    match select(pin!(work), pin!(end)).await {
        Either::Left((done, _)) => Some(done),
        Either::Right(_) => None,
    }
}

/// Runs `work` and renews the lease meanwhile; fails if the lease is lost. A weak entry host needs seconds to
/// load the state of thousands of jobs.
async fn renew_while<T>(
    lease: &mut Lease,
    work: impl Future<Output = T>,
) -> Result<T, LeaveReason> {
    let mut work = pin!(work);
    loop {
        if let Ok(done) = timeout(Duration::from_millis(RENEW_INTERVAL_MS), &mut work).await {
            return Ok(done);
        }
        let (renewed, done) = {
            let mut renewal = pin!(lease.commit(Vec::new(), Vec::new()));
            match select(&mut work, &mut renewal).await {
                Either::Left((done, renewal)) => (renewal.await, Some(done)),
                Either::Right((renewed, _)) => (renewed, None),
            }
        };
        renewed.map_err(|LeaseLost| LeaveReason::Lost)?;
        if let Some(done) = done {
            return Ok(done);
        }
    }
}
