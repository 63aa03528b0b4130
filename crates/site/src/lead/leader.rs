//! The loop of the coordinator.

use std::{cell::Cell, rc::Rc, time::Duration};

use fuchsiamill_fleet::{
    Coordinator, Name, Order,
    coordinator::{HostDuty, Permit, StepKey, Takeover, WaveRecord},
    terms::with_drift,
};
use fuchsiamill_model::{FastMap, FastSet, units::Moment};
use fuchsiamill_platform::{Key, Row, tables as shared, write_wave_state};
use futures_util::future::{Either, select};
use monoio::time::sleep;
use tokio::sync::mpsc;

use super::{
    Candidate, RENEW_MS, advice,
    election::Won,
    entries::Entries,
    feeds::{Feed, FeedEvent},
    hosts::{self, HostEvent, HostWatch},
    lease::{Lease, LeaseRow, Lost},
    links::{Link, LinkEvent, LinkTerms, StartOrder},
    load::{Loaded, apply_job, apply_worker, load},
    standing::{Holder, ask, is_able},
};
use crate::{front::Board, tables};

/// The pause between two looks at what time alone brings about, and at hosts.
const TICK_MS: u64 = 50;

/// The least time between the begins of two changes: what happens in between is stored together.
const PACE_MS: u64 = 15;

/// The pause between two questions to stronger entry hosts: a change of the coordinator costs some starts.
const STRONGER_PAUSE: Duration = Duration::from_secs(4);

/// The pause between two questions to a former holder of the lease.
const FORMER_PAUSE: Duration = Duration::from_millis(300);

/// The board is written with the first change after this time.
const BOARD_MS: u64 = 800;

/// Why a process stopped coordinating.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// Another one holds the lease.
    Lost,
    /// A worker has orders of another one.
    Fenced,
    /// The process was told to stop.
    Stopping,
    /// A stronger entry host can coordinate.
    Yielding,
}

enum Event {
    Jobs(FeedEvent),
    Workers(FeedEvent),
    Link(LinkEvent),
    Host(HostEvent),
    FormerOver,
    StrongerAble,
    Advised(StepKey, Vec<Name>, Option<Vec<(Name, Permit)>>),
    Committed(Box<Lease>, Result<(), Lost>),
    Tick,
}

/// The coordinator's process.
pub struct Leader {
    cx: Candidate,
    coordinator: Coordinator,
    links: FastMap<Name, Rc<Link>>,
    link_terms: LinkTerms,
    /// The lease while no change is under way.
    lease: Option<Box<Lease>>,
    committed: Moment,
    /// When the last change was begun.
    paced: Moment,
    /// When time was last looked at.
    ticked: Moment,
    board_written: Moment,
    store_offset: (u64, Moment),
    commits: mpsc::UnboundedSender<(Box<Lease>, Result<(), Lost>)>,
    host_tx: mpsc::UnboundedSender<HostEvent>,
    advice_tx: mpsc::UnboundedSender<Event>,
    /// What earlier coordinators stored of waves.
    waves: FastMap<u64, WaveRecord>,
    config_version: u64,
}

