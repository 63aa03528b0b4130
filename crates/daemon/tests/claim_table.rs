//! Claims of two entry hosts over a table that is down, silent or loses answers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use fuchsiamill_daemon::{
    Clock,
    claims::{Claimed, Claims, Config, Wanted, start, sweep},
};
use fuchsiamill_http::{Bounds as HttpBounds, JsonClient, Response};
use fuchsiamill_model::{Incarnation, ProblemKind, RunState, ServiceName, TeamName, WallTime};
use fuchsiamill_policy::claims::{
    Bounds, Claim, ClaimKey, Held, IdempotencyKey, RETENTION, RequestDigest, Scope,
};
use fuchsiamill_ports::{Commit, ObjectClient, Row, Table, TableClient};
use fuchsiamill_standin::{admin::PlatformFault, platform, record::PlatformRecord, run::block_on};
use http::StatusCode;
use serde_json::json;

const CALL_TIME: Duration = Duration::from_millis(200);
const PATIENCE_MS: u64 = 1_500;

struct Site {
    platform: SocketAddr,
    admin: JsonClient,
    clock: Clock,
}

impl Site {
    fn start() -> Self {
        let platform = platform::start("127.0.0.1:0".parse().unwrap()).unwrap();
        let admin = JsonClient::new(platform, HttpBounds::default(), Duration::from_secs(10));
        Self { platform, admin, clock: Clock::start() }
    }

    fn claims(&self, entry: &str) -> Claims {
        let cfg = Config {
            entry: Incarnation::try_from(entry).unwrap(),
            bounds: Bounds {
                writes_per_second: 100,
                burst: 100,
                rows_per_write: 256,
                waiting: 1_024,
                remembered: 64,
            },
            clock: self.clock,
            rng: fastrand::Rng::with_seed(1),
        };
        let table = Rc::new(TableClient::new(self.platform, CALL_TIME));
        start(cfg, table, Rc::new(ObjectClient::new(self.platform, CALL_TIME)))
    }

    async fn fault(&self, fault: PlatformFault) {
        self.admin.post::<_, ()>("/admin/fault", &fault).await.unwrap();
    }

    async fn record(&self) -> PlatformRecord {
        self.admin.get("/admin/record").await.unwrap()
    }

    async fn rows(&self, start: &str) -> Vec<Row> {
        let range = json!({"start": start, "end": format!("{start}~"), "limit": 1000});
        self.admin.post("/admin/rows", &range).await.unwrap()
    }

    async fn claim(&self, claims: &Claims, key: &str, body: &str) -> Claimed {
        let scope = Scope::Team(TeamName::try_from("rota").unwrap());
        let wanted = Wanted {
            key: ClaimKey::new(&scope, &IdempotencyKey::try_from(key).unwrap()),
            request: RequestDigest::of(
                &ServiceName::try_from("swaps").unwrap(),
                b"text/plain",
                body.as_bytes(),
            ),
            deadline: WallTime(self.clock.wall().0 + 10_000),
            give_up: self.clock.now() + PATIENCE_MS,
        };
        claims.claim(wanted, self.clock.wall()).await
    }
}

fn held(claimed: Claimed) -> Claim<Held> {
    match claimed {
        Claimed::Held(claim) => *claim,
        other => panic!("the claim should be held: {other:?}"),
    }
}

fn refused(claimed: Claimed) -> (ProblemKind, RunState) {
    match claimed {
        Claimed::Refused(problem) => (problem.kind, problem.run),
        other => panic!("the claim should be refused: {other:?}"),
    }
}

fn replayed(claimed: Claimed) -> Response {
    match claimed {
        Claimed::Replay(response) => response,
        other => panic!("the answer should be given again: {other:?}"),
    }
}

