//! The configuration task: owns the replica, the acceptance and the proposals.

use std::{rc::Rc, time::Duration};

use fuchsiamill_api::ConfigStatus;
use fuchsiamill_model::{Configuration, EntryName, Moment, Version};
use fuchsiamill_peer::{Call, Notice};
use fuchsiamill_policy::config_log::{Acceptance, ApplyOutcome, Proposal, Replica, VersionReport};
use tokio::sync::{mpsc, oneshot, watch};

use super::{
    Outcome,
    appends::{Appends, Stored},
    reads::Reads,
    spread,
    store::{HeadRow, LogRead},
    wire::{AskSince, AskVersion, Entries, Known, News, Seen},
};
use crate::cx::Cx;

/// What the task is told.
pub enum Message {
    /// Somebody proposes changes.
    Propose {
        /// The changes.
        proposal: Proposal,
        /// How long to try before an answer.
        patience: Duration,
        /// Where the answer goes.
        reply: oneshot::Sender<Outcome>,
    },
    /// Somebody asks how far the configuration is.
    Status(oneshot::Sender<ConfigStatus>),
    /// A peer answered a message of this host.
    Told(VersionReport),
    /// A peer knows this version.
    Heard(EntryName, Version),
    /// A peer pushes entries.
    Entries(Call),
    /// A peer asks for the version.
    Version(Call),
    /// A peer asks for what follows a version.
    Since(Call),
    /// A peer has seen something.
    Seen(Notice),
    /// A read of the log ended; it began at this moment.
    Read(Moment, fuchsiamill_ports::Result<LogRead>),
    /// A peer told what follows the applied version.
    News(Option<News>),
    /// A step of an append ended.
    Stored(Stored),
    /// The log was folded; the snapshot has this version.
    Folded(Version),
    /// Some time has passed.
    Tick,
}

/// The state of the configuration task.
pub struct Task {
    pub(super) cx: Rc<Cx>,
    pub(super) tx: mpsc::UnboundedSender<Message>,
    pub(super) replica: Replica,
    pub(super) head: HeadRow,
    pub(super) snapshot: Version,
    pub(super) acceptance: Acceptance,
    pub(super) appends: Appends,
    pub(super) reads: Reads,
    current: watch::Sender<Rc<Configuration>>,
    accepted: watch::Sender<Version>,
}

impl Task {
    /// A task without any configuration yet.
    pub fn new(
        cx: Rc<Cx>,
        tx: mpsc::UnboundedSender<Message>,
        current: watch::Sender<Rc<Configuration>>,
        accepted: watch::Sender<Version>,
    ) -> Self {
        let timing = &cx.settings.timing;
        let acceptance =
            Acceptance::new(Version::default(), [], timing.standing_ms, timing.drift_percent);
        Self {
            replica: Replica::default(),
            head: HeadRow::Unknown,
            snapshot: Version::default(),
            acceptance,
            appends: Appends::default(),
            reads: Reads::default(),
            cx,
            tx,
            current,
            accepted,
        }
    }

    /// Handles messages until the handle is gone.
    pub async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = rx.recv().await {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Propose { proposal, patience, reply } => {
                self.propose(proposal, patience, reply);
            }
            Message::Status(reply) => self.status(reply),
            Message::Told(told) => self.told(&told),
            Message::Heard(from, version) => self.heard(&from, version),
            Message::Entries(call) => self.entries(call),
            Message::Version(call) => self.version(call),
            Message::Since(call) => self.since(call),
            Message::Seen(notice) => self.seen(notice),
            Message::Read(began, read) => self.read_ended(began, read),
            Message::News(news) => self.news(news),
            Message::Stored(stored) => self.stored(stored),
            Message::Folded(version) => self.folded(version),
            Message::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        let now = self.cx.clock.now();
        self.acceptance.tick(now);
        self.publish_accepted();
        self.read_if_due(now);
        self.fetch_if_behind(now);
        self.poll_if_pending(now);
        self.answer_overdue(now);
    }

