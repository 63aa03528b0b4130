//! Writes accepted jobs and cancellations into the store, several in one change.

use std::{cell::Cell, collections::VecDeque, rc::Rc, time::Duration};

use fuchsiamill_model::units::Moment;
use fuchsiamill_platform::{Key, Row, Store, Tx, TxAnswer};
use monoio::time::sleep;
use tokio::sync::{mpsc, oneshot};

use crate::{
    clock::Clock,
    relay::{Reach, Relay},
};

/// The most rows in one change.
const CHANGE_ROWS: usize = 48;

/// The most bytes in one change, below the store's limit of 1 MB with base64.
const CHANGE_BYTES: usize = 500_000;

/// The first pause after a refused change; it doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(25);
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// What became of a row that should be inserted.
#[derive(Clone, Debug, PartialEq)]
pub enum Inserted {
    /// It is stored.
    Stored,
    /// There was one already.
    Exists(Row),
    /// It is not stored and never will be.
    Refused,
    /// Whether it is stored is not known.
    Unknown,
}

/// A row to insert, if there is none yet.
pub struct Insert {
    /// The row's name.
    pub key: Key,
    /// Its value.
    pub value: Vec<u8>,
    /// When to give up if the store has refused every attempt.
    pub give_up: Moment,
    /// When to give up if an attempt had no answer.
    pub deadline: Moment,
    /// Whether a change with it was sent. Until then who waits may go, and it is never stored.
    pub is_sent: Rc<Cell<bool>>,
    /// Who waits for the outcome.
    pub reply: oneshot::Sender<Inserted>,
}

struct Waiting {
    insert: Insert,
    maybe_stored: bool,
}

impl Waiting {
    /// Whether nobody waits for it and no change with it was sent.
    fn is_withdrawn(&self) -> bool {
        self.insert.reply.is_closed() && !self.insert.is_sent.get()
    }
}

/// Inserts rows of one part, one change at a time.
pub struct Submitter {
    /// The store.
    pub store: Rc<Store>,
    /// The clock.
    pub clock: Clock,
    /// Rows to insert.
    pub rx: mpsc::UnboundedReceiver<Insert>,
    /// Tells whether this entry host is cut off.
    pub relay: Rc<Relay>,
}

impl Submitter {
    /// Runs until nobody can ask any more.
    pub async fn run(mut self) {
        let mut waiting = VecDeque::new();
        let mut pause = FIRST_PAUSE;
        while self.fill(&mut waiting).await {
            waiting.retain(|it: &Waiting| !it.is_withdrawn());
            let mut batch = take_batch(&mut waiting);
            if batch.is_empty() {
                continue;
            }
            batch.iter().for_each(|it| it.insert.is_sent.set(true));
            let answer = self.store.commit(&change_of(&batch)).await;
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

    /// Whether other entry hosts would rather be asked: the caller's next try reaches one of them.
    fn is_cut_off(&self) -> bool {
        !self.store.is_direct_path_up() && self.relay.reach() == Reach::CutOff
    }

    async fn fill(&mut self, waiting: &mut VecDeque<Waiting>) -> bool {
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
        let is_twin = batch.iter().any(|it| it.insert.key == next.insert.key);
        if batch.len() == CHANGE_ROWS || is_twin || (bytes > CHANGE_BYTES && !batch.is_empty()) {
            break;
        }
        batch.extend(waiting.pop_front());
    }
    batch
}

fn change_of(batch: &[Waiting]) -> Tx {
    Tx {
        expected: batch.iter().map(|it| (it.insert.key.clone(), 0)).collect(),
        puts: batch.iter().map(|it| (it.insert.key.clone(), it.insert.value.clone())).collect(),
        drops: Vec::new(),
    }
}

/// Answers those whose row is there; the others were not written and are returned.
fn reply_existing(batch: Vec<Waiting>, rows: &[Row]) -> Vec<Waiting> {
    let mut left = Vec::new();
    for it in batch {
        match rows.iter().find(|row| row.key == it.insert.key) {
            Some(row) if it.maybe_stored && row.value == it.insert.value => {
                reply(it, Inserted::Stored)
            }
            Some(row) => reply(it, Inserted::Exists(row.clone())),
            None => left.push(it),
        }
    }
    left
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
    // The caller may have gone; its job stays as it is.
    let _ = it.insert.reply.send(outcome);
}
