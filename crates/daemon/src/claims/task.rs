//! The task that owns the claims of this process.

use std::{
    future::Future,
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};

use fuchsiamill_http::Response;
use fuchsiamill_model::{FastMap, Incarnation, Millisecond, Moment};
use fuchsiamill_policy::claims::{
    Batch, Batcher, Bounds, Claim, ClaimId, ClaimOutcome, ClaimRow, OpId, Outcome, Progress, Sent,
    Step, Submitted,
};
use fuchsiamill_ports::{ObjectClient, Table};
use fuchsiamill_settings as settings;
use monoio::time::{sleep, sleep_until};
use tokio::sync::{mpsc, oneshot};

use super::{
    Answered, Claims, Command, Settled, Wanted,
    answer::{Answers, Kept, LargeAnswer, keep},
    commit::{index_key, write},
    reader,
    sweep::sweep,
    watchers::Watchers,
};
use crate::clock::Clock;

const SWEEP_EVERY: Millisecond = 60_000;
const PUT_TRIES: u32 = 3;
const PUT_PAUSE: Duration = Duration::from_millis(500);

/// What the task is made of.
pub struct Config {
    /// This process.
    pub entry: Incarnation,
    /// Bounds of its claims.
    pub bounds: Bounds,
    /// The process's clock.
    pub clock: Clock,
    /// The random numbers of backoff and sweeps.
    pub rng: fastrand::Rng,
}

impl Config {
    /// The task of the entry host with these settings.
    pub fn new(settings: &settings::Claims, clock: Clock, entry: Incarnation) -> Self {
        let bounds = Bounds {
            writes_per_second: settings.writes_per_second,
            burst: settings.burst,
            rows_per_write: settings.rows_per_write,
            waiting: settings.waiting,
            remembered: settings.remembered,
        };
        Self { entry, bounds, clock, rng: fastrand::Rng::new() }
    }
}

/// Starts the task on the current runtime.
pub fn start<T: Table + 'static>(cfg: Config, table: Rc<T>, objects: Rc<ObjectClient>) -> Claims {
    let (tx, rx) = mpsc::unbounded_channel();
    let (questions, questions_rx) = mpsc::unbounded_channel();
    monoio::spawn(reader::run(table.clone(), questions_rx));
    let answers = Answers::new(objects.clone());
    monoio::spawn(sweep_on(table.clone(), objects, cfg.clock, cfg.rng.clone()));
    let task = Task {
        batcher: Batcher::new(cfg.bounds),
        watchers: Watchers::new(cfg.bounds.waiting),
        waiting: FastMap::default(),
        claims: 0,
        keeping: 0,
        settling: Vec::new(),
        answers: answers.clone(),
        kept_tx: tx.downgrade(),
        cfg,
        table,
    };
    monoio::spawn(task.run(rx));
    Claims { tx, questions, answers }
}

async fn sweep_on<T: Table>(
    table: Rc<T>,
    objects: Rc<ObjectClient>,
    clock: Clock,
    mut rng: fastrand::Rng,
) {
    loop {
        // Jitter spreads the sweeps of the entry hosts.
        sleep(Duration::from_millis(SWEEP_EVERY / 2 + rng.u64(..SWEEP_EVERY))).await;
        if let Err(e) = sweep(&*table, &objects, clock.wall()).await {
            log::debug!("Expired claims stay for now: {e}");
        }
    }
}

struct Task<T> {
    cfg: Config,
    table: Rc<T>,
    batcher: Batcher,
    watchers: Watchers,
    waiting: FastMap<OpId, oneshot::Sender<Answered>>,
    claims: u64,
    keeping: usize,
    settling: Vec<oneshot::Sender<Settled>>,
    answers: Answers,
    kept_tx: mpsc::WeakUnboundedSender<Command>,
}

type Writing = Pin<Box<dyn Future<Output = Outcome>>>;

enum Event {
    Command(Command),
    Written(Outcome),
    Time,
    Closed,
}

