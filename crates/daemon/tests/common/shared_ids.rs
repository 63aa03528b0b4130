//! Client accounts that post, ask for and cancel jobs under one id, and checks of what each of them is told.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use fastrand::Rng;
use fuchsiamill_daemon::run::block_on;
use fuchsiamill_http::{Connection, Request, Response};
use futures_util::future::join_all;
use http::{HeaderName, HeaderValue, Method};
use monoio::time::sleep;
use serde_json::Value;

use super::{
    PATIENCE,
    fleet::{Fleet, KEY, OPEN_PREFIX, OTHER_KEY, job},
    net,
};

/// A client account: the queue it uses and its key, which is empty for callers without one.
pub struct Account {
    pub prefix: &'static str,
    pub key: &'static str,
}

/// Accounts of two teams, and callers of the open queue.
pub const ACCOUNTS: [Account; 3] = [
    Account { prefix: "/jobs/", key: KEY },
    Account { prefix: "/south/", key: OTHER_KEY },
    Account { prefix: OPEN_PREFIX, key: "" },
];

/// The queues that a site needs beside `/jobs/`.
pub const PREFIXES: [&str; 2] = [ACCOUNTS[1].prefix, ACCOUNTS[2].prefix];

/// Makes the generator of a seed's rounds.
const SHARED_SEED: u64 = 0x7368_6172;

/// Calls of one round, and when they are sent: some at the same moment, some after the job's end.
const CALLS: std::ops::Range<usize> = 3..8;
const SLOTS: std::ops::Range<u64> = 0..12;
const SLOT_MS: u64 = 50;

/// How long a caller waits for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(3_500);

/// The longest pause between two rounds of a soak.
const PAUSE_MS: u64 = 300;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    Post,
    Get,
    Cancel,
}

/// A call of an account, and how it was answered.
#[derive(Debug)]
struct SharedCall {
    account: usize,
    act: Act,
    sent: Instant,
    answered: Instant,
    /// The status and the state that was told, if an answer came.
    told: Option<(u16, Option<String>)>,
}

/// The calls that concern one id.
#[derive(Debug)]
pub struct Round {
    pub id: String,
    /// How long the tasks of each account's job run; different for all of them.
    ms: [u64; ACCOUNTS.len()],
    tasks: [u32; ACCOUNTS.len()],
    calls: Vec<SharedCall>,
}

/// Plays one round.
pub async fn play(rng: &mut Rng, fronts: &[SocketAddr]) -> Round {
    let id = format!("{:016x}", rng.u64(..));
    let ms = [0, 1, 2].map(|it| rng.u64(5..40) * ACCOUNTS.len() as u64 + it);
    let tasks = [0; ACCOUNTS.len()].map(|_| rng.u32(1..4));
    let mut calls = vec![(Act::Post, rng.usize(0..ACCOUNTS.len()), rng.u64(SLOTS))];
    for _ in 1..rng.usize(CALLS) {
        let act = *rng.choice(&[Act::Post, Act::Post, Act::Get, Act::Cancel]).expect("an act");
        calls.push((act, rng.usize(0..ACCOUNTS.len()), rng.u64(SLOTS)));
    }
    let calls = calls.into_iter().map(|(act, account, slot)| {
        let front = fronts[rng.usize(0..fronts.len())];
        let body = (act == Act::Post).then(|| job(ms[account], &[tasks[account]]));
        let id = &id;
        async move {
            sleep(Duration::from_millis(slot * SLOT_MS)).await;
            call(front, act, account, id, body.as_ref()).await
        }
    });
    let calls = join_all(calls.collect::<Vec<_>>()).await;
    Round { id, ms, tasks, calls }
}

async fn call(
    front: SocketAddr,
    act: Act,
    account: usize,
    id: &str,
    body: Option<&Value>,
) -> SharedCall {
    let Account { prefix, key } = ACCOUNTS[account];
    let method = match act {
        Act::Post => Method::POST,
        Act::Get => Method::GET,
        Act::Cancel => Method::DELETE,
    };
    let body = body.map(Value::to_string).unwrap_or_default();
    let mut request = Request { method, ..Request::post(format!("{prefix}{id}"), body) };
    if !key.is_empty() {
        let name = HeaderName::from_static("x-api-key");
        request = request.header(name, HeaderValue::from_static(key));
    }
    let sent = Instant::now();
    let answer = async {
        let mut connection = Connection::connect(front, net::large_bounds(), ANSWER_TIME).await?;
        connection.exchange(request, monoio::time::Instant::now() + ANSWER_TIME).await
    };
    let told = answer.await.ok().map(|it| (it.status.as_u16(), state_of(&it)));
    SharedCall { account, act, sent, answered: Instant::now(), told }
}

