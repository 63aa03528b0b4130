//! From the arguments of `plan` to an intent.

use std::{fs, path::Path};

use fuchsiamill_model::{
    Host, Intent, Key, Pool, Service, Team,
    config::{Access, PoolRole},
    team::Urgency,
};

use crate::{
    cli::{self, Move},
    error::{Error, Result},
};

/// The intent that the arguments state.
pub fn intent(args: &cli::Intent) -> Result<Intent> {
    Ok(match args {
        cli::Intent::DrainRack(it) => Intent::DrainRack { rack: it.rack.clone() },
        cli::Intent::DrainHost(it) => Intent::DrainHost { host: it.host.clone() },
        cli::Intent::DrainDataCentre(it) => {
            Intent::DrainDataCentre { data_centre: it.data_centre.clone() }
        }
        cli::Intent::Restore(it) => Intent::Restore { hosts: it.hosts.clone() },
        cli::Intent::Move(it) => moved(it)?,
        cli::Intent::Wave(it) => Intent::Wave { pool: it.pool.clone() },
        cli::Intent::GrantKey(it) => {
            let key = Key { id: it.id.clone(), team: it.team.clone(), digest: it.digest };
            Intent::GrantKey { key }
        }
        cli::Intent::WithdrawKey(it) => Intent::WithdrawKey { key: it.id.clone() },
        cli::Intent::Team(it) => Intent::PutTeam { team: team(it) },
        cli::Intent::Share(it) => Intent::SetShare { team: it.team.clone(), share: it.share },
        cli::Intent::Limit(it) => {
            Intent::SetUpperLimit { team: it.team.clone(), upper_limit: it.limit }
        }
        cli::Intent::Pool(it) => Intent::PutPool { pool: pool(it) },
        cli::Intent::Service(it) => Intent::PutService { service: service(it) },
        cli::Intent::AddHosts(it) => Intent::AddHosts { hosts: hosts(&it.file)? },
        cli::Intent::RemoveEntryHost(it) => Intent::RemoveEntryHost { entry: it.entry.clone() },
    })
}

fn moved(args: &Move) -> Result<Intent> {
    let to = args.to.clone();
    match (args.hosts.is_empty(), &args.from, args.count) {
        (false, None, None) => Ok(Intent::MoveNamed { hosts: args.hosts.clone(), to }),
        (true, Some(from), Some(count)) => Ok(Intent::MoveHosts { from: from.clone(), to, count }),
        _ => Err(Error::Usage("Name hosts, or give both '--from POOL' and '--count N'.".into())),
    }
}

fn team(args: &cli::PutTeam) -> Team {
    Team {
        name: args.team.clone(),
        share: args.share,
        upper_limit: args.limit,
        queue: args.queue,
        urgent: if args.urgent { Urgency::Urgent } else { Urgency::Normal },
    }
}

fn pool(args: &cli::PutPool) -> Pool {
    Pool {
        name: args.pool.clone(),
        role: if args.spare { PoolRole::Spare } else { PoolRole::Serving },
        least_serving: args.least_serving,
        most_out_per_domain: args.most_out,
    }
}

fn service(args: &cli::PutService) -> Service {
    Service {
        name: args.service.clone(),
        pool: args.pool.clone(),
        access: if args.open { Access::Open } else { Access::Teams },
    }
}

fn hosts(path: &Path) -> Result<Vec<Host>> {
    let failed = |cause: String| Error::File { file: path.display().to_string(), cause };
    let text = fs::read_to_string(path).map_err(|e| failed(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| failed(e.to_string()))
}
