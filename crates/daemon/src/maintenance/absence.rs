//! Records hosts that leave without a plan, and those that are back, for the pools owned here.
//!
//! Only a pool's owner looks, which saves work; two that believe to be owner cannot harm each other,
//! since each change is a conditional write on what its maker saw.

use std::{rc::Rc, time::Duration};

use fuchsiamill_model::{
    ChangeId, Configuration, FastMap, Host, HostName, HostState, Millisecond, OperatorName,
    PoolName,
};
use fuchsiamill_policy::{
    absence::{Decision, HostObservation, Limits, Next, PoolWatch, Reason, WorkHealth},
    backend_state::Listed,
    config_log::{Basis, Proposal},
    waves::Probe,
};
use futures_util::future::join_all;
use monoio::time::sleep;

use super::{probes, proposals::PATIENCE};
use crate::{config::Outcome, cx::Cx};

/// How old a reading of the host list may be.
const FRESH_MS: Millisecond = 3_000;

/// Runs for as long as the entry host does.
pub async fn run(cx: Rc<Cx>) {
    let settings = &cx.settings.maintenance;
    let limits = Limits {
        absent: settings.absent_ms,
        back: settings.back_ms,
        max_percent: settings.absent_percent,
    };
    let look = Duration::from_millis(settings.look_ms);
    let mut watches = FastMap::<PoolName, PoolWatch>::default();
    if limits.max_percent == 0 {
        return;
    }
    loop {
        let config = cx.config.current();
        let me = Some(&cx.settings.entry.name);
        watches.retain(|pool, _| cx.cluster.owner(pool).as_ref() == me);
        for pool in config.pools.keys().filter(|it| cx.cluster.owner(it).as_ref() == me) {
            let watch = watches.entry(pool.clone()).or_insert_with(|| PoolWatch::new(limits));
            look_at(&cx, &config, pool, watch).await;
        }
        sleep(look).await;
    }
}

async fn look_at(cx: &Rc<Cx>, config: &Rc<Configuration>, pool: &PoolName, watch: &mut PoolWatch) {
    let list = cx.health.list().filter(|it| cx.clock.now().since(it.at) <= FRESH_MS);
    let says = |host: &HostName| list.as_ref().map(|it| it.listed(host));
    let is_back =
        |it: &&Host| it.state == HostState::Absent && says(&it.name) == Some(Listed::Live);
    let back: Vec<Host> = config.hosts_of(pool).filter(is_back).cloned().collect();
    let probes = probe_returned(cx, back).await;
    let mut observations = Vec::new();
    for host in config.hosts_of(pool) {
        let work_health = match cx.health.is_failing(pool, &host.name) {
            true => WorkHealth::Failing,
            false => WorkHealth::Healthy,
        };
        let probe = probes.get(&host.name).copied();
        observations.push(HostObservation { host, listed: says(&host.name), work_health, probe });
    }
    match watch.next(&observations, cx.clock.now()) {
        Next::Keep => {}
        Next::Decide(decisions) => {
            let each = decisions.into_iter().map(|it| record(cx, config, it));
            join_all(each).await;
        }
        Next::Capped { .. } => cx.metrics.event("host_absences_capped"),
    }
}

/// Probes the absent hosts that the list calls live.
async fn probe_returned(cx: &Cx, back: Vec<Host>) -> FastMap<HostName, Probe> {
    let probes = probes::all(cx, &back).await;
    let answered = back.into_iter().zip(probes);
    answered.filter_map(|(host, probe)| Some((host.name, probe?))).collect()
}

async fn record(cx: &Cx, config: &Configuration, decision: Decision) {
    let Ok(who) = OperatorName::try_from(cx.settings.entry.name.as_str()) else { return };
    let Decision { host, reason, change } = decision;
    let proposal = Proposal {
        id: ChangeId(format!("{host}-{}-{:08x}", config.version, fastrand::u32(..))),
        who,
        intent: format!("host '{host}' {}", reason.as_str()),
        plan: None,
        basis: Basis::At(config.version),
        changes: vec![change],
    };
    match cx.config.propose(proposal, PATIENCE).await {
        Outcome::Accepted(_) | Outcome::Pending(..) => {
            cx.metrics.event(event(reason));
            log::warn!("host {host} {}", reason.as_str());
        }
        _ => cx.metrics.event("host_absences_not_written"),
    }
}

fn event(reason: Reason) -> &'static str {
    match reason {
        Reason::Leaving | Reason::Gone => "hosts_absent",
        Reason::Failing => "hosts_failing",
        Reason::Back => "hosts_back",
    }
}
