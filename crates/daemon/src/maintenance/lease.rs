//! The lease on carrying out one plan.
//!
//! A lease only saves work: two runners of one plan cannot harm it, since every step is a
//! conditional write and a restart has the same id whoever orders it.

use std::rc::Rc;

use fuchsiamill_model::{Moment, PlanId};
use fuchsiamill_ports::RowVersion;

use super::rows::{LeaseRow, PlanRows, Stored};
use crate::cx::Cx;

const RENEWALS_PER_LEASE: u64 = 3;

/// Whether this entry host carries out a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// It does.
    Here,
    /// Another one does, or it is not known.
    Elsewhere,
}

/// The lease on one plan as this entry host knows it.
pub struct Lease {
    id: PlanId,
    rows: PlanRows,
    looked_at: Option<Moment>,
    seen: Option<(RowVersion, Moment)>,
    held: Held,
}

impl Lease {
    /// A lease that is not known yet.
    pub fn new(cx: &Rc<Cx>, id: PlanId) -> Self {
        let rows = PlanRows::new(cx.table.clone());
        Self { id, rows, looked_at: None, seen: None, held: Held::Elsewhere }
    }

    /// Renews or takes the lease when that is due; tells whether it is held here.
    pub async fn hold(&mut self, cx: &Cx, waits: &[String]) -> Held {
        let lease_ms = cx.settings.maintenance.lease_ms;
        let now = cx.clock.now();
        let is_due = self.looked_at.is_none_or(|at| now.since(at) >= lease_ms / RENEWALS_PER_LEASE);
        if !is_due {
            return self.held;
        }
        self.looked_at = Some(now);
        let row = LeaseRow {
            holder: cx.settings.entry.name.clone(),
            incarnation: cx.incarnation.clone(),
            waits: waits.to_vec(),
        };
        // Without the table the plan can do nothing anyway, and another host cannot take over.
        let Ok(found) = self.rows.lease(&self.id).await else { return self.held };
        self.held = self.take(cx, row, found, now).await;
        self.held
    }

    async fn take(
        &mut self,
        cx: &Cx,
        row: LeaseRow,
        found: Option<Stored<LeaseRow>>,
        now: Moment,
    ) -> Held {
        let over = found.as_ref().map(|it| it.version);
        let is_mine = found.as_ref().is_some_and(|it| it.value.incarnation == cx.incarnation);
        if !is_mine && !self.is_vacant(over, cx.settings.maintenance.lease_ms, now) {
            return Held::Elsewhere;
        }
        match self.rows.put_lease(&self.id, row, over).await {
            Ok(Some(_)) => {
                if !is_mine {
                    cx.metrics.event("plan_leases_taken");
                    log::info!("plan {}: carried out here", self.id);
                }
                Held::Here
            }
            Ok(None) | Err(_) => Held::Elsewhere,
        }
    }

    /// Whether there is no lease, or it was not renewed for its whole length on this host's clock.
    fn is_vacant(&mut self, found: Option<RowVersion>, lease_ms: u64, now: Moment) -> bool {
        let Some(version) = found else { return true };
        match self.seen {
            Some((seen, since)) if seen == version => now.since(since) >= lease_ms,
            _ => {
                self.seen = Some((version, now));
                false
            }
        }
    }
}
