//! Plans.

use fuchsiamill_api::{Acceptance, PlanReport, PlanView, Stage};
use fuchsiamill_policy::planner::{Batch, Measures, Plan, Step, Strategy, Task};
use serde_json::{Value, json};

use super::{
    table::table,
    time::{span, utc},
};

/// How much of a plan is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Detail {
    /// The plan.
    Plain,
    /// The candidates that were not chosen, too.
    Explained,
}

/// A plan to be confirmed.
pub fn plan(plan: &Plan, detail: Detail) -> String {
    let mut text = format!(
        "plan {}: {}\nmade from configuration version {}, to be confirmed before {} UTC\n\n",
        plan.id,
        plan.summary,
        plan.version,
        utc(plan.expires_at),
    );
    for (index, step) in plan.steps.iter().enumerate() {
        text += &step_text(index + 1, step);
    }
    text += &format!("\n{}", measures_text(&plan.measures, plan.lower_bound));
    if !plan.pools.is_empty() {
        text += &format!("\n{}", pool_effects(plan));
    }
    if !plan.teams.is_empty() {
        text += &format!("\n{}", team_effects(plan));
    }
    for it in &plan.left_out {
        text += &format!("left out: {}: {}\n", it.host, it.why);
    }
    if detail == Detail::Explained {
        text += &format!("\n{}", rejected(plan));
    }
    if plan.blocked.is_empty() {
        return text + &format!("\nconfirm it with: fuchsiamill confirm {}\n", plan.id);
    }
    for it in &plan.blocked {
        text += &format!("blocked: {it}\n");
    }
    text
}

/// The plans, one a line.
pub fn list(views: &[PlanView]) -> String {
    let rows: Vec<Vec<String>> = views
        .iter()
        .map(|view| {
            vec![
                view.plan.id.to_string(),
                view.stage.as_str().into(),
                view.confirmed_by.as_ref().unwrap_or(&view.plan.who).to_string(),
                view.plan.summary.clone(),
                hosts_text(view),
                view.waits.join(" "),
            ]
        })
        .collect();
    table(&["PLAN", "STAGE", "WHO", "INTENT", "HOSTS", "WAITS FOR"], &rows)
}

/// What came of confirming, pausing, resuming or cancelling.
pub fn report(report: &PlanReport, done: &str) -> String {
    match report {
        PlanReport::Done(it) => {
            let force = match it.accepted {
                Acceptance::Accepted => "in force everywhere",
                Acceptance::Pending => "in the table; not yet confirmed by every entry host",
            };
            format!("plan {} is {done}, version {}: {force}\n", it.plan, it.version)
        }
        PlanReport::NotDone { detail, .. } => format!("{detail}\n"),
    }
}

/// One line on how far a plan is.
pub fn progress(view: &PlanView) -> String {
    let waits = if view.waits.is_empty() {
        String::new()
    } else {
        format!("; waits: {}", view.waits.join(" "))
    };
    let hosts = match (view.stage, hosts_text(view)) {
        (Stage::Ended, _) => String::new(),
        (_, hosts) if hosts == "-" => String::new(),
        (_, hosts) => format!(", {hosts}"),
    };
    format!("plan {}: {}{hosts}{waits}", view.plan.id, view.stage.as_str())
}

/// A plan that has ended.
pub fn ended(view: &PlanView) -> String {
    format!("plan {} has ended: {}\n", view.plan.id, view.plan.summary)
}

/// The four measures of each plan, for programs.
pub fn measures_of(views: &[PlanView]) -> Value {
    let of = |view: &PlanView| json!({ "plan": view.plan.id, "stage": view.stage, "measures": view.plan.measures });
    views.iter().map(of).collect()
}

/// The four measures of each plan.
pub fn measures(views: &[PlanView]) -> String {
    let rows: Vec<Vec<String>> = views
        .iter()
        .map(|view| {
            let mut row = vec![view.plan.id.to_string(), view.stage.as_str().into()];
            row.extend(measure_cells(&view.plan.measures));
            row
        })
        .collect();
    table(&["PLAN", "STAGE", "BUFFER (SLOTS)", "ROLL-OUT", "MOVES", "FROM SHARE"], &rows)
}

fn hosts_text(view: &PlanView) -> String {
    match view.hosts {
        Some([done, out, pending]) => format!("{done} done, {out} out, {pending} to go"),
        None => "-".into(),
    }
}