impl Leader {
    /// Coordinates until the lease is lost or the process is told to stop.
    pub async fn run(cx: Candidate, won: Won) -> Left {
        let taken = cx.clock.now();
        let Won { lease, former, holder } = won;
        let takeover = takeover(&cx, holder, taken);
        let Loaded { coordinator, jobs_version, workers_version, waves } =
            load(&cx, takeover, lease.store_ms()).await;
        let is_leading = Rc::new(Cell::new(true));
        let (link_tx, mut link_rx) = mpsc::unbounded_channel();
        let (job_tx, mut job_rx) = mpsc::unbounded_channel();
        let (worker_tx, mut worker_rx) = mpsc::unbounded_channel();
        let (commits, mut commit_rx) = mpsc::unbounded_channel();
        let (host_tx, mut host_rx) = mpsc::unbounded_channel();
        let (notice_tx, mut notice_rx) = mpsc::unbounded_channel();
        let entries = cx.entries.clone();
        if holder != Holder::Over {
            monoio::spawn(watch_former(former, notice_tx.clone(), is_leading.clone()));
        }
        if let Some(hosts) = cx.hosts.clone() {
            let watch = HostWatch {
                hosts,
                clock: cx.clock,
                tx: host_tx.clone(),
                is_leading: is_leading.clone(),
            };
            monoio::spawn(watch.run());
        }
        let feed = |table, parts, tx| Feed {
            store: cx.store.clone(),
            table,
            parts,
            tx,
            is_leading: is_leading.clone(),
        };
        let job_parts = tables::job_parts().collect();
        monoio::spawn(feed(tables::JOBS, job_parts, job_tx).run(jobs_version));
        let worker_parts = vec![String::new()];
        monoio::spawn(feed(shared::WORKERS, worker_parts, worker_tx).run(workers_version));
        let link_terms = LinkTerms {
            clock: cx.clock,
            tx: link_tx,
            fence: lease.term(),
            lease_ms: cx.terms.lease_ms,
            is_leading: is_leading.clone(),
            confirmed: Rc::new(Cell::new(taken)),
            renewal_ms: cx.terms.renewal_ms,
        };
        let mut leader = Self {
            coordinator,
            links: FastMap::default(),
            link_terms,
            committed: taken,
            paced: Moment(0),
            ticked: Moment(0),
            board_written: Moment(0),
            store_offset: (lease.store_ms(), taken),
            lease: Some(Box::new(lease)),
            commits,
            host_tx,
            advice_tx: notice_tx.clone(),
            waves,
            config_version: 0,
            cx,
        };
        monoio::spawn(watch_stronger(entries, notice_tx, is_leading.clone()));
        let left = loop {
            let event = {
                let jobs = std::pin::pin!(job_rx.recv());
                let workers = std::pin::pin!(worker_rx.recv());
                let links = std::pin::pin!(link_rx.recv());
                let commits = std::pin::pin!(commit_rx.recv());
                let hosts = std::pin::pin!(host_rx.recv());
                let tick = std::pin::pin!(sleep(leader.pause()));
                let feeds = select(jobs, workers);
                let answers = select(links, commits);
                let notices = std::pin::pin!(notice_rx.recv());
                let others = select(select(hosts, notices), tick);
                match select(select(answers, feeds), others).await {
                    Either::Left((Either::Left((Either::Left((it, _)), _)), _)) => {
                        it.map(Event::Link)
                    }
                    Either::Left((Either::Left((Either::Right((it, _)), _)), _)) => {
                        it.map(|(lease, result)| Event::Committed(lease, result))
                    }
                    Either::Left((Either::Right((Either::Left((it, _)), _)), _)) => {
                        it.map(Event::Jobs)
                    }
                    Either::Left((Either::Right((Either::Right((it, _)), _)), _)) => {
                        it.map(Event::Workers)
                    }
                    Either::Right((Either::Left((Either::Left((it, _)), _)), _)) => {
                        it.map(Event::Host)
                    }
                    Either::Right((Either::Left((Either::Right((it, _)), _)), _)) => it,
                    Either::Right((Either::Right(_), _)) => Some(Event::Tick),
                }
            };
            let mut left = event.and_then(|it| leader.apply(it));
            while left.is_none()
                && let Ok(it) = link_rx.try_recv()
            {
                left = leader.apply(Event::Link(it));
            }
            if left.is_none() {
                left = leader.advance();
            }
            if let Some(left) = left {
                break left;
            }
        };
        is_leading.set(false);
        leader.links.values().for_each(|it| it.close());
        if matches!(left, Left::Stopping | Left::Yielding) {
            leader.give_back(commit_rx).await;
        }
        left
    }

    /// Waits for the change under way, then gives the lease back.
    async fn give_back(
        mut self,
        mut commits: mpsc::UnboundedReceiver<(Box<Lease>, Result<(), Lost>)>,
    ) {
        let lease = match self.lease.take() {
            Some(lease) => Some(lease),
            None => commits.recv().await.and_then(|(lease, result)| result.ok().map(|()| lease)),
        };
        if let Some(mut lease) = lease {
            let given = lease.give_back().await;
            tracing::info!(event = "lease-given-back", ok = given.is_ok());
        }
    }

