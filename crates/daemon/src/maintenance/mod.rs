//! Plans and waves: made, confirmed and carried out by any entry host.

mod absence;
mod confirm;
mod error;
mod lease;
mod probes;
mod proposals;
mod purge;
mod refusals;
mod rows;
mod rpc;
mod task;
mod view;
mod watch;

use std::rc::Rc;

use fuchsiamill_api::{Confirmed, PlanView};
use fuchsiamill_model::{Intent, OperatorName, PlanId, PlanState};
use fuchsiamill_policy::planner::{self, Plan, Request, Timing, Weights};

pub use error::{Error, Result};
pub use rows::{LeaseRow, PlanRow, RowState};
pub use rpc::{Inputs, route};

use crate::cx::Cx;
use rows::PlanRows;

const PLAN_ID_DIGITS: usize = 6;

/// What operators ask of plans, through any entry host.
#[derive(Clone)]
pub struct Maintenance {
    cx: Rc<Cx>,
    rows: PlanRows,
}

impl Maintenance {
    /// Requests on this entry host.
    pub fn new(cx: Rc<Cx>) -> Self {
        let rows = PlanRows::new(cx.table.clone());
        Self { cx, rows }
    }

    /// Starts carrying out the confirmed plans that this entry host gets hold of.
    pub fn start(&self) {
        monoio::spawn(watch::run(self.cx.clone()));
        monoio::spawn(absence::run(self.cx.clone()));
        monoio::spawn(purge::run(self.cx.clone()));
    }

    /// Makes a plan for an intent and keeps it to be confirmed.
    pub async fn plan(&self, who: &OperatorName, intent: &Intent) -> Result<Plan> {
        let plan = Rc::new(planner::plan(&self.cx.config.current(), &self.request(who), intent)?);
        let row = PlanRow { plan: plan.clone(), state: RowState::Proposed };
        self.rows.add_plan(row).await?;
        Ok(Plan::clone(&plan))
    }

    /// Confirms a plan; confirming it again, through any entry host, acts once.
    pub async fn confirm(&self, who: &OperatorName, id: &PlanId) -> Result<Confirmed> {
        confirm::confirm(self, who, id).await
    }

    /// Lists the plans with how far they are.
    pub async fn plans(&self) -> Result<Vec<PlanView>> {
        view::all(self).await
    }

    /// Pauses, resumes or cancels a running plan.
    pub async fn set_state(
        &self,
        who: &OperatorName,
        id: &PlanId,
        state: PlanState,
    ) -> Result<Confirmed> {
        confirm::set_state(self, who, id, state).await
    }

    fn request(&self, who: &OperatorName) -> Request {
        let settings = &self.cx.settings;
        let (weights, limits) = (&settings.weights, &settings.maintenance);
        Request {
            id: new_id(),
            who: who.clone(),
            now: self.cx.clock.wall(),
            validity: limits.plan_valid_ms,
            weights: Weights {
                buffer: weights.buffer_cost,
                rollout: weights.rollout_time,
                moves: weights.moves,
                share: weights.share,
            },
            timing: Timing {
                drain: limits.expected_drain_ms,
                reboot: limits.expected_restart_ms,
                check: limits.expected_check_ms,
            },
        }
    }
}

fn new_id() -> PlanId {
    const ALPHABET: &[u8] = b"abcdefghjkmnpqrstuvwxyz23456789";
    let digit = |_| char::from(ALPHABET[fastrand::usize(..ALPHABET.len())]);
    let digits: String = (0..PLAN_ID_DIGITS).map(digit).collect();
    PlanId::try_from(format!("plan-{digits}")).expect("letters and digits are a name")
}
