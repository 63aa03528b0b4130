//! The loop of the coordinator.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use fuchsiamill_fleet::{
    Coordinator, Name, Report,
    coordinator::{RunToEnd, WaveRecord},
};
use fuchsiamill_model::{
    FastMap, FastSet,
    units::{Millisecond, Moment},
};
use fuchsiamill_platform::{Row, tables as shared};
use futures_util::future::{Either, select};
use monoio::time::timeout;
use tokio::sync::mpsc;

use super::{
    Candidate, RENEW_MS,
    election::Won,
    event::{Event, Teller},
    feeds::{Feed, FeedEvent},
    hosts::{HostEvent, HostWatch},
    lease::{Lease, Lost},
    links::{Link, LinkEvent, LinkTerms},
    load::{Loaded, OddEntries, apply_job, apply_worker, load},
    pools::PoolLog,
    standing::Holder,
    takeover::{takeover, watch_former, watch_stronger},
};
use crate::tables;

/// The pause between two looks at what time alone brings about, and at hosts.
const TICK_MS: Millisecond = 50;

/// The least time between the begins of two changes: what happens in between is stored together.
const PACE_MS: Millisecond = 15;

/// Runs end within a second of their stop; one that takes longer is told of at each look.
const OVERDUE_MS: Millisecond = 2_000;

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

/// The coordinator's process.
pub struct Leader {
    pub(super) cx: Candidate,
    pub(super) coordinator: Coordinator,
    odd_entries: OddEntries,
    pub(super) links: FastMap<Name, Rc<Link>>,
    pub(super) link_terms: LinkTerms,
    /// The lease while no change is under way.
    pub(super) lease: Option<Box<Lease>>,
    /// When the last change was made.
    pub(super) committed: Moment,
    /// When the last change was begun.
    pub(super) paced: Moment,
    /// When time was last looked at.
    ticked: Moment,
    pub(super) board_written: Moment,
    /// The store's clock at one moment.
    pub(super) store_offset: (u64, Moment),
    pub(super) teller: Teller,
    pub(super) events: mpsc::UnboundedReceiver<Event>,
    /// What earlier coordinators stored of waves.
    waves: FastMap<u64, WaveRecord>,
    /// Jobs whose progress is dropped with the next change.
    pub(super) purged: Vec<Name>,
    config_version: u64,
    pool_log: PoolLog,
}

impl Leader {
    /// Coordinates until the lease is lost or the process is told to stop.
    pub async fn run(cx: Candidate, won: Won) -> Left {
        let Some(mut leader) = Self::start(cx, won).await else { return Left::Lost };
        let left = loop {
            if let Some(left) = leader.step().await {
                break left;
            }
        };
        leader.link_terms.is_leading.set(false);
        leader.links.values().for_each(|it| it.close());
        if matches!(left, Left::Stopping | Left::Yielding) {
            leader.give_back().await;
        }
        left
    }

    /// Loads the state; `None` if the lease is lost meanwhile.
    async fn start(cx: Candidate, won: Won) -> Option<Self> {
        let taken = cx.clock.now();
        let Won { mut lease, former, holder } = won;
        let store_offset = (lease.store_ms(), taken);
        let state = load(&cx, takeover(&cx, holder, taken), store_offset.0);
        let loaded = renewing(&mut lease, state).await?;
        let Loaded { coordinator, jobs_version, workers_version, odd_entries, waves, orphans } =
            loaded;
        let is_leading = Rc::new(Cell::new(true));
        let (teller, events) = Teller::channel();
        if holder != Holder::Over {
            monoio::spawn(watch_former(former, teller.clone(), is_leading.clone()));
        }
        monoio::spawn(watch_stronger(cx.entries.clone(), teller.clone(), is_leading.clone()));
        if let Some(hosts) = cx.hosts.clone() {
            let (clock, teller, is_leading) = (cx.clock, teller.clone(), is_leading.clone());
            monoio::spawn(HostWatch { hosts, clock, teller, is_leading }.run());
        }
        let feed = |table, parts, wrap| Feed {
            store: cx.store.clone(),
            table,
            parts,
            wrap,
            teller: teller.clone(),
            is_leading: is_leading.clone(),
        };
        let job_parts = tables::job_parts().collect();
        monoio::spawn(feed(tables::JOBS, job_parts, Event::Jobs).run(jobs_version));
        let worker_parts = vec![String::new()];
        monoio::spawn(feed(shared::WORKERS, worker_parts, Event::Workers).run(workers_version));
        let link_terms = LinkTerms {
            clock: cx.clock,
            teller: teller.clone(),
            fence: lease.term(),
            lease_ms: cx.terms.lease_ms,
            is_leading,
            confirmed: Rc::new(Cell::new(taken)),
            renewal_ms: cx.terms.renewal_ms,
        };
        Some(Self {
            coordinator,
            odd_entries,
            links: FastMap::default(),
            link_terms,
            committed: taken,
            paced: Moment(0),
            ticked: Moment(0),
            board_written: Moment(0),
            store_offset,
            lease: Some(Box::new(lease)),
            teller,
            events,
            waves,
            purged: orphans,
            config_version: 0,
            pool_log: PoolLog::default(),
            cx,
        })
    }

