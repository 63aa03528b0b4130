//! Why jobs wait, as the pool's owner knows.

use std::rc::Rc;

use fuchsiamill_model::{JobId, PoolName};
use fuchsiamill_peer::{CallReceiver, Failure};
use fuchsiamill_policy::jobs::WaitCause;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::{JobsHandle, owner::Event};
use crate::cx::Cx;

/// The call between entry hosts that asks why jobs wait.
pub(super) const WAITS: &str = "jobs/waits";

/// Asks why some jobs of a pool wait.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct AskWaits {
    pool: PoolName,
    jobs: Vec<JobId>,
}

impl JobsHandle {
    /// Why each of some jobs of a pool waits; `None` for one of which that cannot be told now.
    pub(super) async fn waits(
        &self,
        cx: &Cx,
        pool: &PoolName,
        jobs: Vec<JobId>,
    ) -> Vec<Option<WaitCause>> {
        let count = jobs.len();
        let Some(owner) = cx.cluster.owner(pool) else {
            return vec![Some(WaitCause::NoOwner); count];
        };
        let ask = AskWaits { pool: pool.clone(), jobs };
        let told = if &owner == cx.cluster.me() {
            self.waits_here(ask).await
        } else {
            cx.cluster.call(&owner, WAITS, &ask).await.ok()
        };
        told.filter(|it| it.len() == count).unwrap_or_else(|| vec![None; count])
    }

    async fn waits_here(&self, ask: AskWaits) -> Option<Vec<Option<WaitCause>>> {
        let (reply, answer) = oneshot::channel();
        let owner = self.owners.borrow().get(&ask.pool)?.clone();
        owner.send(Event::Waits { jobs: ask.jobs, reply }).ok()?;
        answer.await.ok()
    }
}

/// Answers the other entry hosts.
pub(super) async fn answer(cx: Rc<Cx>, mut rx: CallReceiver) {
    while let Some(call) = rx.recv().await {
        let Some((ask, reply)) = call.parse::<AskWaits>() else { continue };
        let cx = cx.clone();
        monoio::spawn(async move {
            let told = cx.jobs.waits_here(ask).await;
            let not_owner = "This entry host does not schedule the pool's jobs; ask its owner.";
            reply.send(told.ok_or_else(|| Failure::refused(not_owner)));
        });
    }
}
