//! The status and the report of a site.

use fuchsiamill_api::{ChangeReport, PlanView, SiteReport, SiteStatus};
use fuchsiamill_model::config::PoolRole;

use super::{
    plans,
    table::{most, table},
};

/// The status of a site.
pub fn status(status: &SiteStatus) -> String {
    let config = &status.config;
    let mut text = format!(
        "entry host     {} ({}, {}), {}\nconfiguration  version {}, {}\n",
        status.entry,
        status.region,
        status.data_centre,
        status.standing,
        config.version,
        if config.accepted >= config.version {
            "accepted".to_owned()
        } else {
            format!("accepted up to {}", config.accepted)
        },
    );
    let states: Vec<String> =
        status.hosts.iter().map(|(state, count)| format!("{count} {state}")).collect();
    text += &format!(
        "fleet          {} pools, {} teams, {} keys, hosts: {}\nplans          {} being carried out\n\n",
        status.pools,
        status.teams,
        status.keys,
        if states.is_empty() { "none".into() } else { states.join(", ") },
        status.plans,
    );
    let rows: Vec<Vec<String>> = config
        .hosts
        .iter()
        .map(|(name, version)| {
            let version = version.map_or("does not answer".into(), |it| it.to_string());
            vec![name.to_string(), version]
        })
        .collect();
    text + &table(&["ENTRY HOST", "VERSION"], &rows)
}

/// What came of a change that needs no plan.
pub fn change(report: &ChangeReport) -> String {
    match report {
        ChangeReport::Accepted { version } => format!("version {version} is in force everywhere\n"),
        ChangeReport::Pending { version, waiting } => {
            let waiting: Vec<String> = waiting.iter().map(ToString::to_string).collect();
            format!(
                "version {version} is in the table; not yet confirmed: {}\n",
                waiting.join(", ")
            )
        }
        ChangeReport::InDoubt { detail }
        | ChangeReport::Conflict { detail }
        | ChangeReport::Refused { detail }
        | ChangeReport::Unavailable { detail } => format!("{detail}\n"),
    }
}

/// Budgets, shares and the measures of plans.
pub fn report(report: &SiteReport, views: &[PlanView]) -> String {
    let budgets: Vec<Vec<String>> = report
        .budgets
        .iter()
        .map(|it| {
            let out: Vec<String> = it.out.iter().map(|(dc, out)| format!("{dc}: {out}")).collect();
            vec![
                it.pool.to_string(),
                if it.role == PoolRole::Spare { "spare" } else { "serving" }.into(),
                it.hosts.to_string(),
                it.serving.to_string(),
                it.least_serving.to_string(),
                it.spare.to_string(),
                if out.is_empty() { "-".into() } else { out.join(", ") },
                most(it.most_out_per_domain),
            ]
        })
        .collect();
    let heading =
        ["POOL", "ROLE", "HOSTS", "SERVING SLOTS", "LEAST", "LEFT", "OUT", "MOST OUT PER DC"];
    let teams: Vec<Vec<String>> = report
        .teams
        .iter()
        .map(|it| {
            vec![
                it.team.to_string(),
                it.share.to_string(),
                percent(it.share_basis_points),
                it.upper_limit.to_string(),
                it.keys.to_string(),
            ]
        })
        .collect();
    format!(
        "configuration version {}, {} slots above the budgets\n\n{}\n{}\n{}\n{}",
        report.version,
        report.buffer,
        table(&heading, &budgets),
        table(&["TEAM", "SHARE", "OF A FULL POOL", "UPPER LIMIT", "KEYS"], &teams),
        shares(report),
        plans::measures(views),
    )
}

fn shares(report: &SiteReport) -> String {
    let rows: Vec<Vec<String>> = report
        .shares
        .iter()
        .map(|it| {
            let nearness = it.nearness_basis_points.map_or("-".into(), percent);
            let team = it.team.as_ref().map_or("without a key".into(), ToString::to_string);
            vec![it.pool.to_string(), team, it.running.to_string(), it.queued.to_string(), nearness]
        })
        .collect();
    let mut text = table(&["POOL", "TEAM", "RUNNING", "QUEUED", "NEARNESS TO SHARE"], &rows);
    for pool in &report.unheard {
        text += &format!("the owner of pool '{pool}' does not answer\n");
    }
    text
}

fn percent(basis_points: u32) -> String {
    format!("{}.{:02} %", basis_points / 100, basis_points % 100)
}
