//! The claims' method at the peer port.

use std::time::Duration;

use fuchsiamill_peer::{Failure, Reply, Router, call_channel};
use fuchsiamill_policy::claims::{ClaimId, ClaimKey};
use monoio::time::timeout;
use serde::{Deserialize, Serialize};

use super::{Claims, Seen};

/// Asks the holder of a claim for its end.
pub const ENDED: &str = "claims.ended";

/// How long the holder leaves a question open while the request runs.
const OPEN_TIME: Duration = Duration::from_millis(600);

/// The claim whose end is asked for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AskEnd {
    /// Its row.
    pub key: ClaimKey,
    /// The claim.
    pub id: ClaimId,
}

impl Claims {
    /// Answers the questions of other entry hosts.
    pub fn route(&self, router: &mut Router) {
        let (tx, mut rx) = call_channel();
        router.route(ENDED, tx);
        let claims = self.clone();
        monoio::spawn(async move {
            while let Some(call) = rx.recv().await {
                if let Some((ask, reply)) = call.parse::<AskEnd>() {
                    monoio::spawn(claims.clone().tell(ask, reply));
                }
            }
        });
    }

    async fn tell(self, ask: AskEnd, reply: Reply) {
        let seen = match timeout(OPEN_TIME, self.ended(ask.key, ask.id)).await {
            Ok(Some(seen)) => Ok(seen),
            Ok(None) => Err(Failure::refused("Too many repeats wait here; read the claim's row.")),
            Err(_) => Ok(Seen::Running),
        };
        reply.send(seen);
    }
}
