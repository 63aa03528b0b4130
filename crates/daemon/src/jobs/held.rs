//! How many jobs hold hosts of a pool, as the pool's owner knows.

use std::rc::Rc;

use fuchsiamill_model::{HostName, PoolName};
use fuchsiamill_peer::{CallReceiver, Failure};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::{JobsHandle, owner::Event};
use crate::cx::Cx;

/// The call between entry hosts that asks how many jobs hold hosts.
pub(super) const HELD: &str = "jobs/held";

/// Asks how many jobs hold each of some hosts of a pool.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct AskHeld {
    pool: PoolName,
    hosts: Vec<HostName>,
}

impl JobsHandle {
    /// How many jobs hold each of some hosts of a pool; `None` while no owner can tell.
    pub async fn held(&self, cx: &Cx, pool: &PoolName, hosts: Vec<HostName>) -> Option<Vec<u32>> {
        let owner = cx.cluster.owner(pool)?;
        let ask = AskHeld { pool: pool.clone(), hosts };
        if &owner == cx.cluster.me() {
            return self.held_here(ask).await;
        }
        cx.cluster.call(&owner, HELD, &ask).await.ok()
    }

    async fn held_here(&self, ask: AskHeld) -> Option<Vec<u32>> {
        let (reply, answer) = oneshot::channel();
        let owner = self.owners.borrow().get(&ask.pool)?.clone();
        owner.send(Event::Held { hosts: ask.hosts, reply }).ok()?;
        answer.await.ok()
    }
}

/// Answers the other entry hosts.
pub(super) async fn answer(cx: Rc<Cx>, mut rx: CallReceiver) {
    while let Some(call) = rx.recv().await {
        let Some((ask, reply)) = call.parse::<AskHeld>() else { continue };
        let cx = cx.clone();
        monoio::spawn(async move {
            let held = cx.jobs.held_here(ask).await;
            let not_owner = "This entry host does not schedule the pool's jobs; ask its owner.";
            reply.send(held.ok_or_else(|| Failure::refused(not_owner)));
        });
    }
}
