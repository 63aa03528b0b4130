//! Plans in the table: the newest and the running ones are listed, old ones are deleted.

mod common;

use common::{Site, SiteBuilder, wait_until};
use fuchsiamill_api::{PlanReport, Stage};
use fuchsiamill_model::{Intent, PlanId, PlanState};
use fuchsiamill_ports::Range;

const LISTED: usize = 200;
const ROWS: usize = 1_000;

fn site() -> SiteBuilder {
    Site::of(2).pool_with_budget("rota", 4, 8, 1).team("north", 100)
}

fn share() -> Intent {
    Intent::SetShare { team: "north".try_into().unwrap(), share: 2 }
}

/// A plan that is being carried out, paused so that it does not end.
fn paused(site: &Site) -> PlanId {
    let wave = Intent::Wave { pool: Some("rota".try_into().unwrap()) };
    let plan = site.plan(0, "ada-key", wave);
    assert!(matches!(site.confirm(0, "ada-key", &plan.id), PlanReport::Done(_)));
    site.set_plan(1, &plan.id, PlanState::Paused);
    plan.id
}

fn plan_rows(site: &Site) -> [usize; 2] {
    ["plan/", "plan-index/"].map(|prefix| site.rows(&Range::prefix(prefix, ROWS)).len())
}

#[test]
fn the_list_has_the_newest_plans_and_the_running_ones() {
    let site = site().start();
    let running = paused(&site);
    let made: Vec<_> = (0..=LISTED).map(|at| site.plan(at % 2, "ada-key", share())).collect();
    let listed = site.views(1);
    assert!(listed.iter().any(|it| it.plan.id == running && it.stage == Stage::Paused));
    let is_listed = |id: &PlanId| listed.iter().any(|it| &it.plan.id == id);
    let (shown, left_out): (Vec<_>, Vec<_>) = made.iter().partition(|it| is_listed(&it.id));
    let oldest = shown.iter().map(|it| it.made_at).min().expect("plans are listed");
    // Plans of one millisecond have no order.
    assert!(left_out.iter().all(|it| it.made_at <= oldest), "{left_out:?}");
    assert_eq!((shown.len(), left_out.len()), (LISTED, 1));
    assert_eq!(listed.len(), LISTED + 1);
}

#[test]
fn old_plans_are_deleted_and_running_ones_stay() {
    let keep = |site: SiteBuilder| {
        site.setting("maintenance.plan-keep-ms", 1_500)
            .setting("maintenance.plan-valid-ms", 1_000)
            .setting("maintenance.purge-ms", 50)
    };
    let site = keep(site()).start();
    let running = paused(&site);
    (0..60).for_each(|at| drop(site.plan(at % 2, "ada-key", share())));
    wait_until("only the running plan is left", || plan_rows(&site) == [1, 1]);
    assert_eq!(site.view(0, &running).stage, Stage::Paused);
    site.set_plan(1, &running, PlanState::Cancelling);
    wait_until("the ended plan is deleted as well", || plan_rows(&site) == [0, 0]);
    assert!(site.newest().plans.is_empty());
}
