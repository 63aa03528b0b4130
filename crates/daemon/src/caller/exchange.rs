//! A request from its admission to its end: tries under grants, and the end of its claim.

use std::{pin::pin, time::Duration};

use fuchsiamill_http::Response;
use fuchsiamill_model::{Problem, ProblemKind, RunState};
use fuchsiamill_policy::{
    claims::{Claim, Held},
    retry::{Failure, RetryDecision, RetryState},
};
use monoio::time::sleep;

use super::{
    Callers, Queueing, Result,
    admit::Call,
    attempt::{Ended, ended, freshness, lost, outgoing, refused, team},
    problem, shutting_down,
};
use crate::dispatch::{Ask, Ending, Grant, Report};

/// A request on its way.
pub struct Exchange<'a> {
    /// The caller port.
    pub callers: &'a Callers,
    /// The request.
    pub call: Call,
    /// Its tries.
    pub tries: RetryState,
    /// Its claim, while it is not idempotent and nothing was sent.
    pub claim: Option<Box<Claim<Held>>>,
}

enum Tried {
    Done(Response),
    Again,
    Over(Problem),
}

impl Exchange<'_> {
    /// Tries until there is an answer or the policy gives up.
    pub async fn run(mut self) -> Result<Response> {
        loop {
            let tried = match self.granted().await {
                Ok(grant) => self.attempt(grant).await,
                Err(problem) => Tried::Over(problem),
            };
            match tried {
                Tried::Done(response) => return Ok(response),
                Tried::Again => continue,
                Tried::Over(problem) => return Err(self.over(problem)),
            }
        }
    }

    /// Waits for a grant; a caller that hangs up, a withdrawn key and a shutdown give the place in
    /// the queue back.
    async fn granted(&self) -> Result<Grant> {
        let cx = &self.callers.cx;
        let ask = Ask {
            pool: self.call.admitted.pool.clone(),
            team: team(&self.call),
            deadline: self.call.deadline,
        };
        let mut queueing = self.callers.queueing.clone();
        let mut hangup = self.call.hangup.clone();
        let acquire = pin!(cx.dispatch.acquire(cx, ask));
        let closed = pin!(queueing.wait_for(|it| *it == Queueing::Closed));
        let gone = pin!(hangup.wait());
        let withdrawn = pin!(self.withdrawn());
        let late = pin!(monoio::time::sleep_until(cx.clock.instant(self.call.deadline)));
        monoio::select! {
            granted = acquire => granted,
            _ = closed => Err(shutting_down()),
            _ = gone => {
                cx.metrics.event("caller_gone");
                Err(Problem::not_run(ProblemKind::DeadlinePassed, "The caller hung up."))
            }
            problem = withdrawn => Err(problem),
            _ = late => Err(deadline_passed()),
        }
    }

    /// Waits until a change of the configuration leaves the request without its key or service.
    async fn withdrawn(&self) -> Problem {
        let mut config = self.callers.cx.config.subscribe();
        loop {
            if let Err(problem) = self.callers.ring().recheck(&self.call.admitted) {
                return problem;
            }
            if config.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    async fn attempt(&mut self, grant: Grant) -> Tried {
        let callers = self.callers;
        let cx = &callers.cx;
        let server = grant.server;
        let opened = match self.check_before_send(&grant) {
            Ok(()) => cx.backends.open(server, freshness(&self.call)).await,
            Err(problem) => return self.turn_back(grant, problem),
        };
        let open = match opened {
            Ok(open) => open,
            Err(e) => {
                let (ended, report) = ended(Err(e));
                cx.dispatch.release(cx, grant, report);
                return self.after(ended).await;
            }
        };
        // Opening the connection took time: a paused process or a change must not slip through.
        if let Err(problem) = self.check_before_send(&grant) {
            return self.turn_back(grant, problem);
        }
        let left = grant.deadline.since(cx.clock.now());
        let sent = self.claim.take().map(|claim| claim.send());
        let answer = open.exchange(outgoing(&self.call, left), cx.clock.instant(grant.deadline));
        let (ended, report) = ended(answer.await);
        cx.dispatch.release(cx, grant, report);
        let Some(sent) = sent else { return self.after(ended).await };
        match ended {
            Ended::Answered(response) => {
                cx.claims.answered(sent, &response);
                Tried::Done(response)
            }
            Ended::Failed(Failure::MaybeRan, detail) => Tried::Over(cx.claims.lost(sent, &detail)),
            Ended::Failed(Failure::SaidNotRun | Failure::NotSent, detail) => {
                let detail = format!("{detail} Send it again with a new idempotency key.");
                let problem = refused(&detail);
                cx.claims.answered(sent, &problem::response(&problem));
                Tried::Over(problem)
            }
        }
    }

    /// Decides after a try whose request is not bound to a claim that was sent.
    async fn after(&mut self, ended: Ended) -> Tried {
        let (failure, detail) = match ended {
            Ended::Answered(response) => return Tried::Done(response),
            Ended::Failed(failure, detail) => (failure, detail),
        };
        let next = {
            let mut budget = self.callers.budget.borrow_mut();
            let mut rng = self.callers.rng.borrow_mut();
            let now = self.callers.cx.clock.now();
            self.tries.record_failure(now, failure, &mut budget, &mut rng)
        };
        match next {
            RetryDecision::RetryAfter(pause) => {
                self.callers.cx.metrics.event("retry");
                sleep(Duration::from_millis(pause)).await;
                Tried::Again
            }
            RetryDecision::GiveUp(RunState::NotRun) => Tried::Over(refused(&detail)),
            RetryDecision::GiveUp(RunState::Unknown) => Tried::Over(lost(&detail)),
        }
    }

    fn check_before_send(&self, grant: &Grant) -> Result<()> {
        let callers = self.callers;
        callers.check_standing()?;
        callers.ring().recheck(&self.call.admitted)?;
        if !callers.cx.dispatch.is_valid(&callers.cx, grant) {
            let detail = "The grant of a slot is void since a change; the request was not sent.";
            return Err(Problem::not_run(ProblemKind::Overloaded, detail).retry_after(1_000));
        }
        let now = callers.cx.clock.now();
        if now >= self.call.deadline || now >= grant.deadline {
            return Err(deadline_passed());
        }
        if now >= grant.start_by {
            let detail = "The grant of a slot was used too late; the request was not sent.";
            return Err(Problem::not_run(ProblemKind::Overloaded, detail).retry_after(1_000));
        }
        Ok(())
    }

    fn turn_back(&self, grant: Grant, problem: Problem) -> Tried {
        let cx = &self.callers.cx;
        cx.dispatch.release(cx, grant, Report::of(Ending::Unsent));
        Tried::Over(problem)
    }

    /// The end without an answer: a claim that was not used goes, and no earlier try is forgotten.
    fn over(&mut self, problem: Problem) -> Problem {
        if let Some(claim) = self.claim.take() {
            self.callers.cx.claims.release(*claim);
        }
        match self.tries.run() {
            RunState::NotRun => problem,
            RunState::Unknown => Problem { run: RunState::Unknown, ..problem },
        }
    }
}

fn deadline_passed() -> Problem {
    let detail = "The request's deadline passed before it was sent.";
    Problem::not_run(ProblemKind::DeadlinePassed, detail)
}
