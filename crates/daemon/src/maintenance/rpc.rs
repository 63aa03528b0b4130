//! The calls of the operator port about plans.

use std::rc::Rc;

use fuchsiamill_api::{Confirmed, PlanRef, PlanReport, PlanView, Reason, SetPlanState};
use fuchsiamill_model::{Intent, OperatorName};
use fuchsiamill_peer::{CallReceiver, Failure, Router, call_channel};
use fuchsiamill_policy::planner::Plan;

use super::{
    Maintenance,
    confirm::verb,
    error::{Error, Result},
    refusals,
};
use crate::{
    cx::Cx,
    operator::{Asked, answer},
};

/// What an operator is told of a confirmed or changed plan.
fn report(result: Result<Confirmed>) -> PlanReport {
    let e = match result {
        Ok(confirmed) => return PlanReport::Done(confirmed),
        Err(e) => e,
    };
    let (detail, reason) = (e.to_string(), reason(&e));
    let fresh = match e {
        Error::Expired { fresh, .. } | Error::Stale { fresh, .. } => Some(fresh),
        _ => None,
    };
    PlanReport::NotDone { reason, detail, fresh }
}

fn reason(e: &Error) -> Reason {
    match e {
        Error::NoPlan(_) | Error::NotRunning { .. } => Reason::NoPlan,
        Error::Expired { .. } | Error::Stale { .. } | Error::Outdated { .. } => Reason::Stale,
        Error::Blocked { .. } => Reason::Blocked,
        Error::Conflict(_) => Reason::Conflict,
        Error::Planner(_) | Error::Refused(_) => Reason::Refused,
        Error::InDoubt(_) => Reason::InDoubt,
        Error::Unavailable(_) => Reason::Unavailable,
    }
}

/// The calls of this module, before its task is started.
pub struct Inputs {
    make: CallReceiver,
    confirm: CallReceiver,
    list: CallReceiver,
    set_state: CallReceiver,
}

/// Routes the calls of this module.
pub fn route(router: &mut Router) -> Inputs {
    let mut input = |method| {
        let (tx, rx) = call_channel();
        router.route(method, tx);
        rx
    };
    Inputs {
        make: input("plan.make"),
        confirm: input("plan.confirm"),
        list: input("plan.list"),
        set_state: input("plan.set-state"),
    }
}

impl Inputs {
    /// Starts to answer.
    pub fn start(self, cx: &Rc<Cx>) {
        answer(self.make, cx, async |cx, asked| make(cx, asked).await);
        answer(self.confirm, cx, async |cx, asked: Asked<PlanRef>| {
            let plan = &asked.params.plan;
            let confirmed = Maintenance::new(cx.clone()).confirm(&asked.who, plan).await;
            refusals::record(&cx, &asked.who, (plan, "confirm"), &confirmed);
            Ok(report(confirmed))
        });
        answer(self.list, cx, async |cx, _: Asked<()>| list(cx).await);
        answer(self.set_state, cx, async |cx, asked: Asked<SetPlanState>| {
            let SetPlanState { plan, state } = asked.params;
            let done = Maintenance::new(cx.clone()).set_state(&asked.who, &plan, state).await;
            refusals::record(&cx, &asked.who, (&plan, verb(state)), &done);
            Ok(report(done))
        });
    }
}

async fn make(cx: Rc<Cx>, asked: Asked<Intent>) -> std::result::Result<Plan, Failure> {
    let who: OperatorName = asked.who;
    let made = Maintenance::new(cx).plan(&who, &asked.params).await;
    made.map_err(|e| Failure::refused(e.to_string()))
}

async fn list(cx: Rc<Cx>) -> std::result::Result<Vec<PlanView>, Failure> {
    let listed = Maintenance::new(cx).plans().await;
    listed.map_err(|e| Failure::refused(e.to_string()))
}
