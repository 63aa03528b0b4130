//! The configuration: proposed, written, spread, accepted and applied strictly in order.

mod appends;
mod limits;
mod reads;
mod spread;
mod store;
mod task;
mod wire;

use std::{cell::RefCell, rc::Rc, time::Duration};

use fuchsiamill_api::ConfigStatus;
use fuchsiamill_model::{Configuration, EntryName, Version};
use fuchsiamill_peer::{CallReceiver, NoticeReceiver, Router, call_channel, notice_channel};
use fuchsiamill_policy::config_log::{Conflict, Proposal};
use monoio::time::sleep;
use tokio::sync::{mpsc, oneshot, watch};

pub use appends::describe;

use crate::cx::Cx;
use task::{Message, Task};

const TICK: Duration = Duration::from_millis(50);

/// How a proposal ended, as far as this host knows when it answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force: no host serves by an older configuration.
    Accepted(Version),
    /// It is in the table and will be accepted; these hosts have not confirmed it yet.
    Pending(Version, Vec<EntryName>),
    /// The table's answer was lost. Proposing it again with the same id tells, and acts once.
    InDoubt(String),
    /// Another change stands in the way; nothing was written.
    Conflict(Conflict),
    /// The rules refuse it, with the reason and remedy; nothing was written.
    Refused(String),
    /// The table does not serve; nothing was written.
    Unavailable(String),
}

/// A handle to the configuration task.
pub struct ConfigHandle {
    current: watch::Sender<Rc<Configuration>>,
    accepted: watch::Sender<Version>,
    tx: mpsc::UnboundedSender<Message>,
    inputs: RefCell<Option<Inputs>>,
}

struct Inputs {
    rx: mpsc::UnboundedReceiver<Message>,
    entries: CallReceiver,
    version: CallReceiver,
    since: CallReceiver,
    seen: NoticeReceiver,
}

impl ConfigHandle {
    /// A handle whose task is not started yet.
    pub fn new(router: &mut Router) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut route = |method| {
            let (tx, rx) = call_channel();
            router.route(method, tx);
            rx
        };
        let (entries, version, since) =
            (route(wire::ENTRIES), route(wire::VERSION), route(wire::SINCE));
        let (seen_tx, seen) = notice_channel();
        router.route_notices(wire::SEEN, seen_tx);
        Self {
            current: watch::channel(Rc::default()).0,
            accepted: watch::channel(Version::default()).0,
            tx,
            inputs: RefCell::new(Some(Inputs { rx, entries, version, since, seen })),
        }
    }

    /// The configuration that is applied.
    pub fn current(&self) -> Rc<Configuration> {
        self.current.borrow().clone()
    }

    /// Follows the configuration.
    pub fn subscribe(&self) -> watch::Receiver<Rc<Configuration>> {
        self.current.subscribe()
    }

    /// The version that is applied.
    pub fn version(&self) -> Version {
        self.current.borrow().version
    }

    /// The newest accepted version that this host knows.
    pub fn accepted(&self) -> Version {
        *self.accepted.borrow()
    }

    /// Proposes changes; answers within about `patience`.
    pub async fn propose(&self, proposal: Proposal, patience: Duration) -> Outcome {
        let (reply, answer) = oneshot::channel();
        let _ = self.tx.send(Message::Propose { proposal, patience, reply });
        let ended = || Outcome::Unavailable("The entry host is shutting down; use another.".into());
        answer.await.unwrap_or_else(|_| ended())
    }

    /// Asks every entry host for its version.
    pub async fn status(&self) -> ConfigStatus {
        let (reply, answer) = oneshot::channel();
        let _ = self.tx.send(Message::Status(reply));
        answer.await.unwrap_or_default()
    }

    /// Starts the task.
    pub fn start(&self, cx: &Rc<Cx>) {
        let Some(inputs) = self.inputs.take() else { return };
        let tx = &self.tx;
        forward(inputs.entries, tx, Message::Entries);
        forward(inputs.version, tx, Message::Version);
        forward(inputs.since, tx, Message::Since);
        forward(inputs.seen, tx, Message::Seen);
        let ticks = tx.clone();
        monoio::spawn(async move {
            while ticks.send(Message::Tick).is_ok() {
                sleep(TICK).await;
            }
        });
        monoio::spawn(follow_newer(cx.clone(), tx.clone()));
        let task = Task::new(cx.clone(), tx.clone(), self.current.clone(), self.accepted.clone());
        monoio::spawn(task.run(inputs.rx));
    }
}

async fn follow_newer(cx: Rc<Cx>, tx: mpsc::UnboundedSender<Message>) {
    let mut newer = cx.cluster.follow_newer();
    while newer.changed().await.is_ok() {
        let told = newer.borrow_and_update().clone();
        if let Some((from, version)) = told {
            let _ = tx.send(Message::Heard(from, version));
        }
    }
}

fn forward<T: 'static>(
    mut rx: mpsc::UnboundedReceiver<T>,
    tx: &mpsc::UnboundedSender<Message>,
    wrap: fn(T) -> Message,
) {
    let tx = tx.clone();
    monoio::spawn(async move {
        while let Some(item) = rx.recv().await {
            let _ = tx.send(wrap(item));
        }
    });
}
