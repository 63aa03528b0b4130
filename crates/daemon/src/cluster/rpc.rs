//! The cluster's methods at the peer port.

use fuchsiamill_model::EntryName;
use fuchsiamill_peer::{CallReceiver, NoticeReceiver, Router, call_channel, notice_channel};
use fuchsiamill_policy::membership::{Ack, View, ViewId};
use serde::{Deserialize, Serialize};

/// A heartbeat; a notification.
pub const HEARTBEAT: &str = "hb";
/// Asks a host to promise a view.
pub const PROPOSE: &str = "view.propose";
/// Tells a host of an installed view; a notification.
pub const INSTALL: &str = "view.install";
/// Asks a host for its installed view.
pub const FETCH: &str = "view.fetch";

/// The answer to a proposal.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Promise {
    /// The host promises the view.
    Given {
        /// The promise.
        ack: Ack,
    },
    /// The host has promised a newer view.
    Refused {
        /// That view.
        promised: ViewId,
    },
}

/// Who asks for the installed view.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fetch {
    /// The asking host.
    pub from: EntryName,
}

/// The calls and notifications that the cluster task answers.
pub struct Inbox {
    /// Heartbeats.
    pub heartbeats: NoticeReceiver,
    /// Proposals.
    pub proposals: CallReceiver,
    /// Installed views.
    pub installs: NoticeReceiver,
    /// Requests for the installed view.
    pub fetches: CallReceiver,
}

impl Inbox {
    /// The receivers of methods routed through `router`.
    pub fn routed(router: &mut Router) -> Self {
        let (heartbeat_tx, heartbeats) = notice_channel();
        let (proposal_tx, proposals) = call_channel();
        let (install_tx, installs) = notice_channel();
        let (fetch_tx, fetches) = call_channel();
        router.route_notices(HEARTBEAT, heartbeat_tx);
        router.route(PROPOSE, proposal_tx);
        router.route_notices(INSTALL, install_tx);
        router.route(FETCH, fetch_tx);
        Self { heartbeats, proposals, installs, fetches }
    }
}

/// Reads a proposal or an installed view.
pub fn read_view(value: serde_json::Value) -> Option<View> {
    serde_json::from_value(value).ok()
}
