//! Proposals on their way into the log, one after the other.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use fuchsiamill_api::{AuditOutcome, AuditRecord};
use fuchsiamill_model::{ChangeId, LogEntry, Moment, Version};
use fuchsiamill_policy::config_log::{
    Append, AppendEvent, AppendStep, Confirmation, Conflict, Finish, Proposal, Write,
    compaction_due,
};
use fuchsiamill_ports::Result;
use monoio::time::sleep;
use tokio::sync::oneshot;

use super::{
    Outcome, limits, spread,
    store::{self, HeadRow, LogRead},
    task::{Message, Task},
    wire::Seen,
};

/// What came of a step of an append.
pub enum Stored {
    /// The table's answer to a write, with the head's new row, and the cause when none came.
    Written(AppendEvent, HeadRow, Option<String>),
    /// The log and the head's row were read.
    CaughtUp(Result<LogRead>),
}

/// The proposals of this host.
#[derive(Default)]
pub struct Appends {
    queue: VecDeque<Waiting>,
    active: Option<Active>,
    written: Vec<Written>,
    pub(super) pending_since: Option<Moment>,
    pub(super) polled: Moment,
}

struct Waiting {
    proposal: Proposal,
    deadline: Moment,
    reply: oneshot::Sender<Outcome>,
}

struct Active {
    append: Append,
    deadline: Moment,
    reply: oneshot::Sender<Outcome>,
    doubt: Option<Doubt>,
    cause: String,
}

/// A write whose answer was lost and which may have taken effect.
struct Doubt {
    version: Version,
}

struct Written {
    version: Version,
    deadline: Moment,
    reply: oneshot::Sender<Outcome>,
}

impl Appends {
    /// Whether an entry of this host waits to be accepted.
    pub(super) fn awaits_acceptance(&self) -> bool {
        !self.written.is_empty()
    }
}

impl Task {
    pub(super) fn propose(
        &mut self,
        proposal: Proposal,
        patience: Duration,
        reply: oneshot::Sender<Outcome>,
    ) {
        let deadline = self.cx.clock.now() + patience.as_millis() as u64;
        self.appends.queue.push_back(Waiting { proposal, deadline, reply });
        self.start_next();
    }

    fn start_next(&mut self) {
        if self.appends.active.is_some() || self.replica.version().0 == 0 {
            return;
        }
        let Some(Waiting { proposal, deadline, reply }) = self.appends.queue.pop_front() else {
            return;
        };
        let mut append = Append::new(proposal, self.acceptance.accepted());
        let step = append.start(&self.replica, self.cx.clock.wall());
        let cause = String::new();
        let active = Active { append, deadline, reply, doubt: None, cause };
        self.perform(active, step);
    }

    fn perform(&mut self, mut active: Active, step: AppendStep) {
        match step {
            AppendStep::Finish(finish) => return self.finish(active, finish),
            AppendStep::CatchUp => self.catch_up(),
            AppendStep::Write(_) if self.head == HeadRow::Unknown => self.catch_up(),
            AppendStep::Write(write) => {
                let is_new = |doubt: &Doubt| doubt.version != write.entry.version;
                if active.doubt.as_ref().is_some_and(is_new) {
                    active.doubt = None;
                }
                self.write(write);
            }
        }
        self.appends.active = Some(active);
    }

    fn write(&self, write: Write) {
        let (cx, tx, head) = (self.cx.clone(), self.tx.clone(), self.head);
        monoio::spawn(async move {
            let commit = store::commit_of(&write, head);
            let outcome = limits::commit(&*cx.table, &commit, &write.entry).await;
            let (event, row) = store::event_of(&outcome);
            let cause = match &outcome {
                Err(e) if e.may_have_taken_effect() => Some(e.to_string()),
                _ => None,
            };
            let _ = tx.send(Message::Stored(Stored::Written(event, row, cause)));
        });
    }

    fn catch_up(&self) {
        let (cx, tx) = (self.cx.clone(), self.tx.clone());
        let applied = self.replica.version();
        let pause = Duration::from_millis(cx.settings.retries.backoff_ms);
        monoio::spawn(async move {
            let mut read = store::read_log_and_head(&*cx.table, applied).await;
            if read.is_err() {
                sleep(pause).await;
                read = store::read_log_and_head(&*cx.table, applied).await;
            }
            let _ = tx.send(Message::Stored(Stored::CaughtUp(read)));
        });
    }

    pub(super) fn stored(&mut self, stored: Stored) {
        let Some(mut active) = self.appends.active.take() else { return };
        let event = match stored {
            Stored::Written(event, row, lost) => {
                self.note_write(&mut active, event, row, lost);
                event
            }
            Stored::CaughtUp(Ok(read)) => {
                self.take(read);
                AppendEvent::CaughtUp
            }
            Stored::CaughtUp(Err(e)) => {
                active.cause = e.to_string();
                AppendEvent::ReadFailed
            }
        };
        let step = active.append.next(event, &self.replica, self.cx.clock.wall());
        let is_overdue = self.cx.clock.now() >= active.deadline;
        if is_overdue && !matches!(step, AppendStep::Finish(_)) {
            return self.give_up(active);
        }
        self.perform(active, step);
    }