#[test]
fn a_repeat_through_another_host_gets_the_answer_again() {
    block_on(async {
        let site = Site::start();
        let (a, b) = (site.claims("a-1"), site.claims("b-1"));
        let small = Response::text(StatusCode::CREATED, "swapped");
        let binary = Response::text(StatusCode::OK, "x");
        let binary = Response { body: vec![0xff, 0, 7].into(), ..binary };
        let large = Response::text(StatusCode::OK, "y".repeat(100_000));
        for (key, answer) in [("k1", small), ("k2", binary), ("k3", large)] {
            let claim = held(site.claim(&a, key, "monday").await);
            assert_eq!(
                refused(site.claim(&b, key, "monday").await),
                (ProblemKind::DuplicateRequest, RunState::Unknown)
            );
            a.answered(claim.send(), &answer);
            a.settle().await;
            for host in [&a, &b] {
                let again = replayed(site.claim(host, key, "monday").await);
                assert_eq!((again.status, &again.body), (answer.status, &answer.body));
                assert_eq!(again.headers, answer.headers);
            }
            assert_eq!(
                refused(site.claim(&b, key, "tuesday").await),
                (ProblemKind::IdempotencyKeyReused, RunState::Unknown)
            );
        }
    });
}

#[test]
fn one_of_many_hosts_holds_a_key() {
    block_on(async {
        let site = Site::start();
        let hosts: Vec<Claims> = (0..8).map(|it| site.claims(&format!("e{it}-1"))).collect();
        for key in 0..20 {
            let key = format!("key-{key}");
            let claimed =
                futures_util::future::join_all(hosts.iter().map(|it| site.claim(it, &key, "x")))
                    .await;
            let held = claimed.iter().filter(|it| matches!(it, Claimed::Held(_))).count();
            assert_eq!(held, 1, "key {key} is held by {held} hosts: {claimed:?}");
        }
    });
}

#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    block_on(async {
        let site = Site::start();
        let (a, b) = (site.claims("a-1"), site.claims("b-1"));
        site.fault(PlatformFault::LoseAnswers { count: 1 }).await;
        let claim = held(site.claim(&a, "k", "x").await);
        assert_eq!(site.record().await.answers_lost, 1);
        assert_eq!(
            refused(site.claim(&b, "k", "x").await),
            (ProblemKind::DuplicateRequest, RunState::Unknown)
        );
        drop(claim);
    });
}

#[test]
fn an_outage_refuses_and_never_says_not_run() {
    block_on(async {
        let site = Site::start();
        let (a, b) = (site.claims("a-1"), site.claims("b-1"));
        let claim = held(site.claim(&a, "k", "x").await);
        a.answered(claim.send(), &Response::text(StatusCode::OK, "done"));
        a.settle().await;
        for fault in [PlatformFault::Down, PlatformFault::Silent] {
            site.fault(fault).await;
            let unavailable = (ProblemKind::StoreUnavailable, RunState::Unknown);
            assert_eq!(refused(site.claim(&b, "k", "x").await), unavailable);
            assert_eq!(refused(site.claim(&b, "new", "x").await), unavailable);
            assert_eq!(replayed(site.claim(&a, "k", "x").await).body, "done");
        }
        site.fault(PlatformFault::None).await;
        assert_eq!(replayed(site.claim(&b, "k", "x").await).body, "done");
    });
}

#[test]
fn a_claim_given_up_in_an_outage_is_withdrawn_after_it() {
    block_on(async {
        let site = Site::start();
        let (a, b) = (site.claims("a-1"), site.claims("b-1"));
        // The first write takes effect and its answer is lost; then the table falls silent.
        site.fault(PlatformFault::LoseAnswers { count: 1 }).await;
        let silence = async {
            while site.record().await.answers_lost == 0 {
                monoio::time::sleep(Duration::from_millis(2)).await;
            }
            site.fault(PlatformFault::Silent).await;
        };
        let claim = site.claim(&a, "k", "x");
        let (claimed, ()) = futures_util::future::join(claim, silence).await;
        let unavailable = (ProblemKind::StoreUnavailable, RunState::Unknown);
        assert_eq!(refused(claimed), unavailable);
        assert_eq!(site.rows("claim/").await.len(), 1, "the first write took effect");
        site.fault(PlatformFault::None).await;
        a.settle().await;
        held(site.claim(&b, "k", "x").await);
    });
}

