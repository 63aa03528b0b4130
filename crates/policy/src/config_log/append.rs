//! Appends one entry to the log at most once, even when the table's answer is lost.

use std::rc::Rc;

use fuchsiamill_model::{
    Change, ChangeId, Error, LogEntry, OperatorName, PlanId, Version, WallTime,
};

use super::{replica::Replica, rows::Head, subject::Subject};

/// The state of the configuration that a proposal assumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// The newest configuration, whatever has changed; only the configuration's own rules apply.
    Newest,
    /// The subjects of the proposal have not changed since this version.
    At(Version),
}

/// Changes that an operator proposes as one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The id that the writer chose; an id is written at most once.
    pub id: ChangeId,
    /// The operator who proposes the changes.
    pub who: OperatorName,
    /// What the operator asked for, as text.
    pub intent: String,
    /// The plan that the changes belong to, if any.
    pub plan: Option<PlanId>,
    /// The assumed state of the configuration.
    pub basis: Basis,
    /// The changes, which take effect together.
    pub changes: Vec<Change>,
}

/// One write, which sets the head and adds the entry on the condition that the head is at `condition`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The version that the head must have.
    pub condition: Version,
    /// The head after the write.
    pub head: Head,
    /// The entry to add.
    pub entry: Rc<LogEntry>,
}

/// Why a proposal conflicts with entries of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Conflict {
    /// Another entry changed the same subject first.
    Changed {
        /// The subject that both change.
        subject: Subject,
        /// The entry that came first.
        by: Rc<LogEntry>,
    },
    /// The entries since the basis are no longer all kept, so conflicts can't be ruled out.
    TooOld {
        /// The version of the basis.
        basis: Version,
    },
    /// The last change of the entry hosts on record is not accepted yet.
    RecordPending {
        /// The version of that change.
        version: Version,
    },
}

/// The result of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The entry is in the log.
    Written(Rc<LogEntry>),
    /// The proposal conflicts with the log; nothing was written.
    Conflict(Conflict),
    /// The changes violate the configuration's rules; nothing was written.
    Refused(Error),
    /// The proposal has more than one change of the entry hosts on record; nothing was written.
    TooManyRecordChanges,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendStep {
    /// Send this write to the table and report the outcome.
    Write(Write),
    /// Read the head and the log after the applied version from the table and apply it.
    CatchUp,
    /// Nothing more; the append has ended.
    Finish(Finish),
}

/// The outcome of the last step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendEvent {
    /// The table applied the write.
    Written,
    /// The head had another version, so the table refused the write.
    HeadMoved,
    /// No answer arrived: the write may have taken effect, may still do so, or may be lost.
    AnswerLost,
    /// The replica has applied the log up to the head that was read from the table.
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
    /// Creates an append; `accepted` is the newest accepted version that this host knows.
    pub fn new(proposal: Proposal, accepted: Version) -> Self {
        Self { proposal, accepted, sent: None }
    }

    /// Returns the proposal.
    pub fn proposal(&self) -> &Proposal {
        &self.proposal
    }

    /// Returns the version of a write that was sent and whose outcome is unknown, if any.
    pub fn sent_version(&self) -> Option<Version> {
        self.sent.as_ref().map(|write| write.entry.version)
    }

    /// Returns the first step.
    pub fn start(&mut self, replica: &Replica, at: WallTime) -> AppendStep {
        self.write_or_finish(replica, at)
    }

    /// Returns the step after an event.
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

    /// Continues after a read of the log, which shows whether a sent write took effect, failed or may still
    /// take effect. In the last case the same write is repeated.
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
