//! The commands and their arguments.

mod intent;

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use fuchsiamill_model::{EntryName, OperatorName, PlanId, PoolName, RackName};

pub use intent::{Intent, Move, PutPool, PutService, PutTeam};

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