fn state_of(answer: &Response) -> Option<String> {
    let value: Value = serde_json::from_slice(&answer.body).ok()?;
    value["state"].as_str().map(str::to_owned)
}

impl SharedCall {
    fn is_success(&self) -> bool {
        self.told.as_ref().is_some_and(|it| (200..300).contains(&it.0))
    }

    /// Whether it is certain that a post was not accepted.
    fn is_refused(&self) -> bool {
        self.told.as_ref().is_some_and(|it| matches!(it.0, 400..=429 | 503))
    }
}

impl Round {
    fn calls_of(&self, account: usize, act: Act) -> impl Iterator<Item = &SharedCall> {
        self.calls.iter().filter(move |it| it.account == account && it.act == act)
    }

    /// When an account was first told that its job is accepted.
    fn accepted(&self, account: usize) -> Option<Instant> {
        let posts = self.calls_of(account, Act::Post).filter(|it| it.is_success());
        posts.map(|it| it.answered).min()
    }

    /// The account whose job must be completed: it was accepted and its owner has not cancelled it.
    fn owner_of_kept(&self) -> Option<usize> {
        (0..ACCOUNTS.len()).find(|it| {
            self.accepted(*it).is_some() && self.calls_of(*it, Act::Cancel).next().is_none()
        })
    }

    /// What is wrong by the answers alone.
    fn broken_answers(&self) -> Vec<String> {
        let mut broken = Vec::new();
        if (0..ACCOUNTS.len()).filter(|it| self.accepted(*it).is_some()).count() > 1 {
            broken.push("accepted for two accounts".to_owned());
        }
        for it in self.calls.iter().filter(|it| it.act != Act::Post && it.told.is_some()) {
            let mut posts = self.calls_of(it.account, Act::Post);
            let may_be_own = posts.any(|post| post.sent < it.answered && !post.is_refused());
            if !may_be_own && it.is_success() {
                broken.push(format!("job of somebody else: {it:?}"));
            }
        }
        for account in 0..ACCOUNTS.len() {
            let Some(accepted) = self.accepted(account) else { continue };
            let is_kept = self.owner_of_kept() == Some(account);
            for it in self.calls_of(account, Act::Get).filter(|it| it.sent > accepted) {
                match &it.told {
                    Some((410, _)) => broken.push(format!("unknown after acceptance: {it:?}")),
                    Some((_, Some(state))) if is_kept && is_unwanted(state) => {
                        broken.push(format!("{state} without cause: {it:?}"));
                    }
                    _ => {}
                }
            }
        }
        broken
    }

    /// What is wrong by the runs that its workers were ordered, once everything is over.
    fn broken_runs(&self, fleet: &Fleet) -> Vec<String> {
        let world = fleet.site.world();
        let payload = |account: usize| format!("ms={}", self.ms[account]);
        let mut allowed: Vec<String> = Vec::new();
        for account in 0..ACCOUNTS.len() {
            if self.calls_of(account, Act::Post).any(|it| !it.is_refused()) {
                allowed.push(payload(account));
            }
        }
        if let Some(it) = (0..ACCOUNTS.len()).find(|it| self.accepted(*it).is_some()) {
            allowed = vec![payload(it)];
        }
        let runs = world.runs.iter().filter(|it| it.task.starts_with(&self.id));
        let wrong = runs.filter(|it| !allowed.contains(&it.payload));
        let mut broken: Vec<String> = wrong
            .map(|it| format!("{} run {} with {}, not {allowed:?}", it.task, it.run, it.payload))
            .collect();
        if let Some(it) = self.owner_of_kept() {
            let (done, tasks) = (world.done_tasks(&self.id), self.tasks[it]);
            if done != tasks as usize {
                broken.push(format!("{done} of {tasks} tasks done"));
            }
        }
        broken
    }

