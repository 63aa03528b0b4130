//! The arguments of the commands for jobs.

use std::net::SocketAddr;

use argh::FromArgs;
use fuchsiamill_model::{JobId, PoolName, TeamName};

use crate::show::time::Span;

/// Jobs of every team; teams post them on the caller port.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "job")]
pub struct Job {
    /// what to do
    #[argh(subcommand)]
    pub command: JobCommand,
}

/// What to do about jobs.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum JobCommand {
    /// List them.
    List(JobList),
    /// Show one.
    Show(JobShow),
    /// Cancel one.
    Cancel(JobCancel),
}

/// List the jobs that are not over, with what the waiting ones wait for.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct JobList {
    /// only of this pool
    #[argh(option)]
    pub pool: Option<PoolName>,
    /// only of this team
    #[argh(option)]
    pub team: Option<TeamName>,
    /// only in this state: waiting, running, finished, failed, refused, cancelled or unknown
    #[argh(option)]
    pub state: Option<String>,
    /// of the jobs that are over, only those that ended in the last so long; default 1h
    #[argh(option, default = "Span::HOUR")]
    pub since: Span,
    /// the most jobs; default 100
    #[argh(option, default = "100")]
    pub limit: usize,
}

/// Show one job: what it waits for, where it runs, or how it ended.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct JobShow {
    /// on a platform: the metrics port of any entry host, IP:PORT, which needs no key
    #[argh(option)]
    pub metrics: Option<SocketAddr>,
    /// the job
    #[argh(positional)]
    pub job: JobId,
}

/// Cancel a job. One that waits never runs; one that runs is stopped.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct JobCancel {
    /// the job
    #[argh(positional)]
    pub job: JobId,
}