    fn apply(&mut self, event: Event) -> Option<Left> {
        match event {
            Event::Jobs(it) => self.apply_jobs(it),
            Event::Workers(it) => self.apply_workers(it),
            Event::Link(LinkEvent::Fenced(worker)) => {
                tracing::warn!(event = "fenced", %worker);
                return Some(Left::Fenced);
            }
            Event::Link(it) => self.apply_link(it),
            Event::Committed(lease, Ok(())) => self.apply_commit(lease),
            Event::Committed(_, Err(Lost)) => return Some(Left::Lost),
            Event::Host(it) => self.apply_host(it),
            Event::Advised(step, asked, permits) => {
                self.coordinator.advised(&step, &asked, permits);
            }
            Event::StrongerAble => return Some(Left::Yielding),
            Event::FormerOver => {
                tracing::info!(event = "former-coordinator-over");
                self.coordinator.former_over(self.cx.clock.now());
            }
            Event::Tick => {}
        }
        None
    }

    fn apply_jobs(&mut self, event: FeedEvent) {
        let (FeedEvent::Rows(rows) | FeedEvent::Whole(rows)) = event;
        for row in &rows {
            apply_job(&mut self.coordinator, row, None, &self.cx);
        }
    }

    fn apply_workers(&mut self, event: FeedEvent) {
        match event {
            FeedEvent::Rows(rows) => self.apply_worker_rows(&rows),
            FeedEvent::Whole(rows) => {
                let listed: FastSet<&Name> = rows.iter().map(|it| &it.key.key).collect();
                let gone: Vec<Name> = self.coordinator.workers().keys().cloned().collect();
                for id in gone.iter().filter(|it| !listed.contains(it)) {
                    self.coordinator.worker_unlisted(id);
                }
                self.apply_worker_rows(&rows);
            }
        }
    }

    fn apply_worker_rows(&mut self, rows: &[Row]) {
        for row in rows {
            apply_worker(&mut self.coordinator, row, &self.cx);
        }
    }

    fn apply_link(&mut self, event: LinkEvent) {
        let now = self.cx.clock.now();
        match event {
            LinkEvent::Held(id, report) => {
                self.coordinator.worker_held(&id, report, now);
                let at = self.coordinator.workers().get(&id);
                let is_busy = at.is_some_and(|it| !it.live.is_empty());
                if let Some(link) = self.links.get(&id) {
                    link.set_busy(is_busy);
                }
            }
            LinkEvent::Silent(id, renewed) => {
                tracing::info!(event = "worker-silent", worker = %id, renewed = renewed.0, now = now.0);
                self.coordinator.worker_silent(&id, renewed);
            }
            LinkEvent::Dead(id, born) => {
                tracing::info!(event = "worker-over", worker = %id, born);
                self.coordinator.worker_dead(&id, born, now);
            }
            LinkEvent::Started(task, run, answer) => {
                tracing::debug!(event = "start-answered", %task, run, answer = ?answer);
                self.coordinator.start_answered(&task, run, answer, now);
            }
            LinkEvent::Stopped(task, run) => self.coordinator.stop_answered(&task, run, now),
            LinkEvent::Fenced(_) => {}
        }
    }

    fn apply_commit(&mut self, lease: Box<Lease>) {
        let now = self.cx.clock.now();
        self.committed = now;
        self.link_terms.confirmed.set(now);
        self.store_offset = (lease.store_ms(), now);
        self.lease = Some(lease);
        self.coordinator.committed(now);
    }

    /// Decides, stores and orders what the events brought about.
    fn advance(&mut self) -> Option<Left> {
        if self.cx.is_stopping.get() {
            return Some(Left::Stopping);
        }
        let now = self.cx.clock.now();
        if now.since(self.ticked) >= TICK_MS {
            self.ticked = now;
            self.apply_config();
            self.coordinator.tick(now, self.cx.clock.wall());
            self.coordinator.plan_hosts(now);
            self.close_links();
        }
        // A start needs a stored record: without a change to put it in, placing would only be done again.
        if self.lease.is_some() && now.since(self.paced) >= PACE_MS {
            self.coordinator.place(now);
            self.begin_commit(now);
        }
        self.carry_out();
        None
    }