#[test]
fn a_released_claim_may_run_through_another_host() {
    block_on(async {
        let site = Site::start();
        let (a, b) = (site.claims("a-1"), site.claims("b-1"));
        let claim = held(site.claim(&a, "k", "x").await);
        a.release(claim);
        a.settle().await;
        held(site.claim(&b, "k", "x").await);
    });
}

#[test]
fn a_claim_of_a_dead_host_is_never_taken_over() {
    block_on(async {
        let site = Site::start();
        let a = site.claims("a-1");
        let claim = held(site.claim(&a, "k", "x").await).send();
        drop((claim, a));
        let restarted = site.claims("a-2");
        assert_eq!(
            refused(site.claim(&restarted, "k", "x").await),
            (ProblemKind::DuplicateRequest, RunState::Unknown)
        );
    });
}

#[test]
fn the_sweep_removes_only_what_is_past_its_retention() {
    block_on(async {
        let site = Site::start();
        let a = site.claims("a-1");
        let claim = held(site.claim(&a, "old", "x").await);
        a.release(claim);
        a.settle().await;
        held(site.claim(&site.claims("b-1"), "old", "x").await);
        held(site.claim(&site.claims("c-1"), "other", "x").await);
        let table = TableClient::new(site.platform, CALL_TIME);
        let objects = ObjectClient::new(site.platform, CALL_TIME);
        let old_key = &site.rows("claim/").await[0].key;
        let stale = json!({"claims": [[old_key, "an-earlier-claim"]]});
        let commit = Commit::default().put("claim-index/0000000001/x/1", &stale);
        table.commit(&commit).await.unwrap();
        assert_eq!(sweep(&table, &objects, site.clock.wall()).await.unwrap(), 0);
        assert!(site.rows("claim-index/0000000001").await.is_empty(), "the stale index row went");
        assert_eq!(site.rows("claim/").await.len(), 2);
        let later = WallTime(site.clock.wall().0 + RETENTION + 2 * 3_600_000);
        assert_eq!(sweep(&table, &objects, later).await.unwrap(), 2);
        assert_eq!(site.rows("claim").await.len(), 0);
    });
}

#[test]
fn answers_in_the_object_store_go_with_their_claims() {
    block_on(async {
        let site = Site::start();
        let a = site.claims("a-1");
        let answered = held(site.claim(&a, "answered", "x").await).send();
        let name = answered.id().answer_object();
        a.answered(answered, &Response::text(StatusCode::OK, "y".repeat(100_000)));
        a.settle().await;
        let died = held(site.claim(&a, "died", "x").await).send();
        let orphan = died.id().answer_object();
        let objects = ObjectClient::new(site.platform, CALL_TIME);
        objects.put(&orphan, &"written before its host died").await.unwrap();
        let kept = async |name: &str| objects.get::<String>(name).await.unwrap().is_some();
        assert!(kept(&name).await && kept(&orphan).await);
        drop((a, died));
        let table = TableClient::new(site.platform, CALL_TIME);
        assert_eq!(sweep(&table, &objects, site.clock.wall()).await.unwrap(), 0);
        assert!(kept(&name).await && kept(&orphan).await);
        let later = WallTime(site.clock.wall().0 + RETENTION + 2 * 3_600_000);
        let away = ObjectClient::new("127.0.0.1:1".parse().unwrap(), CALL_TIME);
        assert!(sweep(&table, &away, later).await.is_err());
        assert_eq!(site.rows("claim/").await.len(), 2, "rows stay until their objects are gone");
        site.fault(PlatformFault::LoseAnswers { count: 1 }).await;
        assert!(sweep(&table, &objects, later).await.is_err());
        while sweep(&table, &objects, later).await.unwrap() > 0 {}
        assert!(!kept(&name).await && !kept(&orphan).await);
        assert!(site.rows("claim").await.is_empty());
    });
}
