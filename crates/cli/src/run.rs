//! Runs one command.

use std::{
    net::SocketAddr,
    time::{SystemTime, UNIX_EPOCH},
};

use fuchsiamill_api::{
    AuditFilter, AuditOutcome, AuditRecord, Catalogue, ChangeReport, ChangeRequest, HostFilter,
    JobFilter, JobRef, JobReport, JobState, JobView, PlanRef, PlanReport, PlanView, Reason,
    SetPlanState, SiteReport, SiteStatus, story::JobStory,
};
use fuchsiamill_model::{Change, ChangeId, Host, HostState, JobId, PlanId, PlanState, WallTime};
use fuchsiamill_policy::planner::Plan;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{
    Outcome,
    access::Access,
    cli::{
        self, Args, Command, EntryHostCommand, HostCommand, KeyCommand, PoolCommand, TeamCommand,
    },
    client::{self, Client},
    error::{Error, ExitStatus, Result},
    intents,
    jobs::{JobCommand, JobList},
    keys, progress,
    show::{self, plans::Detail},
};

/// Runs a command.
pub fn run(args: &Args) -> Result<Outcome> {
    let cx = Cx { args };
    match &args.command {
        Command::Status(_) => cx.ask::<SiteStatus>("site.status", &(), show::site::status),
        Command::Report(_) => cx.report(),
        Command::Plan(plan) => cx.plan(plan),
        Command::Plans(_) => cx.ask::<Vec<PlanView>>("plan.list", &(), |it| show::plans::list(it)),
        Command::Confirm(confirm) => cx.confirm(confirm),
        Command::Pause(it) => cx.set_state(&it.plan, PlanState::Paused),
        Command::Resume(it) => cx.set_state(&it.plan, PlanState::Running),
        Command::Cancel(it) => cx.set_state(&it.plan, PlanState::Cancelling),
        Command::Team(team) => match team.command {
            TeamCommand::List(_) => cx.catalogue(show::lists::teams, |it| json!(it.teams)),
        },
        Command::Key(key) => cx.key(&key.command),
        Command::Pool(pool) => match pool.command {
            PoolCommand::List(_) => cx.catalogue(show::lists::pools, |it| json!(it.pools)),
        },
        Command::Host(host) => match &host.command {
            HostCommand::List(list) => cx.hosts(list),
        },
        Command::Job(job) => match &job.command {
            JobCommand::List(list) => cx.jobs(list),
            JobCommand::Show(it) => match it.metrics {
                Some(entry) => cx.story(entry, &it.job),
                None => cx.job("job.show", &it.job),
            },
            JobCommand::Cancel(it) => cx.job("job.cancel", &it.job),
        },
        Command::EntryHost(entry) => match &entry.command {
            EntryHostCommand::List(_) => {
                cx.catalogue(show::lists::entry_hosts, |it| json!(it.entry_hosts))
            }
            EntryHostCommand::Put(put) => cx.put_entry_host(put),
        },
        Command::Audit(audit) => cx.audit(audit),
    }
}

struct Cx<'a> {
    args: &'a Args,
}