fn step_text(number: usize, step: &Step) -> String {
    match step {
        Step::Apply { changes } => {
            let count = match changes.len() {
                1 => "1 change".to_owned(),
                more => format!("{more} changes"),
            };
            format!("step {number}: change the configuration ({count})\n")
        }
        Step::Hosts(work) => {
            let mut text = format!(
                "step {number}: {}, at most {} at once\n",
                task_text(&work.task),
                work.at_once
            );
            for (index, batch) in work.batches.iter().enumerate() {
                text += &format!("  {}. {}\n", index + 1, batch_text(batch));
            }
            text
        }
    }
}

fn task_text(task: &Task) -> String {
    match task {
        Task::Cycle => "drain, reboot, check and bring back".into(),
        Task::TakeOut => "drain and leave out of service".into(),
        Task::Restore => "bring back".into(),
        Task::Move { to } => format!("drain and move to pool {to}"),
    }
}

fn batch_text(batch: &Batch) -> String {
    let hosts: Vec<&str> = batch.hosts.iter().map(|it| it.as_str()).collect();
    let racks: Vec<&str> = batch.racks.iter().map(|it| it.as_str()).collect();
    format!("{} (racks {})", hosts.join(" "), racks.join(" "))
}

fn measure_cells(measures: &Measures) -> [String; 4] {
    [
        measures.buffer.to_string(),
        span(measures.rollout),
        measures.moves.to_string(),
        measures.shortfall.to_string(),
    ]
}

fn measures_text(measures: &Measures, lower_bound: Option<u64>) -> String {
    let bound = lower_bound.map_or(String::new(), |it| format!(" (no plan is under {})", span(it)));
    format!(
        "roll-out time {}{bound}, buffer {} slots, {} moves, distance from shares {}\n",
        span(measures.rollout),
        measures.buffer,
        measures.moves,
        measures.shortfall,
    )
}

fn pool_effects(plan: &Plan) -> String {
    let rows: Vec<Vec<String>> = plan
        .pools
        .iter()
        .map(|it| {
            vec![
                it.pool.to_string(),
                it.before.to_string(),
                it.lowest.to_string(),
                it.after.to_string(),
                it.least.to_string(),
            ]
        })
        .collect();
    table(&["POOL", "SLOTS NOW", "LOWEST", "AFTER", "BUDGET"], &rows)
}

fn team_effects(plan: &Plan) -> String {
    let rows: Vec<Vec<String>> = plan
        .teams
        .iter()
        .map(|it| {
            vec![
                it.team.to_string(),
                it.before.to_string(),
                it.lowest.to_string(),
                it.after.to_string(),
            ]
        })
        .collect();
    table(&["TEAM", "SHARE NOW (SLOTS)", "LOWEST", "AFTER"], &rows)
}

fn rejected(plan: &Plan) -> String {
    let chosen = (&plan.strategy, Some(&plan.measures), Some(plan.cost), String::new());
    let others = plan.rejected.iter().map(|it| {
        let blocked: Vec<String> = it.blocked.iter().map(ToString::to_string).collect();
        (&it.strategy, it.measures.as_ref(), it.cost, blocked.join("; "))
    });
    let rows: Vec<Vec<String>> = std::iter::once(chosen)
        .chain(others)
        .enumerate()
        .map(|(index, (strategy, measures, cost, blocked))| {
            let mut row =
                vec![if index == 0 { "chosen" } else { "" }.into(), strategy_text(strategy)];
            row.push(cost.map_or("-".into(), |it| format!("{it:.3}")));
            row.extend(measures.map_or(["-"; 4].map(String::from), measure_cells));
            row.push(blocked);
            row
        })
        .collect();
    let heading =
        ["", "CANDIDATE", "COST", "BUFFER", "ROLL-OUT", "MOVES", "FROM SHARE", "BLOCKED BY"];
    table(&heading, &rows)
}

fn strategy_text(strategy: &Strategy) -> String {
    let Ok(Value::Object(mut fields)) = serde_json::to_value(strategy) else {
        return String::new();
    };
    let name = fields.remove("family").unwrap_or_default();
    let name = name.as_str().unwrap_or_default().to_owned();
    let rest = fields.iter().map(|(key, value)| format!(", {} {value}", key.replace('_', " ")));
    std::iter::once(name).chain(rest).collect()
}
