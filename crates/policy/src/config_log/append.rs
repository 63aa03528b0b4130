//! Appending one entry to the log, at most once, also when the table's answer is lost.

use std::rc::Rc;

use fuchsiamill_model::{
    Change, ChangeId, Error, LogEntry, OperatorName, PlanId, Version, WallTime,
};

use super::{replica::Replica, rows::Head, subject::Subject};

/// What a proposal takes for granted about the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Nothing but the rules of the configuration itself.
    Newest,
    /// That what it is about has not changed since this version.
    At(Version),
}

/// Changes that somebody wants in force together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The writer's own id; the same id is written at most once.
    pub id: ChangeId,
    /// Who asks.
    pub who: OperatorName,
    /// What was asked for, in words.
    pub intent: String,
    /// The plan that it belongs to.
    pub plan: Option<PlanId>,
    /// What it takes for granted.
    pub basis: Basis,
    /// The changes.
    pub changes: Vec<Change>,
}

/// One write: the head must stand at `condition`, and becomes `head` as the entry is added.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The version at which the head must stand.
    pub condition: Version,
    /// The head after the write.
    pub head: Head,
    /// The entry that is added.
    pub entry: Rc<LogEntry>,
}

/// Why a proposal lost against another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Conflict {
    /// Another entry changed the same thing first.
    Changed {
        /// What both are about.
        subject: Subject,
        /// The entry that came first.
        by: Rc<LogEntry>,
    },
    /// The basis is so old that what changed since is no longer kept.
    TooOld {
        /// The version of the basis.
        basis: Version,
    },
    /// The last change of the record of entry hosts is not accepted yet.
    RecordPending {
        /// The version of that change.
        version: Version,
    },
}

/// How an append ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The entry is in the log.
    Written(Rc<LogEntry>),
    /// Another entry stands in the way; nothing was written.
    Conflict(Conflict),
    /// The rules refuse the changes; nothing was written.
    Refused(Error),
    /// More than one entry host would change in one entry; nothing was written.
    TooManyRecordChanges,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendStep {
    /// Send this write to the table.
    Write(Write),
    /// Read the head and the log after the applied version from the table and apply it.
    CatchUp,
    /// Nothing more.
    Finish(Finish),
}

/// What came of the last step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendEvent {
    /// The table took the write.
    Written,
    /// The head stood elsewhere, so the table refused the write.
    HeadMoved,
    /// No answer came: the write may have taken effect, may still do so, or never.
    AnswerLost,
    /// The replica has applied the log up to the head that the table told.
    CaughtUp,
    /// The table could not be read.
    ReadFailed,
}

/// An append in progress.
#[derive(Clone, Debug)]
pub struct Append {
    proposal: Proposal,
    accepted: Version,
    sent: Option<Write>,
}

impl Append {
    /// An append; `accepted` is the newest accepted version that this host knows.
    pub fn new(proposal: Proposal, accepted: Version) -> Self {
        Self { proposal, accepted, sent: None }
    }

    /// The proposal.
    pub fn proposal(&self) -> &Proposal {
        &self.proposal
    }

    /// The version of a write that was sent and whose outcome is not known.
    pub fn sent_version(&self) -> Option<Version> {
        self.sent.as_ref().map(|write| write.entry.version)
    }

    /// The first step.
    pub fn start(&mut self, replica: &Replica, at: WallTime) -> AppendStep {
        self.write_or_finish(replica, at)
    }

    /// The step after an event.
    pub fn next(&mut self, event: AppendEvent, replica: &Replica, at: WallTime) -> AppendStep {
        match (event, self.sent.take()) {
            (AppendEvent::Written, Some(write)) => AppendStep::Finish(Finish::Written(write.entry)),
            (AppendEvent::CaughtUp, sent) => self.after_reading(sent, replica, at),
            (_, sent) => {
                self.sent = sent;
                AppendStep::CatchUp
            }
        }
    }

    /// Decides by the log whether a write took effect, can no longer do so, or still may.
    fn after_reading(
        &mut self,
        sent: Option<Write>,
        replica: &Replica,
        at: WallTime,
    ) -> AppendStep {
        match sent {
            Some(write) if replica.version() < write.entry.version => {
                self.sent = Some(write.clone());
                AppendStep::Write(write)
            }
            _ => self.write_or_finish(replica, at),
        }
    }

    fn write_or_finish(&mut self, replica: &Replica, at: WallTime) -> AppendStep {
        if let Some(entry) = replica.find(&self.proposal.id) {
            return AppendStep::Finish(Finish::Written(entry.clone()));
        }
        if let Some(conflict) = self.conflict(replica) {
            return AppendStep::Finish(Finish::Conflict(conflict));
        }
        let entry = self.entry(replica, at);
        if let Some(finish) = self.refusal(replica, &entry) {
            return AppendStep::Finish(finish);
        }
        let head = Head { version: entry.version, id: Some(entry.id.clone()) };
        let write = Write { condition: replica.version(), head, entry: Rc::new(entry) };
        self.sent = Some(write.clone());
        AppendStep::Write(write)
    }

    fn entry(&self, replica: &Replica, at: WallTime) -> LogEntry {
        LogEntry {
            version: replica.version().next(),
            id: self.proposal.id.clone(),
            who: self.proposal.who.clone(),
            intent: self.proposal.intent.clone(),
            plan: self.proposal.plan.clone(),
            at,
            changes: self.proposal.changes.clone(),
        }
    }

    fn conflict(&self, replica: &Replica) -> Option<Conflict> {
        let Basis::At(basis) = self.proposal.basis else { return None };
        let Some(mut entries) = replica.entries_after(basis) else {
            return Some(Conflict::TooOld { basis });
        };
        let ours = Subject::all(&self.proposal.changes);
        entries.find_map(|entry| {
            let subject = Subject::shared(entry, &ours)?;
            Some(Conflict::Changed { subject, by: entry.clone() })
        })
    }

    fn refusal(&self, replica: &Replica, entry: &LogEntry) -> Option<Finish> {
        if let Err(e) = replica.configuration().check(entry) {
            return Some(Finish::Refused(e));
        }
        match entry.changes.iter().filter(|change| change.is_record_change()).count() {
            0 => None,
            1 => {
                let version = replica.configuration().entry_version;
                let is_pending = version > self.accepted;
                is_pending.then_some(Finish::Conflict(Conflict::RecordPending { version }))
            }
            _ => Some(Finish::TooManyRecordChanges),
        }
    }
}
