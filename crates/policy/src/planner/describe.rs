//! Describes intents in words, for plans, the audit trail and messages to other operators.

use fuchsiamill_model::{HostName, Intent};

const MAX_NAMES_SHOWN: usize = 4;

/// Describes an intent in words.
pub fn describe_intent(intent: &Intent) -> String {
    match intent {
        Intent::DrainRack { rack } => format!("drain rack '{rack}'"),
        Intent::DrainHost { host } => format!("drain host '{host}'"),
        Intent::DrainDataCentre { data_centre } => format!("drain data centre '{data_centre}'"),
        Intent::Restore { hosts } => format!("restore {}", names(hosts)),
        Intent::MoveHosts { from, to, count } => {
            format!("move {count} hosts from pool '{from}' to pool '{to}'")
        }
        Intent::MoveNamed { hosts, to } => format!("move {} to pool '{to}'", names(hosts)),
        Intent::Wave { pool: Some(pool) } => format!("maintenance wave over pool '{pool}'"),
        Intent::Wave { pool: None } => "maintenance wave over the fleet".into(),
        Intent::GrantKey { key } => format!("grant key '{}' to team '{}'", key.id, key.team),
        Intent::WithdrawKey { key } => format!("withdraw key '{key}'"),
        Intent::PutTeam { team } => format!("put team '{}'", team.name),
        Intent::SetShare { team, share } => format!("set the share of team '{team}' to {share}"),
        Intent::SetUpperLimit { team, upper_limit } => {
            format!("set the upper limit of team '{team}' to {upper_limit}")
        }
        Intent::PutPool { pool } => format!("put pool '{}'", pool.name),
        Intent::PutService { service } => format!("put service '{}'", service.name),
        Intent::AddHosts { hosts } => format!("add {} hosts", hosts.len()),
        Intent::RemoveEntryHost { entry } => format!("remove entry host '{entry}'"),
    }
}

fn names(hosts: &[HostName]) -> String {
    let shown: Vec<_> = hosts.iter().take(MAX_NAMES_SHOWN).map(|it| format!("'{it}'")).collect();
    let more = hosts.len().saturating_sub(MAX_NAMES_SHOWN);
    match (hosts.len(), more) {
        (1, _) => format!("host {}", shown[0]),
        (_, 0) => format!("hosts {}", shown.join(", ")),
        _ => format!("hosts {} and {more} more", shown.join(", ")),
    }
}