    /// Takes the events in that are there, or waits for one, and acts on them.
    async fn step(&mut self) -> Option<Left> {
        let pause = self.pause();
        let mut event = timeout(pause, self.events.recv()).await.ok().flatten();
        while let Some(it) = event {
            if let Some(left) = self.apply(it) {
                return Some(left);
            }
            event = self.events.try_recv().ok();
        }
        self.advance()
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
                self.coordinator.advice_answered(&step, &asked, permits);
            }
            Event::StrongerAble => return Some(Left::Yielding),
            Event::FormerOver => {
                tracing::info!(event = "former-coordinator-over");
                self.coordinator.former_coordinator_ended(self.cx.clock.now());
            }
            Event::Purged(jobs) => {
                self.coordinator.rows_deleted(&jobs);
                self.purged.extend(jobs);
            }
            Event::NotPurged(jobs) => self.coordinator.rows_not_deleted(&jobs),
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
                self.odd_entries.retain(&listed);
                self.apply_worker_rows(&rows);
            }
        }
    }

    fn apply_worker_rows(&mut self, rows: &[Row]) {
        for row in rows {
            apply_worker(&mut self.coordinator, &mut self.odd_entries, row, &self.cx);
            self.close_link_of_unknown(&row.key.key);
        }
    }

    fn apply_link(&mut self, event: LinkEvent) {
        let now = self.cx.clock.now();
        match event {
            LinkEvent::Held(id, report) => {
                self.log_ends(&id, &report);
                self.coordinator.worker_reported(&id, report, now);
                self.log_overdue(&id, now);
                if let Some(link) = self.links.get(&id) {
                    link.set_busy(self.coordinator.has_runs(&id));
                }
            }
            LinkEvent::Silent(id, renewed) => {
                if self.coordinator.worker_silent(&id, renewed) {
                    self.cx.metrics.worker_event("silent");
                    let ago_ms = now.since(renewed);
                    tracing::info!(event = "worker-silent", worker = %id, renewed_ago_ms = ago_ms);
                }
            }
            LinkEvent::Dead(id, born) => {
                if self.coordinator.worker_dead(&id, born, now) {
                    self.cx.metrics.worker_event("over");
                    tracing::info!(event = "worker-over", worker = %id, born);
                }
            }
            LinkEvent::ToldHealth(id, born, is_healthy) => {
                if self.coordinator.worker_health_reported(&id, born, is_healthy, now) {
                    self.cx.metrics.worker_event("sick");
                    tracing::info!(event = "worker-sick", worker = %id, born);
                }
            }
            LinkEvent::Started(task, run, answer) => {
                tracing::debug!(event = "start-answered", %task, run, answer = ?answer);
                self.coordinator.start_answered(&task, run, answer, now);
            }
            LinkEvent::Stopped(task, run) => self.coordinator.stop_answered(&task, run, now),
            LinkEvent::NotStopped(task, run) => self.coordinator.stop_failed(&task, run),
            LinkEvent::NotPaced(task, run) => self.coordinator.pace_failed(&task, run),
            LinkEvent::Fenced(_) => {}
        }
    }

    /// Logs the ends that are new; a worker lists each until it is told that it was recorded.
    fn log_ends(&self, id: &Name, report: &Report) {
        let known = self.coordinator.workers().get(id);
        let taken = known.filter(|it| it.seen.born == report.born).map_or(0, |it| it.taken);
        for end in report.ended.iter().filter(|it| it.number > taken) {
            let (task, run, ending) = (&end.task, end.run, end.ending);
            tracing::info!(event = "task-ended", %task, run, worker = %id, ending = ?ending);
        }
    }

    /// Logs runs that were to be stopped long ago and are still listed.
    fn log_overdue(&self, id: &Name, now: Moment) {
        let overdue = self.coordinator.runs_to_end_on(id, now);
        for it in overdue.into_iter().filter(|it| it.age_ms >= OVERDUE_MS) {
            let RunToEnd { task, run, stage, phase, age_ms } = it;
            let stage = stage.as_str();
            tracing::warn!(event = "run-overdue", %task, run, worker = %id, stage, phase = ?phase, age_ms);
        }
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
            self.pool_log.note(self.coordinator.pool_needs(), now);
            self.close_links();
            self.purge(now);
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
        self.coordinator.waves_requested(&waves, &self.waves);
        if let Some(config) = config
            && config.version > self.config_version
        {
            self.config_version = config.version;
            self.cx.metrics.configured(config.version);
            self.coordinator.configure(config);
        }
    }
}

/// Renews the lease until the work is done: a weak entry host takes seconds for the state of thousands of jobs.
async fn renewing<T>(lease: &mut Lease, work: impl Future<Output = T>) -> Option<T> {
    let mut work = pin!(work);
    loop {
        if let Ok(done) = timeout(Duration::from_millis(RENEW_MS), &mut work).await {
            return Some(done);
        }
        let (renewed, done) = {
            let mut renewal = pin!(lease.commit(Vec::new(), Vec::new()));
            match select(&mut work, &mut renewal).await {
                Either::Left((done, renewal)) => (renewal.await, Some(done)),
                Either::Right((renewed, _)) => (renewed, None),
            }
        };
        renewed.ok()?;
        if done.is_some() {
            return done;
        }
    }
}
