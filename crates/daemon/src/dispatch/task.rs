//! The dispatch task: owns queues, slots and units of the pools that this host owns.

use std::{cell::Cell, rc::Rc, time::Duration};

use fuchsiamill_model::{
    Configuration, EntryName, FastMap, HostName, Millisecond, Moment, PoolName, TeamName,
    team::Urgency,
};
use fuchsiamill_peer::{Failure, Reply};
use fuchsiamill_policy::{
    dispatch::{Acquire, Action, Answer, Bounds, Dispatcher, InFlight},
    escrow::{EscrowTiming, LoanAnswer, LoanAsk, WriteOutcome},
    shares::{LaneSettings, Ticket},
};
use monoio::time::sleep;
use tokio::sync::{
    mpsc::{UnboundedReceiver, UnboundedSender},
    oneshot, watch,
};

use super::{
    lanes::LanesTo,
    rows::{self, RowRead, RowWrite},
    rpc::{Cancelled, InFlightOf, LEND, LendTo, RECALL, Recalled, Released, Returned, TAKE_BACK},
    tenures::Known,
};
use crate::{backend::Take, cluster::TenureId, cx::Cx};

const TICK: Duration = Duration::from_millis(20);
const IDLE_TICK: Duration = Duration::from_millis(100);
const ROWS_PERIOD: Millisecond = 250;
const IDLE_UNITS: Millisecond = 3_000;
const IDLE_LOAN: Millisecond = 300;
/// How long after its first majority a host counts as having asked for all that it wants.
const ASKING_TIME: Millisecond = 1_000;
const TAKE_OVER: Millisecond = 1_000;
const LEND_TIME: Duration = Duration::from_secs(1);
const OPEN_SHARE: u32 = 1;

/// Where an answer goes.
pub enum AnswerTo {
    /// To a request of this entry host.
    Local(oneshot::Sender<Answer>),
    /// To another entry host.
    Peer(Reply),
}

impl From<Reply> for AnswerTo {
    fn from(reply: Reply) -> Self {
        Self::Peer(reply)
    }
}

/// What the task is told.
pub enum Command {
    /// Time has passed.
    Tick,
    /// A request asks for a grant.
    Acquire { req: Acquire, to: AnswerTo },
    /// A request was given up.
    Cancel(Cancelled),
    /// A grant is given back.
    Release(Released),
    /// Another host asks what this host runs in a pool.
    InFlight { of: InFlightOf, reply: Reply },
    /// A host tells what it runs in a pool that this host newly owns.
    Reported { pool: PoolName, tenure: TenureId, entry: EntryName, in_flight: Vec<InFlight> },
    /// Another host asks for units.
    Lend { lend: LendTo, reply: Reply },
    /// A lender answered.
    Lent { team: TeamName, answer: LoanAnswer },
    /// A borrower gives units back.
    TakeBack(Returned),
    /// The lanes of the owned pools are asked for.
    Lanes { to: LanesTo },
    /// A lender wants a loan back.
    Recalled(Recalled),
    /// This host stops: units are given back, and `done` is told once none is left.
    Leave { done: oneshot::Sender<()> },
    /// Rows were read.
    RowsRead(Vec<RowRead>),
    /// Rows were written.
    RowsWritten(Vec<(RowWrite, WriteOutcome)>),
}

/// The task's state.
pub struct Task {
    pub(super) cx: Rc<Cx>,
    pub(super) tx: UnboundedSender<Command>,
    pub(super) dispatch: Dispatcher,
    pub(super) known: Known,
    config: watch::Receiver<Rc<Configuration>>,
    pace: Rc<Cell<Duration>>,
    asks: FastMap<Ticket, AnswerTo>,
    reads: Vec<TeamName>,
    writes: Vec<RowWrite>,
    rows_at: Option<Moment>,
    owning_since: Option<Moment>,
    leaving: Option<oneshot::Sender<()>>,
}