    /// How long to wait for an event.
    fn pause(&self) -> Duration {
        let ms = match self.lease.is_some() && self.coordinator.has_work() {
            true => PACE_MS.saturating_sub(self.cx.clock.now().since(self.paced)).max(1),
            false => TICK_MS,
        };
        Duration::from_millis(ms)
    }

    fn apply_config(&mut self) {
        let (config, waves) = {
            let intent = self.cx.intent.borrow();
            (intent.config.clone(), intent.waves.clone())
        };
        self.coordinator.waves_asked(&waves, &self.waves);
        if let Some(config) = config
            && config.version > self.config_version
        {
            self.config_version = config.version;
            self.coordinator.configure(config);
        }
    }

    fn begin_commit(&mut self, now: Moment) {
        let records = self.coordinator.next_commit().unwrap_or_default().records;
        let waves = self.coordinator.take_wave_records();
        let ordered = self.coordinator.take_recent_orders();
        let is_due = now.since(self.committed) >= RENEW_MS;
        if records.is_empty() && waves.is_empty() && ordered.is_none() && !is_due {
            // Orders that wait for no record are free to go.
            self.coordinator.committed(now);
            return;
        }
        let mut puts: Vec<(Key, Vec<u8>)> = records
            .iter()
            .map(|(id, record)| {
                let value = serde_json::to_vec(record).expect("a record serialises to JSON");
                (tables::progress_key(id), value)
            })
            .collect();
        if let Some(ordered) = ordered {
            let ordered: Vec<(Name, u64)> =
                ordered.into_iter().map(|(host, at)| (host, self.store_time(at))).collect();
            let value = serde_json::to_vec(&ordered).expect("a list serialises to JSON");
            puts.push((tables::host_orders_key(), value));
        }
        for (number, record) in &waves {
            tracing::info!(
                event = "wave",
                wave = number,
                begun = record.begun.len(),
                completed = record.is_completed
            );
            let value = serde_json::to_vec(record).expect("a record serialises to JSON");
            puts.push((tables::wave_key(*number), value));
            puts.push((tables::wave_status_key(*number), write_wave_state(record.is_completed)));
        }
        if now.since(self.board_written) >= BOARD_MS {
            self.board_written = now;
            puts.push((tables::board_key(), self.board(now)));
        }
        let Some(mut lease) = self.lease.take() else { return };
        self.paced = now;
        let commits = self.commits.clone();
        monoio::spawn(async move {
            let result = lease.commit(puts, Vec::new()).await;
            // The leader may have stopped.
            let _ = commits.send((lease, result));
        });
    }

    /// A moment on the store's clock.
    fn store_time(&self, at: Moment) -> u64 {
        let (store_ms, read) = self.store_offset;
        (store_ms + at.0).saturating_sub(read.0)
    }

    fn board(&self, now: Moment) -> Vec<u8> {
        let (store_ms, read) = self.store_offset;
        let board =
            Board { at_ms: store_ms + now.since(read), waiting: self.coordinator.waiting() };
        serde_json::to_vec(&board).expect("a board serialises to JSON")
    }

    fn carry_out(&mut self) {
        for order in self.coordinator.take_orders() {
            self.carry(order);
        }
    }

