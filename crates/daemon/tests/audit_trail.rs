//! Refusals made while the table is down, and refusals of plans, reach the audit trail.

mod common;

use common::{Site, operator, wait_until};
use fuchsiamill_api::{AuditFilter, AuditOutcome, AuditRecord, ChangeReport, PlanReport};
use fuchsiamill_model::{Change, Intent, PlanId, TeamName};
use fuchsiamill_standin::admin::PlatformFault;

const REFUSALS: usize = 20;

fn refused(site: &Site) -> Vec<AuditRecord> {
    let filter = AuditFilter { outcome: Some(AuditOutcome::Refused), ..AuditFilter::default() };
    operator::call(site.entries[1].operator, "audit.list", filter)
}

fn site() -> Site {
    Site::of(2).pool_with_budget("rota", 4, 32, 1).team("north", 100).start()
}

#[test]
fn refusals_of_an_outage_are_written_once_when_the_table_is_back() {
    let site = site();
    site.platform_fault(PlatformFault::Down);
    for at in 0..REFUSALS {
        let team = TeamName::try_from("nobody").unwrap();
        let change = vec![Change::SetShare { team, share: 2 }];
        let id = format!("change-{at}");
        let report = operator::change(site.entries[0].operator, "ben-key", &id, None, change);
        assert!(matches!(report, ChangeReport::Refused { .. }), "{report:?}");
    }
    site.platform_fault(PlatformFault::LoseAnswers { count: 2 });
    wait_until("all are written", || refused(&site).len() >= REFUSALS);
    let records = refused(&site);
    assert_eq!(records.len(), REFUSALS);
    assert!(records.iter().all(|it| it.who.as_str() == "ben" && it.reason.contains("nobody")));
}

#[test]
fn refused_plans_are_recorded() {
    let site = site();
    let host = "host-1".try_into().unwrap();
    let blocked = site.plan(0, "ada-key", Intent::DrainHost { host });
    let report = site.confirm(1, "ben-key", &blocked.id);
    assert!(matches!(report, PlanReport::NotDone { .. }), "{report:?}");
    let unknown = PlanId::try_from("plan-unknown").unwrap();
    site.confirm(0, "ada-key", &unknown);
    wait_until("both are written", || refused(&site).len() == 2);
    // Each entry host writes its own refusals, so their order is not that of the calls.
    let records = refused(&site);
    let of = |id: &PlanId| records.iter().find(|it| it.plan.as_ref() == Some(id));
    let first = of(&blocked.id).expect("a record of the blocked plan");
    assert!(first.reason.contains("cannot be carried out"), "{}", first.reason);
    let second = of(&unknown).expect("a record of the unknown plan");
    assert_eq!((first.who.as_str(), second.who.as_str()), ("ben", "ada"));
}
