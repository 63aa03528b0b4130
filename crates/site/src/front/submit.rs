//! Writes accepted jobs and cancellations to the store, several in one transaction.

use std::{cell::Cell, collections::VecDeque, rc::Rc, time::Duration};

use fuchsiamill_model::units::Moment;
use fuchsiamill_platform::{Key, Row, Store, Tx, TxAnswer};
use monoio::time::sleep;
use tokio::sync::{mpsc, oneshot};

use crate::{
    clock::Clock,
    relay::{Reach, Relay},
};

/// The most rows in one transaction.
const MAX_TX_ROWS: usize = 48;

/// The most bytes of values in one transaction, which stay below the store's limit of 1 MB when encoded in base64.
const MAX_TX_BYTES: usize = 500_000;

/// The pause after the first failed commit; it doubles with each further one, up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(25);
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// The outcome of an insertion.
#[derive(Clone, Debug, PartialEq)]
pub enum Inserted {
    /// The row is stored.
    Stored,
    /// A row with the key, given here, was stored before.
    Exists(Row),
    /// The row is not stored and never will be.
    Refused,
    /// The row may or may not be stored.
    Unknown,
}

/// A row to insert unless its key exists.
pub struct Insert {
    /// The row's key.
    pub key: Key,
    /// The row's value.
    pub value: Vec<u8>,
    /// When to give up if the store has certainly not executed any attempt.
    pub give_up: Moment,
    /// When to give up if an attempt was not answered and may have been executed.
    pub deadline: Moment,
    /// Whether a transaction with the row was sent. If the receiver of the reply goes away before that, the row is
    /// never stored.
    pub is_sent: Rc<Cell<bool>>,
    /// Sends the outcome to the waiting request.
    pub reply: oneshot::Sender<Inserted>,
}

struct Waiting {
    insert: Insert,
    maybe_stored: bool,
}

impl Waiting {
    /// Returns whether nobody waits for the outcome and no transaction with the row was sent.
    fn is_withdrawn(&self) -> bool {
        self.insert.reply.is_closed() && !self.insert.is_sent.get()
    }
}

/// Inserts rows of one partition, one transaction at a time.
pub struct Submitter {
    /// The platform's store.
    pub store: Rc<Store>,
    /// The process's clock.
    pub clock: Clock,
    /// Rows to insert.
    pub rx: mpsc::UnboundedReceiver<Insert>,
    /// Shows whether this entry host is cut off from the others.
    pub relay: Rc<Relay>,
}

impl Submitter {
    /// Runs until all senders of insertions are gone.
    pub async fn run(mut self) {
        let mut waiting = VecDeque::new();
        let mut pause = FIRST_PAUSE;
        while self.receive(&mut waiting).await {
            waiting.retain(|it: &Waiting| !it.is_withdrawn());
            self.refuse_overdue(&mut waiting);
            let mut batch = take_batch(&mut waiting);
            if batch.is_empty() {
                continue;
            }
            batch.iter().for_each(|it| it.insert.is_sent.set(true));
            let answer = self.store.commit(&insert_tx(&batch)).await;
            match answer {
                Ok(TxAnswer::Done { .. }) => {
                    pause = FIRST_PAUSE;
                    batch.drain(..).for_each(|it| reply(it, Inserted::Stored));
                }
                Ok(TxAnswer::Conflict { rows }) => {
                    pause = FIRST_PAUSE;
                    batch = reply_existing(batch, &rows);
                }
                Err(e) => {
                    tracing::debug!(event = "insert-failed", rows = batch.len(), error = %e);
                    if !e.is_certainly_not_executed() {
                        batch.iter_mut().for_each(|it| it.maybe_stored = true);
                    }
                    sleep(pause).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
            let now = self.clock.now();
            for it in batch.into_iter().rev() {
                match give_up(&it, now, self.is_cut_off()) {
                    Some(outcome) => reply(it, outcome),
                    None => waiting.push_front(it),
                }
            }
        }
    }

    /// Returns whether this entry host is cut off. If so, insertions are given up early, since the caller's next
    /// attempt reaches another entry host.
    fn is_cut_off(&self) -> bool {
        !self.store.is_direct_path_up() && self.relay.reach() == Reach::CutOff
    }

    /// Refuses rows that were not sent within the time for which their requests are held, which may happen where the process
    /// stood still. Their callers may have been refused by another entry host since, which a later insertion would make untrue.
    fn refuse_overdue(&self, waiting: &mut VecDeque<Waiting>) {
        let now = self.clock.now();
        let is_overdue = |it: &Waiting| !it.insert.is_sent.get() && now >= it.insert.deadline;
        let (overdue, in_time) = waiting.drain(..).partition::<Vec<_>, _>(is_overdue);
        waiting.extend(in_time);
        overdue.into_iter().for_each(|it| reply(it, Inserted::Refused));
    }

    async fn receive(&mut self, waiting: &mut VecDeque<Waiting>) -> bool {
        if waiting.is_empty() {
            let Some(insert) = self.rx.recv().await else { return false };
            waiting.push_back(Waiting { insert, maybe_stored: false });
        }
        while let Ok(insert) = self.rx.try_recv() {
            waiting.push_back(Waiting { insert, maybe_stored: false });
        }
        true
    }
}

fn take_batch(waiting: &mut VecDeque<Waiting>) -> Vec<Waiting> {
    let mut batch: Vec<Waiting> = Vec::new();
    let mut bytes = 0;
    while let Some(next) = waiting.front() {
        bytes += next.insert.value.len();
        let has_key = batch.iter().any(|it| it.insert.key == next.insert.key);
        if batch.len() == MAX_TX_ROWS || has_key || (bytes > MAX_TX_BYTES && !batch.is_empty()) {
            break;
        }
        batch.extend(waiting.pop_front());
    }
    batch
}

fn insert_tx(batch: &[Waiting]) -> Tx {
    Tx {
        expected: batch.iter().map(|it| (it.insert.key.clone(), 0)).collect(),
        puts: batch.iter().map(|it| (it.insert.key.clone(), it.insert.value.clone())).collect(),
        drops: Vec::new(),
    }
}

/// Replies to the insertions whose row exists, and returns the others, which were not written.
fn reply_existing(batch: Vec<Waiting>, rows: &[Row]) -> Vec<Waiting> {
    let mut unwritten = Vec::new();
    for it in batch {
        match rows.iter().find(|row| row.key == it.insert.key) {
            Some(row) if it.maybe_stored && row.value == it.insert.value => {
                reply(it, Inserted::Stored)
            }
            Some(row) => reply(it, Inserted::Exists(row.clone())),
            None => unwritten.push(it),
        }
    }
    unwritten
}

fn give_up(it: &Waiting, now: Moment, is_cut_off: bool) -> Option<Inserted> {
    match it.maybe_stored {
        true if is_cut_off => Some(Inserted::Unknown),
        false if is_cut_off => Some(Inserted::Refused),
        true if now >= it.insert.deadline => Some(Inserted::Unknown),
        false if now >= it.insert.give_up => Some(Inserted::Refused),
        _ => None,
    }
}

fn reply(it: Waiting, outcome: Inserted) {
    // The receiver may be gone; this does not change what was stored.
    let _ = it.insert.reply.send(outcome);
}
