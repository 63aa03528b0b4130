//! Jobs: accepted by any entry host, scheduled by the owner of their pool.

mod api;
mod commit;
mod held;
mod intake;
mod owner;
mod purge;
pub mod rpc;
mod rows;
mod syncs;
mod takeover;
mod tenure;
mod waits;

use std::{cell::RefCell, rc::Rc, time::Duration};

use fuchsiamill_model::{FastMap, JobId, PoolName, Problem, ProblemKind};
use fuchsiamill_peer::{CallReceiver, NoticeReceiver, Router, call_channel, notice_channel};
use fuchsiamill_policy::jobs::JobRow;
use monoio::time::sleep;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::cx::Cx;
use intake::{Canceller, Intake, Request};
use owner::{Event, PoolOwner};

pub use api::{before_look_up, is_jobs_path, serve};

/// How often new pools are looked for.
const POOLS_PERIOD: Duration = Duration::from_millis(500);

/// The notice between entry hosts that rows of jobs changed.
const CHANGED: &str = "jobs/changed";

type Result<T> = std::result::Result<T, Problem>;

struct Inputs {
    requests: mpsc::UnboundedReceiver<Request>,
    notices: NoticeReceiver,
    held: CallReceiver,
    waits: CallReceiver,
}

/// A handle to the tasks of jobs.
pub struct JobsHandle {
    tx: mpsc::UnboundedSender<Request>,
    rx: RefCell<Option<Inputs>>,
    owners: RefCell<FastMap<PoolName, mpsc::UnboundedSender<Event>>>,
}

impl JobsHandle {
    /// A handle whose tasks are not started yet.
    pub fn new(router: &mut Router) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let (notice_tx, notice_rx) = notice_channel();
        router.route_notices(CHANGED, notice_tx);
        let (held_tx, held) = call_channel();
        router.route(held::HELD, held_tx);
        let (waits_tx, waits) = call_channel();
        router.route(waits::WAITS, waits_tx);
        let inputs = Inputs { requests: rx, notices: notice_rx, held, waits };
        let rx = RefCell::new(Some(inputs));
        Self { tx, rx, owners: RefCell::default() }
    }

    /// Starts the tasks.
    pub fn start(&self, cx: &Rc<Cx>) {
        if let Some(Inputs { requests, notices, held, waits }) = self.rx.borrow_mut().take() {
            monoio::spawn(Intake::new(cx.clone(), requests).run());
            monoio::spawn(take_notices(cx.clone(), notices));
            monoio::spawn(held::answer(cx.clone(), held));
            monoio::spawn(waits::answer(cx.clone(), waits));
        }
        let cx = cx.clone();
        monoio::spawn(async move {
            loop {
                cx.jobs.start_owners(&cx);
                sleep(POOLS_PERIOD).await;
            }
        });
    }

    /// Keeps a job, unless there is a refusal; gives it back as it is when it was accepted before.
    async fn accept(
        &self,
        row: JobRow,
        request: String,
        refusal: Option<Problem>,
    ) -> Result<JobRow> {
        let (reply, answer) = oneshot::channel();
        let row = Box::new(row);
        self.ask(Request::Accept { row, request, refusal, reply }, answer).await
    }

    /// Cancels a job, or asks for that when it runs.
    async fn cancel(&self, job: JobId, by: Canceller) -> Result<JobRow> {
        let (reply, answer) = oneshot::channel();
        self.ask(Request::Cancel { job, by, reply }, answer).await
    }

    async fn ask(
        &self,
        request: Request,
        answer: oneshot::Receiver<Result<JobRow>>,
    ) -> Result<JobRow> {
        let gone = || Problem::unknown(ProblemKind::ShuttingDown, "This entry host shuts down.");
        self.tx.send(request).map_err(|_| gone())?;
        answer.await.map_err(|_| gone())?
    }

    /// Tells the owner of a pool that rows of jobs changed. A lost notice costs time until the next rescan.
    fn tell_owner(&self, cx: &Cx, pool: &PoolName, jobs: Vec<JobId>) {
        match cx.cluster.owner(pool) {
            Some(owner) if &owner != cx.cluster.me() => {
                cx.cluster.notify(&owner, CHANGED, &Changed { pool: pool.clone(), jobs });
            }
            _ => self.tell_local_owner(pool, jobs),
        }
    }

    fn tell_local_owner(&self, pool: &PoolName, jobs: Vec<JobId>) {
        if let Some(owner) = self.owners.borrow().get(pool) {
            let _ = owner.send(Event::Changed(jobs));
        }
    }

    fn start_owners(&self, cx: &Rc<Cx>) {
        let config = cx.config.current();
        let mut owners = self.owners.borrow_mut();
        for pool in config.pools.keys() {
            if !owners.contains_key(pool) {
                let (tx, rx) = mpsc::unbounded_channel();
                owners.insert(pool.clone(), tx.clone());
                monoio::spawn(PoolOwner::new(cx.clone(), pool.clone(), tx, rx).run());
            }
        }
    }
}

/// Tells that rows of jobs changed.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Changed {
    pool: PoolName,
    jobs: Vec<JobId>,
}

async fn take_notices(cx: Rc<Cx>, mut notices: NoticeReceiver) {
    while let Some(notice) = notices.recv().await {
        if let Ok(changed) = serde_json::from_value::<Changed>(notice) {
            cx.jobs.tell_local_owner(&changed.pool, changed.jobs);
        }
    }
}
