//! Calls to the hosts service, which lists, moves and maintains hosts.

use std::{cell::Cell, rc::Rc, time::Duration};

use fuchsiamill_fleet::{
    HostInfo, HostListing, Name,
    coordinator::{DutyReply, HostDuty},
};
use fuchsiamill_model::{FastMap, FastSet};
use fuchsiamill_platform::{DutyAnswer, HostClient, HostList};
use monoio::time::sleep;

use super::event::{Event, EventSender};
use crate::{clock::Clock, dependency::Dependency};

/// The pause between two reads of the list of hosts.
const LIST_PAUSE: Duration = Duration::from_millis(400);

/// News from the hosts service.
#[derive(Debug)]
pub enum HostEvent {
    /// The list of hosts.
    Listed(HostListing),
    /// The list of hosts could not be read.
    NotListed,
    /// The outcome of an order to a host.
    Answered(Name, HostDuty, DutyReply),
}

/// Reads the list of hosts periodically.
pub struct HostWatch {
    pub hosts: Rc<HostClient>,
    pub clock: Clock,
    pub event_sender: EventSender,
    pub is_leading: Rc<Cell<bool>>,
}

impl HostWatch {
    /// Runs until this process no longer coordinates.
    pub async fn run(self) {
        let health = Dependency::new("hosts");
        let mut last = Vec::new();
        while self.is_leading.get() {
            let asked = self.clock.now();
            match self.hosts.list().await {
                Ok(list) => {
                    health.answered();
                    let is_whole = list.unreadable == 0;
                    let hosts = known_hosts(list, &last);
                    log_changes(&last, &hosts);
                    last.clone_from(&hosts);
                    let listing = HostListing { hosts, is_whole, asked };
                    self.event_sender.send(Event::Host(HostEvent::Listed(listing)));
                }
                Err(e) => {
                    health.failed(&e);
                    self.event_sender.send(Event::Host(HostEvent::NotListed));
                }
            }
            sleep(LIST_PAUSE).await;
        }
    }
}

/// Returns the hosts of a list. If the list has unreadable rows, a missing host may be one of them, so it stays as it
/// was last listed. Otherwise the coordinator would take it as removed, and a maintenance wave as done with it.
fn known_hosts(list: HostList, last: &[HostInfo]) -> Vec<HostInfo> {
    let HostList { mut hosts, unreadable } = list;
    if unreadable > 0 {
        let listed: FastSet<Name> = hosts.iter().map(|it| it.host.clone()).collect();
        hosts.extend(last.iter().filter(|it| !listed.contains(&it.host)).cloned());
    }
    hosts
}

/// Logs which hosts have another state or worker than in the former list, and which are new. The first list is not logged.
fn log_changes(before: &[HostInfo], listed: &[HostInfo]) {
    if before.is_empty() {
        return;
    }
    let before: FastMap<&Name, &HostInfo> = before.iter().map(|it| (&it.host, it)).collect();
    for now in listed {
        let Some(then) = before.get(&now.host) else {
            let (host, pool, state) = (&now.host, &now.pool, now.state);
            tracing::info!(event = "host-listed", %host, %pool, state = ?state);
            continue;
        };
        if then.state != now.state || then.worker != now.worker {
            let (host, state) = (&now.host, now.state);
            let (worker, former) = (now.worker.as_deref(), then.worker.as_deref());
            tracing::info!(event = "host-changed", %host, state = ?state, worker, former);
        }
    }
}

/// Sends an order for a host to the hosts service, with the coordinator's fencing token.
pub async fn order(hosts: &HostClient, host: Name, duty: HostDuty, fence: u64) -> HostEvent {
    let answer = match &duty {
        HostDuty::Move { pool } => hosts.move_to(&host, pool, fence).await,
        HostDuty::Maintain { wave } => hosts.maintain(&host, *wave, fence).await,
    };
    let reply = match answer {
        Ok(DutyAnswer::Done) => DutyReply::Done,
        Ok(DutyAnswer::Refused(reason)) => {
            tracing::warn!(event = "host-refused", %host, duty = ?duty, %reason);
            DutyReply::Refused
        }
        Err(e) => {
            tracing::warn!(event = "host-order-failed", %host, duty = ?duty, error = %e);
            DutyReply::Unknown
        }
    };
    HostEvent::Answered(host, duty, reply)
}