impl<T: Table + 'static> Task<T> {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Command>) {
        let mut writing: Option<Writing> = None;
        loop {
            let wake = match self.batcher.next(self.cfg.clock.now()) {
                Step::Write(batch) => {
                    writing = Some(self.write(batch));
                    continue;
                }
                Step::WaitUntil(at) => Some(at),
                Step::Idle => None,
            };
            self.tell();
            match self.event(&mut rx, &mut writing, wake).await {
                Event::Command(command) => self.take(command),
                Event::Written(outcome) => {
                    writing = None;
                    self.batcher.done(self.cfg.clock.now(), outcome, &mut self.cfg.rng);
                }
                Event::Time => {}
                Event::Closed => return,
            }
        }
    }

    async fn event(
        &self,
        rx: &mut mpsc::UnboundedReceiver<Command>,
        writing: &mut Option<Writing>,
        wake: Option<Moment>,
    ) -> Event {
        let written = pin!(async {
            match writing {
                Some(writing) => writing.await,
                None => std::future::pending().await,
            }
        });
        let time = pin!(async {
            match wake {
                Some(at) => sleep_until(self.cfg.clock.instant(at)).await,
                None => std::future::pending().await,
            }
        });
        monoio::select! {
            command = rx.recv() => command.map_or(Event::Closed, Event::Command),
            outcome = written => Event::Written(outcome),
            _ = time => Event::Time,
        }
    }

    fn write(&self, batch: Batch) -> Writing {
        let index = index_key(&self.cfg.entry, &batch, self.cfg.clock.wall());
        let table = self.table.clone();
        Box::pin(async move { write(&*table, &batch, &index).await })
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Claim { wanted, tx } => self.claim(wanted, tx),
            Command::End { key, work } => self.batcher.update(key, work),
            Command::Keep { claim, response } => self.keep(*claim, *response),
            Command::Kept { key, work } => {
                self.keeping -= 1;
                self.batcher.update(key, work);
            }
            Command::Watch(watcher) => self.watchers.add(watcher),
            Command::Settle { tx } => self.settling.push(tx),
        }
    }

    fn claim(&mut self, wanted: Wanted, tx: oneshot::Sender<Answered>) {
        self.claims += 1;
        let row = ClaimRow {
            id: ClaimId(format!("{}-{}", self.cfg.entry, self.claims)),
            entry: self.cfg.entry.clone(),
            request: wanted.request,
            deadline: wanted.deadline,
            progress: Progress::Claimed,
        };
        match self.batcher.submit(wanted.key, row, wanted.give_up) {
            Submitted::Queued(op) => {
                self.waiting.insert(op, tx);
            }
            Submitted::Known(row) => {
                let _ = tx.send(Answered::Taken(row));
            }
            Submitted::Full => {
                let _ = tx.send(Answered::Full);
            }
        }
    }

    fn keep(&mut self, claim: Claim<Sent>, response: Response) {
        let object = match keep(claim.id(), &response) {
            Kept::InRow(answer) => {
                let (key, work) = claim.answered(answer);
                return self.batcher.update(key, work);
            }
            Kept::InObject(object) => object,
        };
        self.keeping += 1;
        let (answers, tx) = (self.answers.clone(), self.kept_tx.clone());
        monoio::spawn(async move {
            let (key, work) = match put_at_last(&answers, &object).await {
                Put::Done => claim.answered(object.answer),
                Put::Failed => claim.answer_not_stored(),
            };
            if let Some(tx) = tx.upgrade() {
                let _ = tx.send(Command::Kept { key, work });
            }
        });
    }

    fn tell(&mut self) {
        for (op, fate) in self.batcher.take_outcomes() {
            let answered = match fate {
                ClaimOutcome::Held(claim) => Answered::Held(Box::new(claim)),
                ClaimOutcome::Taken(row) => Answered::Taken(row),
                ClaimOutcome::Unavailable => Answered::Unavailable,
            };
            let Some(tx) = self.waiting.remove(&op) else { continue };
            if let Err(Answered::Held(claim)) = tx.send(answered) {
                let (key, work) = claim.release();
                self.batcher.update(key, work);
            }
        }
        self.watchers.tell(&self.batcher);
        if self.batcher.is_settled() && self.keeping == 0 {
            self.settling.drain(..).for_each(|tx| drop(tx.send(Settled)));
        }
    }
}

enum Put {
    Done,
    Failed,
}

async fn put_at_last(answers: &Answers, object: &LargeAnswer) -> Put {
    for _ in 0..PUT_TRIES {
        if answers.put(object).await.is_ok() {
            return Put::Done;
        }
        sleep(PUT_PAUSE).await;
    }
    Put::Failed
}
