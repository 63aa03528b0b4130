//! Intents that change the configuration without work on hosts.

use fuchsiamill_model::{Change, ChangeId, Configuration, Intent, LogEntry};

use super::{Request, Result, describe_intent};

/// Returns the changes of an intent that needs no work on hosts, `None` for other intents.
pub fn changes(intent: &Intent) -> Option<Vec<Change>> {
    let change = match intent.clone() {
        Intent::GrantKey { key } => Change::GrantKey { key },
        Intent::WithdrawKey { key } => Change::WithdrawKey { key },
        Intent::PutTeam { team } => Change::PutTeam { team },
        Intent::SetShare { team, share } => Change::SetShare { team, share },
        Intent::SetUpperLimit { team, upper_limit } => Change::SetUpperLimit { team, upper_limit },
        Intent::PutPool { pool } => Change::PutPool { pool },
        Intent::PutService { service } => Change::PutService { service },
        Intent::RemoveEntryHost { entry } => Change::RemoveEntryHost { entry },
        Intent::AddHosts { hosts } => {
            return Some(hosts.into_iter().map(|host| Change::PutHost { host }).collect());
        }
        _ => return None,
    };
    Some(vec![change])
}

/// Returns the configuration with the changes of a direct intent applied; fails if they break a configuration rule.
pub fn applied(config: &Configuration, req: &Request, intent: &Intent) -> Result<Configuration> {
    let mut after = config.clone();
    let Some(changes) = changes(intent) else { return Ok(after) };
    after.apply(&LogEntry {
        version: config.version.next(),
        id: ChangeId(req.id.to_string()),
        who: req.who.clone(),
        intent: describe_intent(intent),
        plan: None,
        at: req.now,
        changes,
    })?;
    Ok(after)
}
