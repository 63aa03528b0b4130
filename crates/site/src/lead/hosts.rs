//! Calls to the service that has the hosts.

use std::{cell::Cell, rc::Rc, time::Duration};

use fuchsiamill_fleet::{
    HostSeen, Name,
    coordinator::{DutyReply, HostDuty},
};
use fuchsiamill_model::{FastSet, units::Moment};
use fuchsiamill_platform::{DutyAnswer, HostClient, HostList};
use monoio::time::sleep;

use super::event::{Event, Teller};
use crate::{clock::Clock, dependency::Dependency};

/// The pause between two reads of the list.
const LIST_PAUSE: Duration = Duration::from_millis(400);

/// What the service tells the coordinator.
#[derive(Debug)]
pub enum HostEvent {
    /// The list, asked for at this moment.
    Listed(Vec<HostSeen>, Moment),
    /// An order was answered.
    Answered(Name, HostDuty, DutyReply),
}

/// Reads the list of hosts again and again.
pub struct HostWatch {
    /// The service.
    pub hosts: Rc<HostClient>,
    /// The clock.
    pub clock: Clock,
    /// Where events go.
    pub teller: Teller,
    /// Whether this process still coordinates.
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
                    let hosts = known_hosts(list, &last);
                    last.clone_from(&hosts);
                    self.teller.tell(Event::Host(HostEvent::Listed(hosts, asked)));
                }
                Err(e) => health.failed(&e),
            }
            sleep(LIST_PAUSE).await;
        }
    }
}

/// The hosts in a list. One that is missing may be a row that cannot be read, and stays as it was last listed: it would be
/// taken as gone, and a wave as done with it.
fn known_hosts(list: HostList, last: &[HostSeen]) -> Vec<HostSeen> {
    let HostList { mut hosts, unreadable } = list;
    if unreadable > 0 {
        let listed: FastSet<Name> = hosts.iter().map(|it| it.host.clone()).collect();
        hosts.extend(last.iter().filter(|it| !listed.contains(&it.host)).cloned());
    }
    hosts
}

/// Gives an order to a host.
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
