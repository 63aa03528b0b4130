//! Lists of what there is, and of what was changed.

use fuchsiamill_api::{AuditRecord, Catalogue};
use fuchsiamill_model::{
    Host,
    config::{Access, PoolRole},
    team::Urgency,
};

use super::{
    table::{most, table},
    time::utc,
};

/// The teams.
pub fn teams(listed: &Catalogue) -> String {
    let rows: Vec<Vec<String>> = listed
        .teams
        .iter()
        .map(|it| {
            let urgent = if it.urgent == Urgency::Urgent { "urgent" } else { "normal" };
            vec![
                it.name.to_string(),
                it.share.to_string(),
                it.upper_limit.to_string(),
                it.queue.to_string(),
                urgent.into(),
            ]
        })
        .collect();
    table(&["TEAM", "SHARE", "UPPER LIMIT", "QUEUE", "URGENCY"], &rows)
}

/// The keys, without the keys.
pub fn keys(listed: &Catalogue) -> String {
    let rows: Vec<Vec<String>> =
        listed.keys.iter().map(|it| vec![it.id.to_string(), it.team.to_string()]).collect();
    table(&["KEY", "TEAM"], &rows)
}

/// The pools with their services.
pub fn pools(listed: &Catalogue) -> String {
    let rows: Vec<Vec<String>> = listed
        .pools
        .iter()
        .map(|pool| {
            let served = listed.services.iter().filter(|it| it.pool == pool.name);
            let services: Vec<String> = served
                .map(|it| match it.access {
                    Access::Teams => it.name.to_string(),
                    Access::Open => format!("{} (open)", it.name),
                })
                .collect();
            vec![
                pool.name.to_string(),
                if pool.role == PoolRole::Spare { "spare" } else { "serving" }.into(),
                pool.least_serving.to_string(),
                most(pool.most_out_per_domain),
                if services.is_empty() { "-".into() } else { services.join(", ") },
            ]
        })
        .collect();
    table(&["POOL", "ROLE", "LEAST SERVING", "MOST OUT PER DC", "SERVICES"], &rows)
}

/// The entry hosts on record.
pub fn entry_hosts(listed: &Catalogue) -> String {
    let rows: Vec<Vec<String>> = listed
        .entry_hosts
        .iter()
        .map(|(name, peer)| vec![name.to_string(), peer.to_string()])
        .collect();
    table(&["ENTRY HOST", "PEER PORT"], &rows)
}

/// The hosts.
pub fn hosts(hosts: &[Host]) -> String {
    let rows: Vec<Vec<String>> = hosts
        .iter()
        .map(|it| {
            vec![
                it.name.to_string(),
                it.pool.to_string(),
                it.rack.to_string(),
                it.data_centre.to_string(),
                it.state.as_str().into(),
                it.slots.to_string(),
            ]
        })
        .collect();
    table(&["HOST", "POOL", "RACK", "DATA CENTRE", "STATE", "SLOTS"], &rows)
}

/// Records of the audit trail.
pub fn audit(records: &[AuditRecord]) -> String {
    let rows: Vec<Vec<String>> = records
        .iter()
        .map(|it| {
            vec![
                utc(it.at),
                it.who.to_string(),
                it.outcome.as_str().into(),
                if it.before == it.after {
                    format!("at {}", it.before)
                } else {
                    format!("{} to {}", it.before, it.after)
                },
                it.plan.as_ref().map_or("-".into(), ToString::to_string),
                if it.reason.is_empty() {
                    it.intent.clone()
                } else {
                    format!("{}: {}", it.intent, it.reason)
                },
            ]
        })
        .collect();
    table(&["TIME (UTC)", "WHO", "OUTCOME", "VERSION", "PLAN", "INTENT"], &rows)
}
