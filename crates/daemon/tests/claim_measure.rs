//! What claims cost: table writes a second and waits, batched and one write a request.
//!
//! Run by `cargo test --release -p fuchsiamill-daemon --test claim_measure -- --ignored --nocapture`.

use std::{net::SocketAddr, rc::Rc, sync::mpsc, thread, time::Duration};

use fuchsiamill_daemon::{
    Clock,
    claims::{Claimed, Claims, Config, Wanted, start},
    run::block_on,
};
use fuchsiamill_http::{Bounds as HttpBounds, JsonClient, Response};
use fuchsiamill_model::{Incarnation, ServiceName, TeamName, WallTime};
use fuchsiamill_policy::claims::{Bounds, ClaimKey, IdempotencyKey, RequestDigest, Scope};
use fuchsiamill_ports::{ObjectClient, TableClient};
use fuchsiamill_standin::{admin::PlatformFault, platform, record::PlatformRecord};
use http::StatusCode;
use monoio::time::{Instant, sleep};

const HOSTS: usize = 8;
const SECONDS: u64 = 20;
const TABLE_MS: u64 = 3;
const CALL_TIME: Duration = Duration::from_secs(2);

const BATCHED: Bounds = Bounds {
    writes_per_second: 4,
    burst: 8,
    rows_per_write: 256,
    waiting: 1_024,
    remembered: 1_024,
};
const SINGLE: Bounds =
    Bounds { writes_per_second: 1_000, burst: 1_000, rows_per_write: 1, ..BATCHED };

fn platform_on_thread() -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        block_on(async move {
            tx.send(platform::start("127.0.0.1:0".parse().unwrap()).unwrap()).unwrap();
            std::future::pending::<()>().await;
        })
    });
    rx.recv().unwrap()
}

fn wanted(clock: Clock, number: u64) -> Wanted {
    let scope = Scope::Team(TeamName::try_from("rota").unwrap());
    let key = IdempotencyKey::try_from(number.to_string().as_str()).unwrap();
    Wanted {
        key: ClaimKey::new(&scope, &key),
        request: RequestDigest::of(&ServiceName::try_from("swaps").unwrap(), b"", b"monday"),
        deadline: WallTime(clock.wall().0 + 10_000),
        give_up: clock.now() + 3_000,
    }
}

/// Claims at a rate over all hosts; returns each wait in milliseconds.
async fn load(hosts: &[Claims], clock: Clock, per_second: u64) -> Vec<f64> {
    let mut rng = fastrand::Rng::with_seed(per_second);
    let mut tasks = Vec::new();
    let began = Instant::now();
    for number in 0..per_second * SECONDS {
        let due = began + Duration::from_micros(number * 1_000_000 / per_second);
        monoio::time::sleep_until(due).await;
        let host = hosts[rng.usize(..hosts.len())].clone();
        tasks.push(monoio::spawn(async move {
            let asked = Instant::now();
            let claimed = host.claim(wanted(clock, number), clock.wall()).await;
            let wait = asked.elapsed().as_secs_f64() * 1_000.0;
            let Claimed::Held(claim) = claimed else { return None };
            sleep(Duration::from_millis(20)).await;
            host.answered(claim.send(), &Response::text(StatusCode::OK, "done"));
            Some(wait)
        }));
    }
    let mut waits = Vec::new();
    for task in tasks {
        waits.extend(task.await);
    }
    for host in hosts {
        host.settle().await;
    }
    waits.sort_by(f64::total_cmp);
    waits
}

#[test]
#[ignore = "a measurement of about two minutes"]
fn writes_and_waits() {
    println!("table answers after {TABLE_MS} ms, {HOSTS} hosts, {SECONDS} s each");
    for (name, bounds) in [("batched", BATCHED), ("one write a request", SINGLE)] {
        for per_second in [8, 50, 400] {
            let addr = platform_on_thread();
            block_on(async {
                let admin = JsonClient::new(addr, HttpBounds::default(), CALL_TIME);
                let slow = PlatformFault::Slow { ms: TABLE_MS };
                admin.post::<_, ()>("/admin/fault", &slow).await.unwrap();
                let clock = Clock::start();
                let hosts: Vec<Claims> = (0..HOSTS)
                    .map(|it| {
                        let entry = Incarnation::try_from(format!("e{it}")).unwrap();
                        let rng = fastrand::Rng::with_seed(it as u64);
                        let cfg = Config { entry, bounds, clock, rng };
                        let table = Rc::new(TableClient::new(addr, CALL_TIME));
                        start(cfg, table, Rc::new(ObjectClient::new(addr, CALL_TIME)))
                    })
                    .collect();
                let began = Instant::now();
                let waits = load(&hosts, clock, per_second).await;
                let took = began.elapsed().as_secs_f64();
                let record: PlatformRecord = admin.get("/admin/record").await.unwrap();
                let at = |part: f64| waits[((waits.len() - 1) as f64 * part) as usize];
                println!(
                    "{name}: {per_second}/s: {} held of {}, {:.1} writes/s, wait p50 {:.1} ms, p99 {:.1} ms",
                    waits.len(),
                    per_second * SECONDS,
                    record.commits as f64 / took,
                    at(0.5),
                    at(0.99),
                );
                assert_eq!(waits.len() as u64, per_second * SECONDS);
            });
        }
    }
}
