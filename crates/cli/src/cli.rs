//! The commands and their arguments.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use fuchsiamill_model::{
    DataCentre, EntryName, HostName, KeyDigest, KeyId, OperatorName, PlanId, PoolName, RackName,
    ServiceName, TeamName, Units,
};

use crate::{jobs::Job, show::time::Span};

/// Drives a fuchsiamill site: state an intent, look at the plan, confirm it.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// operator port of an entry host, IP:PORT; give it again for the ones to try next
    #[argh(option)]
    pub entry: Vec<SocketAddr>,
    /// file that holds the operator's key
    #[argh(option)]
    pub key_file: Option<PathBuf>,
    /// INI file with section [operator], keys 'entries' and 'key-file'
    #[argh(option)]
    pub config: Option<PathBuf>,
    /// print JSON for programs
    #[argh(switch)]
    pub json: bool,
    /// the command
    #[argh(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Status of the site.
    Status(Status),
    /// Make a plan.
    Plan(Plan),
    /// Confirm a plan.
    Confirm(Confirm),
    /// List plans.
    Plans(Plans),
    /// Pause a plan.
    Pause(Pause),
    /// Resume a plan.
    Resume(Resume),
    /// Cancel a plan.
    Cancel(Cancel),
    /// Teams.
    Team(Team),
    /// Keys.
    Key(Key),
    /// Pools.
    Pool(Pool),
    /// Hosts.
    Host(Host),
    /// Jobs.
    Job(Job),
    /// Entry hosts.
    EntryHost(EntryHost),
    /// The audit trail.
    Audit(Audit),
    /// Budgets, shares and measures.
    Report(Report),
}

/// Show how the site is and which version each entry host has applied.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Make a plan for an intent. Nothing moves before it is confirmed.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    /// show the candidates that were not chosen
    #[argh(switch)]
    pub explain: bool,
    /// the intent
    #[argh(subcommand)]
    pub intent: Intent,
}

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

/// Confirm a plan; confirming it again acts once.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "confirm")]
pub struct Confirm {
    /// the plan
    #[argh(positional)]
    pub plan: PlanId,
    /// wait until it has ended and show how far it is
    #[argh(switch)]
    pub wait: bool,
}

/// List plans, the newest first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plans")]
pub struct Plans {}

/// Pause a plan: it takes no further host out, and hosts that are out come back.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pause")]
pub struct Pause {
    /// the plan
    #[argh(positional)]
    pub plan: PlanId,
}

/// Resume a paused plan.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "resume")]
pub struct Resume {
    /// the plan
    #[argh(positional)]
    pub plan: PlanId,
}

/// Cancel a plan: its hosts come back and it ends.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct Cancel {
    /// the plan
    #[argh(positional)]
    pub plan: PlanId,
}

/// Teams; they are made and changed by plans.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "team")]
pub struct Team {
    /// what to do
    #[argh(subcommand)]
    pub command: TeamCommand,
}

/// What to do about teams.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum TeamCommand {
    /// List them.
    List(TeamList),
}

/// List the teams.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct TeamList {}

/// Keys; they are granted and withdrawn by plans.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub struct Key {
    /// what to do
    #[argh(subcommand)]
    pub command: KeyCommand,
}

/// What to do about keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum KeyCommand {
    /// List them.
    List(KeyList),
    /// Make one.
    Make(KeyMake),
    /// Digest one.
    Digest(KeyDigestOf),
}

/// List the keys in force: ids and teams, never the keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct KeyList {}

/// Make a random key and print it once, with its digest. It is stored nowhere.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "make")]
pub struct KeyMake {}

/// Read a key from the standard input and print its digest.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "digest")]
pub struct KeyDigestOf {}

/// Pools and services; they are made and changed by plans.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pool")]
pub struct Pool {
    /// what to do
    #[argh(subcommand)]
    pub command: PoolCommand,
}

/// What to do about pools.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum PoolCommand {
    /// List them.
    List(PoolList),
}

/// List the pools with their budgets and services.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct PoolList {}

/// Hosts; they are added, drained and moved by plans.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "host")]
pub struct Host {
    /// what to do
    #[argh(subcommand)]
    pub command: HostCommand,
}

/// What to do about hosts.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum HostCommand {
    /// List them.
    List(HostList),
}

/// List the hosts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct HostList {
    /// only of this pool
    #[argh(option)]
    pub pool: Option<PoolName>,
    /// only in this rack
    #[argh(option)]
    pub rack: Option<RackName>,
    /// only in this state: serving, draining, rebooting, checking, set-aside or absent
    #[argh(option)]
    pub state: Option<String>,
}

/// Entry hosts on record; one is removed by 'plan remove-entry-host'.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry-host")]
pub struct EntryHost {
    /// what to do
    #[argh(subcommand)]
    pub command: EntryHostCommand,
}

/// What to do about entry hosts.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum EntryHostCommand {
    /// List them.
    List(EntryHostList),
    /// Put one on record.
    Put(EntryHostPut),
}

/// List the entry hosts on record.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct EntryHostList {}

/// Put an entry host on record, or give it a new address. It moves nothing and needs no plan.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
pub struct EntryHostPut {
    /// its name
    #[argh(positional)]
    pub entry: EntryName,
    /// its peer port, IP:PORT
    #[argh(positional)]
    pub peer: SocketAddr,
}

/// List the audit trail, the latest last.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Audit {
    /// only the last so long, such as 90s, 15min, 2h or 7d; default 1d
    #[argh(option, default = "Span::DAY")]
    pub since: Span,
    /// only of this operator
    #[argh(option)]
    pub who: Option<OperatorName>,
    /// only of this plan
    #[argh(option)]
    pub plan: Option<PlanId>,
    /// only with this outcome: written, refused, conflict or cancelled
    #[argh(option)]
    pub outcome: Option<String>,
    /// only with this text in the intent
    #[argh(option)]
    pub intent: Option<String>,
    /// the most records, the latest ones; default 100
    #[argh(option, default = "100")]
    pub limit: usize,
}

/// Report each budget, the teams' shares and the measures of plans.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {}
