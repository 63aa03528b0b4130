//! What teams use of each pool and how near they come to their shares, as the pools' owners tell.

use std::collections::BTreeSet;

use fuchsiamill_model::{EntryName, PoolName};
use fuchsiamill_peer::Reply;
use fuchsiamill_policy::dispatch::LaneUse;
use tokio::sync::oneshot;

use super::{DispatchHandle, rpc::LANES, task::Command};
use crate::cx::Cx;

/// Who asked for the lanes of the pools that this host owns.
pub enum LanesTo {
    /// A task of this entry host.
    Local(oneshot::Sender<Vec<LaneUse>>),
    /// Another entry host.
    Peer(Reply),
}

impl LanesTo {
    pub(super) fn send(self, lanes: Vec<LaneUse>) {
        match self {
            LanesTo::Local(tx) => {
                let _ = tx.send(lanes);
            }
            LanesTo::Peer(reply) => reply.send(Ok(lanes)),
        }
    }
}

/// The lanes of a site's pools.
#[derive(Debug, Default)]
pub struct SiteLanes {
    /// What the owners told.
    pub lanes: Vec<LaneUse>,
    /// Pools whose owner did not answer.
    pub unheard: Vec<PoolName>,
}

impl DispatchHandle {
    /// The lanes of the pools that this host owns.
    pub async fn own_lanes(&self) -> Vec<LaneUse> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Command::Lanes { to: LanesTo::Local(tx) });
        rx.await.unwrap_or_default()
    }

    /// The lanes of every pool, from the pools' owners.
    pub async fn site_lanes(&self, cx: &Cx) -> SiteLanes {
        let config = cx.config.current();
        let owned = config.pools.keys().map(|pool| (pool.clone(), cx.cluster.owner(pool)));
        let owned: Vec<(PoolName, Option<EntryName>)> = owned.collect();
        let owners: BTreeSet<&EntryName> = owned.iter().filter_map(|(_, it)| it.as_ref()).collect();
        let asked = owners.iter().map(|owner| self.lanes_of(cx, owner));
        let told = futures_util::future::join_all(asked).await;
        let silent: BTreeSet<&EntryName> =
            owners.iter().zip(&told).filter(|(_, it)| it.is_none()).map(|(it, _)| *it).collect();
        let is_unheard =
            |owner: &Option<EntryName>| owner.as_ref().is_none_or(|it| silent.contains(it));
        let unheard = owned.iter().filter(|(_, owner)| is_unheard(owner));
        let unheard = unheard.map(|(pool, _)| pool.clone()).collect();
        let mut lanes: Vec<LaneUse> = told.into_iter().flatten().flatten().collect();
        lanes.sort_by(|a, b| (&a.pool, &a.lane).cmp(&(&b.pool, &b.lane)));
        SiteLanes { lanes, unheard }
    }

    async fn lanes_of(&self, cx: &Cx, owner: &EntryName) -> Option<Vec<LaneUse>> {
        if owner == cx.cluster.me() {
            return Some(self.own_lanes().await);
        }
        cx.cluster.call(owner, LANES, &()).await.ok()
    }
}