/// Starts the task.
pub fn start(cx: &Rc<Cx>, tx: UnboundedSender<Command>, rx: UnboundedReceiver<Command>) {
    let timing = &cx.settings.timing;
    let escrow_timing = EscrowTiming {
        loan: timing.loan_ms,
        start_by: timing.start_by_ms,
        deadline: cx.settings.callers.longest_deadline_ms,
        write_interval: ROWS_PERIOD,
        idle: IDLE_UNITS,
        idle_loan: IDLE_LOAN,
        standing: timing.standing_ms,
        drift_percent: timing.drift_percent,
    };
    let open = LaneSettings {
        share: OPEN_SHARE,
        max_queued: cx.settings.callers.open_queue,
        urgency: Urgency::Normal,
    };
    let bounds = Bounds {
        timing: escrow_timing,
        ask_timeout: timing.start_by_ms * 2 / 5,
        take_over_timeout: TAKE_OVER,
        reserve_percent: cx.settings.jobs.reserve_percent,
        open,
    };
    let me = cx.settings.entry.name.clone();
    let pace = Rc::new(Cell::new(TICK));
    let task = Task {
        cx: cx.clone(),
        tx: tx.clone(),
        dispatch: Dispatcher::new(me, cx.incarnation.clone(), bounds),
        known: Known::default(),
        config: cx.config.subscribe(),
        pace: pace.clone(),
        asks: FastMap::default(),
        reads: Vec::new(),
        writes: Vec::new(),
        rows_at: None,
        owning_since: None,
        leaving: None,
    };
    monoio::spawn(tick(tx, pace));
    monoio::spawn(task.run(rx));
}

async fn tick(tx: UnboundedSender<Command>, pace: Rc<Cell<Duration>>) {
    while tx.send(Command::Tick).is_ok() {
        sleep(pace.get()).await;
    }
}

impl Task {
    async fn run(mut self, mut rx: UnboundedReceiver<Command>) {
        self.follow_configuration();
        while let Some(command) = rx.recv().await {
            if self.config.has_changed().unwrap_or(false) {
                self.follow_configuration();
            }
            let may_own = self.sync();
            self.take(command, may_own);
            self.flush_rows();
            self.pace.set(if self.dispatch.is_idle() { IDLE_TICK } else { TICK });
            if self.leaving.is_some() && self.dispatch.has_left() {
                self.leaving.take().map(|done| done.send(()));
            }
        }
    }

    fn follow_configuration(&mut self) {
        let config = self.config.borrow_and_update().clone();
        let actions = self.dispatch.configure(self.cx.clock.now(), config);
        self.carry_out(actions);
    }

    fn take(&mut self, command: Command, may_own: bool) {
        let now = self.cx.clock.now();
        let actions = match command {
            Command::Tick if may_own => {
                let since = *self.owning_since.get_or_insert(now);
                if now.since(since) >= ASKING_TIME {
                    self.cx.dispatch.has_asked_table.set(true);
                }
                self.sync_intake();
                self.dispatch.tick(now)
            }
            Command::Acquire { req, to } if may_own => {
                self.asks.insert(req.ticket.clone(), to);
                self.dispatch.acquire(now, req)
            }
            Command::Acquire { to, .. } => {
                to.send(Answer::NotOwner);
                Vec::new()
            }
            Command::Lend { lend, reply } if may_own => {
                let (answer, actions) = self.dispatch.lend(now, &lend.team, &lend.ask);
                reply.send(Ok(answer));
                actions
            }
            Command::Lend { reply, .. } => {
                let reason = "This entry host has no majority; ask another one.";
                reply.send::<LoanAnswer>(Err(Failure::refused(reason)));
                Vec::new()
            }
            Command::InFlight { of, reply } => {
                self.tell_in_flight(now, &of, reply);
                Vec::new()
            }
            Command::Lanes { to } => {
                to.send(self.dispatch.lanes());
                Vec::new()
            }
            Command::Tick if self.leaving.is_some() => self.dispatch.tick_leaving(now),
            Command::Tick => Vec::new(),
            Command::Leave { done } => {
                self.leaving = Some(done);
                self.dispatch.leave()
            }
            Command::Cancel(it) => self.dispatch.cancel(now, &it.pool, &it.ticket),
            Command::Release(released) => self.release(now, &released),
            Command::Reported { pool, tenure, entry, in_flight } => {
                match self.known.tenures.get(&pool) {
                    Some(known) if known == &tenure => {
                        self.dispatch.report(now, &pool, &entry, in_flight)
                    }
                    _ => Vec::new(),
                }
            }
            Command::Lent { team, answer } => self.dispatch.loan_answered(now, &team, &answer),
            Command::TakeBack(it) => self.dispatch.loan_returned(now, &it.team, &it.ret),
            Command::Recalled(it) => self.dispatch.loan_recalled(now, &it.team, &it.recall),
            Command::RowsRead(rows) => self.rows_read(now, rows),
            Command::RowsWritten(writes) => self.rows_written(now, writes),
        };
        self.carry_out(actions);
    }

    fn release(&mut self, now: Moment, released: &Released) -> Vec<Action> {
        let Released { release, host, report } = released;
        if self.dispatch.owns(&release.pool) {
            self.cx.health.record(&self.cx, &release.pool, host, report);
            self.sync_intake();
        }
        self.dispatch.release(now, release)
    }