impl Cx<'_> {
    fn client(&self) -> Result<Client> {
        Ok(Client::new(Access::try_from(self.args)?))
    }

    /// Calls a method and shows its result.
    fn ask<R: for<'de> Deserialize<'de> + Serialize>(
        &self,
        method: &str,
        params: &impl Serialize,
        show: impl FnOnce(&R) -> String,
    ) -> Result<Outcome> {
        let result: R = self.client()?.call(method, params)?;
        Ok(Outcome::done(self.text(&result, show)))
    }

    fn text<R: Serialize>(&self, result: &R, show: impl FnOnce(&R) -> String) -> String {
        if !self.args.json {
            return show(result);
        }
        let mut text = serde_json::to_string_pretty(result).expect("results serialise to JSON");
        text.push('\n');
        text
    }

    fn catalogue(
        &self,
        show: fn(&Catalogue) -> String,
        part: fn(&Catalogue) -> Value,
    ) -> Result<Outcome> {
        let listed: Catalogue = self.client()?.call("catalogue.list", &())?;
        Ok(Outcome::done(self.text(&part(&listed), |_| show(&listed))))
    }

    fn report(&self) -> Result<Outcome> {
        let client = self.client()?;
        let report: SiteReport = client.call("site.report", &())?;
        let plans: Vec<PlanView> = client.call("plan.list", &())?;
        let value = json!({ "site": report, "plans": show::plans::measures_of(&plans) });
        Ok(Outcome::done(self.text(&value, |_| show::site::report(&report, &plans))))
    }

    fn plan(&self, args: &cli::Plan) -> Result<Outcome> {
        let intent = intents::intent(&args.intent)?;
        let plan: Plan = self.client()?.call("plan.make", &intent)?;
        let detail = if args.explain { Detail::Explained } else { Detail::Plain };
        let text = self.text(&plan, |plan| show::plans::plan(plan, detail));
        let code = if plan.blocked.is_empty() { ExitStatus::Done } else { ExitStatus::Refused };
        Ok(Outcome { text, code })
    }

    fn confirm(&self, args: &cli::Confirm) -> Result<Outcome> {
        let client = self.client()?;
        let plan = PlanRef { plan: args.plan.clone() };
        let report: PlanReport = client.call("plan.confirm", &plan)?;
        if args.wait && matches!(report, PlanReport::Done(_)) {
            let view = progress::wait(&client, &args.plan)?;
            return Ok(Outcome::done(self.text(&view, show::plans::ended)));
        }
        self.plan_report(&report, "confirmed")
    }

    fn set_state(&self, plan: &PlanId, state: PlanState) -> Result<Outcome> {
        let asked = SetPlanState { plan: plan.clone(), state };
        let report: PlanReport = self.client()?.call("plan.set-state", &asked)?;
        self.plan_report(&report, state.as_str())
    }

    fn plan_report(&self, report: &PlanReport, done: &str) -> Result<Outcome> {
        let (reason, detail) = match report {
            PlanReport::Done(_) => {
                return Ok(Outcome::done(self.text(report, |it| show::plans::report(it, done))));
            }
            PlanReport::NotDone { reason, detail, .. } => (reason, detail),
        };
        if self.args.json {
            let text = self.text(report, |_| String::new());
            return Ok(Outcome { text, code: error_of(*reason, detail).code() });
        }
        Err(error_of(*reason, detail))
    }

    fn key(&self, command: &KeyCommand) -> Result<Outcome> {
        match command {
            KeyCommand::List(_) => self.catalogue(show::lists::keys, |it| json!(it.keys)),
            KeyCommand::Make(_) => {
                let key = keys::make()?;
                let digest = fuchsiamill_model::KeyDigest::of(&key).to_string();
                let made = json!({ "key": key, "digest": digest });
                let show = |_: &Value| format!("key     {key}\ndigest  {digest}\n");
                Ok(Outcome::done(self.text(&made, show)))
            }
            KeyCommand::Digest(_) => {
                let digest = keys::digest_of_input()?.to_string();
                Ok(Outcome::done(
                    self.text(&json!({ "digest": digest }), |_| format!("{digest}\n")),
                ))
            }
        }
    }

    fn put_entry_host(&self, args: &cli::EntryHostPut) -> Result<Outcome> {
        let request = ChangeRequest {
            id: ChangeId(keys::make()?),
            intent: format!("put entry host '{}' at {} on record", args.entry, args.peer),
            basis: None,
            changes: vec![Change::PutEntryHost { entry: args.entry.clone(), peer: args.peer }],
        };
        let report: ChangeReport = self.client()?.call("config.change", &request)?;
        let code = change_code(&report);
        match (self.args.json, show::site::change(&report)) {
            (true, _) => Ok(Outcome { text: self.text(&report, |_| String::new()), code }),
            (false, text) => Ok(Outcome { text, code }),
        }
    }

    fn hosts(&self, args: &cli::HostList) -> Result<Outcome> {
        let state = args.state.as_deref().map(|raw| word::<HostState>("state", raw)).transpose()?;
        let filter = HostFilter { pool: args.pool.clone(), rack: args.rack.clone(), state };
        self.ask::<Vec<Host>>("host.list", &filter, |it| show::lists::hosts(it))
    }

    fn jobs(&self, args: &JobList) -> Result<Outcome> {
        let state = args.state.as_deref().map(|raw| word::<JobState>("state", raw)).transpose()?;
        let filter = JobFilter {
            pool: args.pool.clone(),
            team: args.team.clone(),
            state,
            ended_since: Some(WallTime(now().0.saturating_sub(args.since.ms()))),
            limit: Some(args.limit),
        };
        self.ask::<Vec<JobView>>("job.list", &filter, |it| show::jobs::list(it))
    }

    fn job(&self, method: &str, job: &JobId) -> Result<Outcome> {
        let report: JobReport = self.client()?.call(method, &JobRef { job: job.clone() })?;
        match &report {
            JobReport::Job(view) => {
                Ok(Outcome::done(self.text(&report, |_| show::jobs::job(view))))
            }
            JobReport::NotDone { reason, detail } if self.args.json => {
                let code = error_of(*reason, detail).code();
                Ok(Outcome { text: self.text(&report, |_| String::new()), code })
            }
            JobReport::NotDone { reason, detail } => Err(error_of(*reason, detail)),
        }
    }

    /// What an entry host on a platform tells of a job.
    fn story(&self, entry: SocketAddr, job: &JobId) -> Result<Outcome> {
        let story: JobStory = client::get(entry, &format!("/jobs/{job}"))?;
        Ok(Outcome::done(self.text(&story, show::story::story)))
    }

    fn audit(&self, args: &cli::Audit) -> Result<Outcome> {
        let outcome = args.outcome.as_deref();
        let outcome = outcome.map(|raw| word::<AuditOutcome>("outcome", raw)).transpose()?;
        let filter = AuditFilter {
            since: WallTime(now().0.saturating_sub(args.since.ms())),
            until: None,
            who: args.who.clone(),
            plan: args.plan.clone(),
            outcome,
            intent: args.intent.clone(),
            limit: Some(args.limit),
        };
        self.ask::<Vec<AuditRecord>>("audit.list", &filter, |it| show::lists::audit(it))
    }
}

fn now() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(since.as_millis() as u64)
}

fn word<T: for<'de> Deserialize<'de>>(option: &str, raw: &str) -> Result<T> {
    serde_json::from_value(json!(raw)).map_err(|e| {
        Error::Usage(format!("'--{option} {raw}' is not allowed ({e}); see '--help'."))
    })
}

fn change_code(report: &ChangeReport) -> ExitStatus {
    match report {
        ChangeReport::Accepted { .. } => ExitStatus::Done,
        ChangeReport::Pending { .. } | ChangeReport::InDoubt { .. } => ExitStatus::Pending,
        ChangeReport::Conflict { .. } => ExitStatus::Conflict,
        ChangeReport::Refused { .. } => ExitStatus::Refused,
        ChangeReport::Unavailable { .. } => ExitStatus::Unavailable,
    }
}

fn error_of(reason: Reason, detail: &str) -> Error {
    let detail = detail.to_owned();
    match reason {
        Reason::NoPlan | Reason::Blocked | Reason::Refused => Error::Refused(detail),
        Reason::Stale | Reason::Conflict => Error::Conflict(detail),
        Reason::InDoubt => Error::Pending(detail),
        Reason::Unavailable => Error::Unavailable(detail),
    }
}