    /// Takes entries or a snapshot in and tells everybody who follows the configuration.
    pub(super) fn take(&mut self, read: LogRead) -> ApplyOutcome {
        let before = self.replica.version();
        if let Some(snapshot) = read.snapshot {
            self.snapshot = self.snapshot.max(snapshot.version);
            self.replica.install(snapshot);
        }
        let offer = self.replica.apply(read.entries);
        if read.newest == self.replica.version() && read.head != HeadRow::Unknown {
            self.head = read.head;
        } else if self.replica.version() != before {
            self.head = HeadRow::Unknown;
        }
        if let ApplyOutcome::Invalid(e) = &offer {
            self.cx.metrics.event("config_entries_broken");
            log::error!("an entry after version {} does not apply: {e}", self.replica.version());
        }
        if self.replica.version() != before {
            self.publish();
        }
        offer
    }

    fn publish(&mut self) {
        let cfg = self.replica.configuration().clone();
        let now = self.cx.clock.now();
        self.cx.metrics.config_version.record(cfg.version.0, &[]);
        self.cx.cluster.applied(&cfg);
        self.acceptance.record_written(cfg.version, cfg.entry_hosts.keys().cloned(), now);
        self.current.send_replace(cfg);
        self.tell_itself();
    }

    /// Counts this host among those that know what it has applied.
    pub(super) fn tell_itself(&mut self) {
        let now = self.cx.clock.now();
        let told = VersionReport {
            host: self.cx.settings.entry.name.clone(),
            incarnation: self.cx.incarnation.clone(),
            version: self.replica.version(),
            echo: now,
        };
        self.acceptance.record_report(&told, now);
        self.publish_accepted();
    }

    pub(super) fn publish_accepted(&mut self) {
        let accepted = self.acceptance.accepted();
        if *self.accepted.borrow() != accepted {
            self.accepted.send_replace(accepted);
            self.answer_accepted(accepted);
        }
    }

    pub(super) fn told(&mut self, told: &VersionReport) {
        let now = self.cx.clock.now();
        self.acceptance.record_report(told, now);
        self.heard(&told.host, told.version);
        self.tell_itself();
    }

    pub(super) fn heard(&mut self, from: &EntryName, version: Version) {
        self.replica.note_version(version);
        if version > self.replica.version() {
            self.reads.ask(from.clone());
        }
    }

    fn entries(&mut self, call: Call) {
        let Some((pushed, reply)) = call.parse::<Entries>() else { return };
        let offer = self.take(LogRead::entries(pushed.entries, pushed.row));
        if let ApplyOutcome::Gap(_) = offer {
            self.reads.ask(pushed.from);
        }
        reply.send(Ok(self.known()));
    }

    fn version(&mut self, call: Call) {
        let Some((asked, reply)) = call.parse::<AskVersion>() else { return };
        self.heard(&asked.from, asked.version);
        reply.send(Ok(self.known()));
    }

    fn since(&mut self, call: Call) {
        let Some((asked, reply)) = call.parse::<AskSince>() else { return };
        reply.send(Ok(spread::news(self, asked.version)));
    }

    fn known(&self) -> Known {
        Known { incarnation: self.cx.incarnation.clone(), applied: self.replica.version() }
    }

    fn seen(&mut self, notice: Notice) {
        let Ok(seen) = serde_json::from_value::<Seen>(notice) else { return };
        match seen {
            Seen::Table { from, version } => {
                self.reads.postpone(&self.cx);
                self.heard(&from, version);
            }
            Seen::Snapshot { version, .. } => self.snapshot = self.snapshot.max(version),
            Seen::Accepted { from, version } => {
                self.heard(&from, version);
                self.acceptance.accept(version);
                self.publish_accepted();
            }
        }
    }

    fn folded(&mut self, version: Version) {
        self.snapshot = self.snapshot.max(version);
        let from = self.cx.settings.entry.name.clone();
        spread::notify(&self.cx, &Seen::Snapshot { from, version });
    }
}