    /// Tells a new owner what this host still runs, once this host has installed that view too. A host that is leaving
    /// is in no later view and grants nothing any more.
    fn tell_in_flight(&self, now: Moment, of: &InFlightOf, reply: Reply) {
        if self.leaving.is_none() && self.cx.cluster.view().id < of.view {
            let (tx, of) = (self.tx.clone(), of.clone());
            monoio::spawn(async move {
                sleep(TICK).await;
                let _ = tx.send(Command::InFlight { of, reply });
            });
            return;
        }
        reply.send(Ok(self.cx.dispatch.in_flight(now, &of.pool)));
    }

    fn rows_read(&mut self, now: Moment, rows: Vec<RowRead>) -> Vec<Action> {
        if rows.iter().any(|(_, row)| row.is_none()) {
            self.cx.dispatch.has_asked_table.set(true);
        }
        let read = |(team, row)| self.dispatch.row_read(now, &team, row);
        rows.into_iter().flat_map(read).collect()
    }

    fn rows_written(&mut self, now: Moment, writes: Vec<(RowWrite, WriteOutcome)>) -> Vec<Action> {
        let wrote = |(it, outcome): (RowWrite, _)| {
            self.dispatch.row_written(now, &it.team, it.row, outcome)
        };
        writes.into_iter().flat_map(wrote).collect()
    }

    pub(super) fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer { ticket, answer } => self.answer(&ticket, answer),
                Action::ReadRow { team } => self.reads.push(team),
                Action::WriteRow { team, expected, row } => {
                    self.writes.push(RowWrite { team, expected, row });
                }
                Action::AskLoan { team, ask } => self.ask_loan(team, ask),
                Action::ReturnLoan { team, ret } => {
                    let lender = ret.lender.clone();
                    self.cx.cluster.notify(&lender, TAKE_BACK, &Returned { team, ret });
                }
                Action::RecallLoan { team, recall } => {
                    let borrower = recall.id.borrower.entry.clone();
                    self.cx.cluster.notify(&borrower, RECALL, &Recalled { team, recall });
                }
            }
        }
    }

    fn answer(&mut self, ticket: &Ticket, answer: Answer) {
        if let Answer::Granted { grant } = &answer {
            self.begin_trial(&grant.host);
        }
        if let Some(to) = self.asks.remove(ticket) {
            to.send(answer);
        }
    }

    fn begin_trial(&self, host: &HostName) {
        let now = self.cx.clock.now();
        let config = self.cx.config.current();
        let Some(host) = config.hosts.get(host) else { return };
        if self.cx.health.may_take(now, &host.pool, &host.name) == Take::Trial {
            self.cx.health.begin_trial(now, &host.pool, &host.name);
        }
    }

    fn ask_loan(&self, team: TeamName, ask: LoanAsk) {
        self.cx.metrics.event("loan_asked");
        let (cx, tx) = (self.cx.clone(), self.tx.clone());
        monoio::spawn(async move {
            let lender = ask.lender.clone();
            let lend = LendTo { team, ask };
            let answer = cx.cluster.call_within(&lender, LEND, &lend, LEND_TIME).await;
            if let Ok(answer) = answer {
                let _ = tx.send(Command::Lent { team: lend.team, answer });
            }
        });
    }

    /// Reads and writes what has gathered, each in one call, once a period.
    fn flush_rows(&mut self) {
        let now = self.cx.clock.now();
        if !self.reads.is_empty() {
            let (cx, tx) = (self.cx.clone(), self.tx.clone());
            let teams = std::mem::take(&mut self.reads);
            monoio::spawn(async move {
                let _ = tx.send(Command::RowsRead(rows::read(&cx, teams).await));
            });
        }
        let is_due = self.rows_at.is_none_or(|at| now.since(at) >= ROWS_PERIOD);
        if self.writes.is_empty() || !is_due {
            return;
        }
        self.rows_at = Some(now);
        let (cx, tx) = (self.cx.clone(), self.tx.clone());
        let writes = std::mem::take(&mut self.writes);
        monoio::spawn(async move {
            let _ = tx.send(Command::RowsWritten(rows::write(&cx, writes).await));
        });
    }
}

impl AnswerTo {
    fn send(self, answer: Answer) {
        match self {
            AnswerTo::Local(tx) => {
                let _ = tx.send(answer);
            }
            AnswerTo::Peer(reply) => reply.send(Ok(answer)),
        }
    }
}