    fn note_write(
        &mut self,
        active: &mut Active,
        event: AppendEvent,
        row: HeadRow,
        lost: Option<String>,
    ) {
        self.head = row;
        if event == AppendEvent::Written {
            return;
        }
        if let (Some(cause), Some(version)) = (lost, active.append.sent_version()) {
            self.cx.metrics.event("config_answers_lost");
            active.doubt = Some(Doubt { version });
            active.cause = cause;
        }
    }

    /// Answers an operator who has waited long enough, and leaves the append.
    fn give_up(&mut self, active: Active) {
        let is_possible = |doubt: &Doubt| doubt.version > self.replica.version();
        let outcome = match active.doubt.as_ref().filter(|doubt| is_possible(doubt)) {
            Some(_) => Outcome::InDoubt(active.cause),
            None => Outcome::Unavailable(active.cause),
        };
        let _ = active.reply.send(outcome);
        self.start_next();
    }

    fn finish(&mut self, active: Active, finish: Finish) {
        let Active { append, deadline, reply, .. } = active;
        match finish {
            Finish::Written(entry) => {
                self.cx.metrics.event("config_entries_written");
                self.entry_written(&entry);
                let version = entry.version;
                self.appends.written.push(Written { version, deadline, reply });
                self.answer_accepted(self.acceptance.accepted());
            }
            Finish::Conflict(conflict) => {
                self.audit(append.proposal(), AuditOutcome::Conflict, describe(&conflict));
                let _ = reply.send(Outcome::Conflict(conflict));
            }
            Finish::Refused(e) => {
                self.audit(append.proposal(), AuditOutcome::Refused, e.to_string());
                let _ = reply.send(Outcome::Refused(e.to_string()));
            }
            Finish::TooManyRecordChanges => {
                let reason = "Entry hosts change one at a time; ask for each on its own.";
                self.audit(append.proposal(), AuditOutcome::Refused, reason.into());
                let _ = reply.send(Outcome::Refused(reason.into()));
            }
        }
        self.start_next();
    }

    fn entry_written(&mut self, entry: &Rc<LogEntry>) {
        if entry.version > self.replica.version() {
            let row = spread::row_of(self.head);
            self.take(LogRead::entries(vec![entry.clone()], row));
        }
        self.push(entry);
        self.fold_if_due();
    }

    fn fold_if_due(&self) {
        let cfg = self.replica.configuration().clone();
        let Some(compaction) = compaction_due(&cfg, self.snapshot) else { return };
        let (cx, tx) = (self.cx.clone(), self.tx.clone());
        monoio::spawn(async move {
            match store::compact(&*cx.table, &cfg, compaction).await {
                Ok(version) => drop(tx.send(Message::Folded(version))),
                Err(_) => cx.metrics.event("config_folds_failed"),
            }
        });
    }

    fn audit(&self, proposal: &Proposal, outcome: AuditOutcome, reason: String) {
        let version = self.replica.version();
        let record = AuditRecord {
            at: self.cx.clock.wall(),
            id: ChangeId(format!("{}-{:08x}", proposal.id.0, fastrand::u32(..))),
            who: proposal.who.clone(),
            intent: proposal.intent.clone(),
            plan: proposal.plan.clone(),
            before: version,
            after: version,
            outcome,
            reason,
        };
        self.cx.audit.record(&self.cx, record);
    }

    /// Answers those whose entry is accepted, and tells the peers.
    pub(super) fn answer_accepted(&mut self, accepted: Version) {
        let (done, left): (Vec<_>, Vec<_>) =
            self.appends.written.drain(..).partition(|it| it.version <= accepted);
        self.appends.written = left;
        if done.is_empty() {
            return;
        }
        let from = self.cx.settings.entry.name.clone();
        spread::notify(&self.cx, &Seen::Accepted { from, version: accepted });
        for written in done {
            let _ = written.reply.send(Outcome::Accepted(written.version));
        }
    }

    /// Answers those who have waited long enough.
    pub(super) fn answer_overdue(&mut self, now: Moment) {
        self.start_next();
        let (late, left): (Vec<_>, Vec<_>) =
            self.appends.written.drain(..).partition(|it| now >= it.deadline);
        self.appends.written = left;
        for written in late {
            let waiting = match self.acceptance.confirmation(written.version) {
                Confirmation::Spreading(hosts)
                | Confirmation::Waiting(hosts, _)
                | Confirmation::Accepted(hosts) => hosts,
            };
            let _ = written.reply.send(Outcome::Pending(written.version, waiting));
        }
        let is_late = |waiting: &Waiting| now >= waiting.deadline;
        while let Some(waiting) = self.appends.queue.pop_front_if(|waiting| is_late(waiting)) {
            let cause = "The configuration is not known yet or other changes wait; try again.";
            let _ = waiting.reply.send(Outcome::Unavailable(cause.into()));
        }
    }
}

/// A conflict as a sentence that names the remedy.
pub fn describe(conflict: &Conflict) -> String {
    match conflict {
        Conflict::Changed { subject, by } => format!(
            "{subject} was changed first by {} in version {} ({}); ask again to see the plan as it is now.",
            by.who, by.version, by.intent
        ),
        Conflict::TooOld { basis } => format!(
            "Version {basis}, from which this was made, is too long ago; ask again for a new plan."
        ),
        Conflict::RecordPending { version } => format!(
            "The last change of the entry hosts, version {version}, is not accepted yet; try again later."
        ),
    }
}
