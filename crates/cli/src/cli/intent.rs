//! What an operator may intend, and its arguments.

use std::path::PathBuf;

use argh::FromArgs;
use fuchsiamill_model::{
    DataCentre, EntryName, HostName, KeyDigest, KeyId, PoolName, RackName, ServiceName, TeamName,
    Units,
};

/// The intents.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Intent {
    /// Drain a rack.
    DrainRack(DrainRack),
    /// Drain a host.
    DrainHost(DrainHost),
    /// Drain a data centre.
    DrainDataCentre(DrainDataCentre),
    /// Bring hosts back.
    Restore(Restore),
    /// Move hosts.
    Move(Move),
    /// Roll a maintenance wave.
    Wave(Wave),
    /// Grant a key.
    GrantKey(GrantKey),
    /// Withdraw a key.
    WithdrawKey(WithdrawKey),
    /// Make a team.
    Team(PutTeam),
    /// Set a share.
    Share(Share),
    /// Set an upper limit.
    Limit(Limit),
    /// Make a pool.
    Pool(PutPool),
    /// Make a service.
    Service(PutService),
    /// Add hosts.
    AddHosts(AddHosts),
    /// Remove an entry host from the record.
    RemoveEntryHost(RemoveEntryHost),
}

/// Drain every host of a rack and leave it out of service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain-rack")]
pub struct DrainRack {
    /// the rack
    #[argh(positional)]
    pub rack: RackName,
}

/// Drain one host and leave it out of service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain-host")]
pub struct DrainHost {
    /// the host
    #[argh(positional)]
    pub host: HostName,
}

/// Drain every host of a data centre and leave it out of service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain-data-centre")]
pub struct DrainDataCentre {
    /// the data centre
    #[argh(positional)]
    pub data_centre: DataCentre,
}

/// Bring hosts that are out of service back.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "restore")]
pub struct Restore {
    /// the hosts
    #[argh(positional)]
    pub hosts: Vec<HostName>,
}

/// Move hosts to another pool: named ones, or so many from a pool.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "move")]
pub struct Move {
    /// the hosts, when they are named
    #[argh(positional)]
    pub hosts: Vec<HostName>,
    /// the pool that gives, with --count
    #[argh(option)]
    pub from: Option<PoolName>,
    /// how many hosts, with --from
    #[argh(option)]
    pub count: Option<u32>,
    /// the pool that receives
    #[argh(option)]
    pub to: PoolName,
}

/// Drain, reboot and check every host of a pool, or of the fleet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "wave")]
pub struct Wave {
    /// the pool; the whole fleet without it
    #[argh(option)]
    pub pool: Option<PoolName>,
}

/// Grant a key to a team. Only its digest is sent; see 'fuchsiamill key make'.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "grant-key")]
pub struct GrantKey {
    /// the public id of the key
    #[argh(positional)]
    pub id: KeyId,
    /// the team
    #[argh(option)]
    pub team: TeamName,
    /// the digest of the key, 64 hexadecimal digits
    #[argh(option)]
    pub digest: KeyDigest,
}

/// Withdraw a key.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw-key")]
pub struct WithdrawKey {
    /// the public id of the key
    #[argh(positional)]
    pub id: KeyId,
}

/// Make a team or replace its settings.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "team")]
pub struct PutTeam {
    /// the team
    #[argh(positional)]
    pub team: TeamName,
    /// its weight when a pool is full
    #[argh(option)]
    pub share: u32,
    /// the most that it may have running over the fleet
    #[argh(option)]
    pub limit: Units,
    /// the most requests that it may have queued in one pool
    #[argh(option, default = "1000")]
    pub queue: u32,
    /// put its queued work before that of other teams
    #[argh(switch)]
    pub urgent: bool,
}

/// Set a team's share.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "share")]
pub struct Share {
    /// the team
    #[argh(positional)]
    pub team: TeamName,
    /// its new weight
    #[argh(positional)]
    pub share: u32,
}

/// Set a team's upper limit.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "limit")]
pub struct Limit {
    /// the team
    #[argh(positional)]
    pub team: TeamName,
    /// the most that it may have running over the fleet
    #[argh(positional)]
    pub limit: Units,
}

/// Make a pool or replace its availability budget.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pool")]
pub struct PutPool {
    /// the pool
    #[argh(positional)]
    pub pool: PoolName,
    /// the least slots that must serve
    #[argh(option)]
    pub least_serving: u32,
    /// the most hosts that may be out at once in one data centre
    #[argh(option)]
    pub most_out: u32,
    /// its hosts stand by for peaks and waves
    #[argh(switch)]
    pub spare: bool,
}

/// Make a service or point it at another pool.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct PutService {
    /// the service
    #[argh(positional)]
    pub service: ServiceName,
    /// the pool that serves it
    #[argh(option)]
    pub pool: PoolName,
    /// let everyone ask for it without a key
    #[argh(switch)]
    pub open: bool,
}

/// Add hosts to the fleet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "add-hosts")]
pub struct AddHosts {
    /// file with the hosts as a JSON list, as 'host list --json' prints them
    #[argh(positional)]
    pub file: PathBuf,
}

/// Remove an entry host from the record.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove-entry-host")]
pub struct RemoveEntryHost {
    /// the entry host
    #[argh(positional)]
    pub entry: EntryName,
}