    /// Waits until the job is over if it must be completed; returns what is wrong with what its owner and the others are told.
    fn broken_end(&self, fleet: &Fleet) -> Option<String> {
        let owner = self.owner_of_kept()?;
        let until = Instant::now() + PATIENCE;
        loop {
            let told = ask(fleet, owner, &self.id);
            match &told {
                Some((200, Some(state))) if state == "completed" => break,
                Some((410, _)) => return Some("gone at the end".to_owned()),
                Some((_, Some(state))) if is_unwanted(state) => {
                    return Some(format!("{state} without cause at the end"));
                }
                _ if Instant::now() > until => return Some(format!("at the end: {told:?}")),
                _ => thread::sleep(Duration::from_millis(20)),
            }
        }
        let others = (0..ACCOUNTS.len()).filter(|it| *it != owner);
        let mut told = others.map(|it| ask(fleet, it, &self.id));
        told.find(|it| !matches!(it, Some((410, None)))).map(|it| format!("others see {it:?}"))
    }

    /// Returns calls that were not answered, and calls for jobs of others that were not answered with 410: nothing else is
    /// expected where there are no faults.
    pub fn odd_calls(&self) -> Vec<String> {
        let is_odd = |it: &&SharedCall| match (&it.told, it.act) {
            (None, _) => true,
            (Some((status, _)), Act::Post) => !matches!(status, 200 | 409),
            (Some((status, _)), _) => !matches!(status, 200 | 410),
        };
        self.calls.iter().filter(is_odd).map(|it| format!("{}: {it:?}", self.id)).collect()
    }
}

/// Whether a state must not be told of a job that nobody cancelled.
fn is_unwanted(state: &str) -> bool {
    state == "cancelled" || state == "failed"
}

fn ask(fleet: &Fleet, account: usize, id: &str) -> Option<(u16, Option<String>)> {
    let entry = &fleet.entries[fastrand::usize(0..fleet.entries.len())];
    let Account { prefix, key } = ACCOUNTS[account];
    let answer = entry.send_to(Method::GET, &format!("{prefix}{id}"), None, key)?;
    Some((answer.status.as_u16(), state_of(&answer)))
}

/// Checks what each account was told and what ran, now that nothing is in the way.
pub fn check(fleet: &Fleet, rounds: &[Round]) {
    let mut broken = Vec::new();
    for it in rounds {
        let mut found = it.broken_answers();
        found.extend(it.broken_end(fleet));
        found.extend(it.broken_runs(fleet));
        if let Some(first) = found.first().filter(|_| broken.is_empty()) {
            eprintln!("{first}: {it:#?}");
            fleet.print_story(&format!("{}.0.0.0", it.id));
        }
        broken.extend(found.into_iter().map(|found| format!("{}: {found}", it.id)));
    }
    assert!(broken.is_empty(), "ids of several accounts: {broken:#?}");
    let kept = rounds.iter().filter(|it| it.owner_of_kept().is_some()).count();
    println!("{} shared ids, {kept} of their jobs completed", rounds.len());
}

/// Accounts that use each other's ids during a soak.
pub struct SharedIds {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Round>>>,
}

impl SharedIds {
    pub fn start(count: u64, fronts: &[SocketAddr], seed: u64) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let start = |number: u64| {
            let (is_over, fronts) = (is_over.clone(), fronts.to_vec());
            let mut rng = Rng::with_seed(seed ^ SHARED_SEED ^ number);
            thread::spawn(move || {
                block_on(async move {
                    let mut rounds = Vec::new();
                    while !is_over.load(Ordering::Relaxed) {
                        rounds.push(play(&mut rng, &fronts).await);
                        sleep(Duration::from_millis(rng.u64(0..PAUSE_MS))).await;
                    }
                    rounds
                })
            })
        };
        let threads = (0..count).map(start).collect();
        Self { is_over, threads }
    }

    pub fn finish(self) -> Vec<Round> {
        self.is_over.store(true, Ordering::Relaxed);
        self.threads.into_iter().flat_map(|it| it.join().expect("an account ends")).collect()
    }
}