    fn carry(&mut self, order: Order) {
        match order {
            Order::Watch { worker } => self.watch(worker),
            Order::Host { host, duty } => self.order_host(host, duty),
            Order::Advise { step, workers } => self.ask_advice(step, workers),
            Order::Start { worker, task, run, payload, saved, ticket } => {
                let Some(link) = self.links.get(&worker) else { return };
                tracing::info!(event = "task-started", %task, run, %worker);
                let start = StartOrder { task, run, payload, saved, ticket };
                monoio::spawn(link.clone().start(start));
            }
            Order::Stop { worker, task, run } => {
                let Some(link) = self.links.get(&worker) else { return };
                tracing::info!(event = "task-stopped", %task, run, %worker);
                monoio::spawn(link.clone().stop(task, run));
            }
            Order::Pace { worker, task, run, percent } => {
                let Some(link) = self.links.get(&worker) else { return };
                tracing::info!(event = "task-paced", %task, run, %worker, percent);
                monoio::spawn(link.clone().pace(task, run, percent));
            }
            Order::Seen { worker, born, upto } => {
                if let Some(link) = self.links.get(&worker).filter(|it| it.worker.born == born) {
                    link.acknowledge(upto);
                }
            }
        }
    }

    fn ask_advice(&mut self, step: StepKey, workers: Vec<Name>) {
        let Some(advice) = self.cx.advice.clone() else { return };
        let (tx, clock) = (self.advice_tx.clone(), self.cx.clock);
        monoio::spawn(async move {
            let permits = advice::ask(&advice, &step, &workers, clock).await;
            // The leader may have stopped.
            let _ = tx.send(Event::Advised(step, workers, permits));
        });
    }

    fn order_host(&mut self, host: Name, duty: HostDuty) {
        let Some(hosts) = self.cx.hosts.clone() else { return };
        tracing::info!(event = "host-ordered", %host, duty = ?duty);
        let (tx, fence) = (self.host_tx.clone(), self.link_terms.fence);
        monoio::spawn(async move {
            let event = hosts::order(&hosts, host, duty, fence).await;
            // The leader may have stopped.
            let _ = tx.send(event);
        });
    }

    fn apply_host(&mut self, event: HostEvent) {
        let now = self.cx.clock.now();
        match event {
            HostEvent::Listed(hosts, asked) => self.coordinator.hosts_listed(hosts, asked),
            HostEvent::Answered(host, duty, reply) => {
                tracing::info!(event = "host-answered", %host, duty = ?duty, reply = ?reply);
                self.coordinator.host_answered(&host, &duty, reply, now);
            }
        }
    }

    fn watch(&mut self, worker: fuchsiamill_fleet::WorkerSeen) {
        if let Some(link) = self.links.get(&worker.id) {
            if link.worker.born == worker.born && link.worker.addr == worker.addr {
                return;
            }
            link.close();
        }
        let id = worker.id.clone();
        self.links.insert(id, Link::open(worker, self.link_terms.clone()));
    }

    /// Ends the links of workers that are no longer known.
    fn close_links(&mut self) {
        let workers = self.coordinator.workers();
        self.links.retain(|id, link| {
            let is_known = workers.contains_key(id);
            if !is_known {
                link.close();
            }
            is_known
        });
    }
}

/// Until when others may have given orders.
fn takeover(cx: &Candidate, holder: Holder, at: Moment) -> Takeover {
    let renewals_end = match holder {
        Holder::Over => at,
        _ => at + with_drift(cx.terms.renewal_ms),
    };
    Takeover { renewals_end, at }
}

/// Tells once a stronger entry host could coordinate.
async fn watch_stronger(
    entries: Entries,
    tx: mpsc::UnboundedSender<Event>,
    is_leading: Rc<Cell<bool>>,
) {
    loop {
        sleep(STRONGER_PAUSE).await;
        if !is_leading.get() {
            return;
        }
        let rows = entries.borrow().stronger.clone();
        for row in rows {
            if is_able(&row).await {
                // Nobody listens once this process no longer coordinates.
                let _ = tx.send(Event::StrongerAble);
                break;
            }
        }
    }
}

/// Asks the former holder until it surely gives no more orders.
async fn watch_former(
    former: LeaseRow,
    tx: mpsc::UnboundedSender<Event>,
    is_leading: Rc<Cell<bool>>,
) {
    while is_leading.get() {
        if ask(&former).await == Holder::Over {
            // Nobody listens once this process no longer coordinates.
            let _ = tx.send(Event::FormerOver);
            return;
        }
        sleep(FORMER_PAUSE).await;
    }
}
