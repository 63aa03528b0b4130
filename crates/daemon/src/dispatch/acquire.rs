//! Asking the owner of a pool for a grant, again and again until there is an answer.

use std::time::Duration;

use fuchsiamill_model::{EntryName, Moment, PoolName, Problem, ProblemKind};
use fuchsiamill_policy::{
    connections::max_idle,
    dispatch::{Acquire, Answer, Granted},
    shares::{Lane, Ticket},
};
use monoio::time::sleep;
use tokio::sync::oneshot;

use super::{
    Ask, DispatchHandle, Ending, Grant, Report, Used,
    rpc::{ACQUIRE, CANCEL, Cancelled},
    task::{AnswerTo, Command},
};
use crate::{backend::Server, cx::Cx};

const PAUSE: Duration = Duration::from_millis(20);

/// A request that waits; when it is dropped before it has its grant, the owner is told.
struct Waiting<'a> {
    cx: &'a Cx,
    pool: PoolName,
    ticket: Ticket,
    owner: Option<EntryName>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let Some(owner) = self.owner.take() else { return };
        let cancelled = Cancelled { pool: self.pool.clone(), ticket: self.ticket.clone() };
        if &owner == self.cx.cluster.me() {
            let _ = self.cx.dispatch.tx.send(Command::Cancel(cancelled));
        } else {
            self.cx.cluster.notify(&owner, CANCEL, &cancelled);
        }
    }
}

impl DispatchHandle {
    /// Waits for leave to run a request.
    pub async fn acquire(&self, cx: &Cx, ask: Ask) -> Result<Grant, Problem> {
        let number = self.next_ticket.get();
        self.next_ticket.set(number + 1);
        let ticket = Ticket { entry: cx.cluster.me().clone(), number };
        let mut waiting = Waiting { cx, pool: ask.pool.clone(), ticket, owner: None };
        for number in 0.. {
            let asked_at = cx.clock.now();
            if asked_at >= ask.deadline {
                break;
            }
            check_standing(cx)?;
            let Some(owner) = cx.cluster.owner(&ask.pool) else {
                sleep(PAUSE).await;
                continue;
            };
            waiting.owner = Some(owner.clone());
            let req = Acquire {
                ticket: waiting.ticket.clone(),
                ask: number,
                pool: ask.pool.clone(),
                lane: lane(&ask),
                data_centre: cx.settings.entry.data_centre.clone(),
                left: ask.deadline.since(asked_at),
            };
            match self.ask(cx, &owner, req).await {
                Some(Answer::Granted { grant }) => {
                    if let Some(grant) = self.accept(cx, &ask, asked_at, grant) {
                        waiting.owner = None;
                        return Ok(grant);
                    }
                }
                Some(Answer::Queued) => {}
                Some(Answer::Refused { problem }) => {
                    waiting.owner = None;
                    return Err(problem);
                }
                Some(Answer::NotOwner) | None => sleep(PAUSE).await,
            }
        }
        let detail = "The deadline passed while the request was queued.";
        Err(Problem::not_run(ProblemKind::DeadlinePassed, detail))
    }

    async fn ask(&self, cx: &Cx, owner: &EntryName, req: Acquire) -> Option<Answer> {
        if owner != cx.cluster.me() {
            let time = Duration::from_millis(cx.settings.timing.start_by_ms);
            return cx.cluster.call_within(owner, ACQUIRE, &req, time).await.ok();
        }
        let (tx, rx) = oneshot::channel();
        self.tx.send(Command::Acquire { req, to: AnswerTo::Local(tx) }).ok()?;
        rx.await.ok()
    }

    /// Takes a grant, unless it came too late or from a host that owns the pool no more.
    fn accept(&self, cx: &Cx, ask: &Ask, asked_at: Moment, granted: Granted) -> Option<Grant> {
        let config = cx.config.current();
        let used = Used {
            pool: ask.pool.clone(),
            lane: lane(ask),
            host: granted.host.clone(),
            deadline: ask.deadline,
        };
        let host = config.hosts.get(&granted.host)?;
        let grant = Grant {
            grant: granted.grant,
            pool: ask.pool.clone(),
            host: granted.host,
            server: Server {
                addr: host.backend,
                most_idle: max_idle(host, config.entry_hosts.len()),
            },
            start_by: asked_at + cx.settings.timing.start_by_ms,
            deadline: ask.deadline,
            limit: ask.team.clone().zip(granted.upper_limit),
        };
        if cx.clock.now() >= grant.start_by || !self.is_valid(cx, &grant) {
            cx.metrics.event("grant_void");
            self.release(cx, grant, Report::of(Ending::Unsent));
            return None;
        }
        self.used.borrow_mut().insert(grant.grant.clone(), used);
        Some(grant)
    }
}

fn lane(ask: &Ask) -> Lane {
    ask.team.clone().map_or(Lane::Open, Lane::Team)
}

fn check_standing(cx: &Cx) -> Result<(), Problem> {
    match cx.cluster.standing().refusal() {
        None => Ok(()),
        Some(reason) => {
            Err(Problem::not_run(ProblemKind::NotInStanding, reason).retry_after(1_000))
        }
    }
}
