//! The plain baseline: each entry host has a fixed part of every limit and takes the backend servers
//! of a pool one after the other, trying the next after a pause when one is busy.

use std::{
    cell::RefCell,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use fastrand::Rng;
use fuchsiamill_http::{Bounds, Connection, Request};
use fuchsiamill_model::Team;
use http::{HeaderName, HeaderValue, StatusCode};
use monoio::time::{sleep, timeout};
use tokio::sync::Semaphore;

use super::{
    demand::{Arrival, ENTRIES},
    profile,
    request::{DEADLINE, REQUEST_TIMEOUT, Told, body_of},
};

const TEAM: HeaderName = HeaderName::from_static("team");
const CONNECT_TIME: Duration = Duration::from_millis(500);
const FIRST_PAUSE_MS: u64 = 5;
const LONGEST_PAUSE_MS: u64 = 160;

/// The backend servers of each serving pool.
pub struct PlainSite {
    /// Their addresses by pool.
    pub servers: Vec<Vec<SocketAddr>>,
}

/// The entry hosts of the baseline that one thread serves.
pub struct Plain {
    site: Arc<PlainSite>,
    teams: Vec<HeaderValue>,
    limits: Vec<Vec<Semaphore>>,
    next: RefCell<Vec<Vec<usize>>>,
    rng: RefCell<Rng>,
}

enum Next {
    Told(Told),
    TryAnother,
}

impl Plain {
    /// Entry hosts with an even part of each team's limit.
    pub fn new(site: Arc<PlainSite>, teams: &[Team]) -> Self {
        let part = |team: &Team| Semaphore::new(team.upper_limit as usize / ENTRIES);
        let name = |team: &Team| HeaderValue::from_str(team.name.as_str()).ok();
        Self {
            teams: teams.iter().filter_map(name).collect(),
            limits: (0..ENTRIES).map(|_| teams.iter().map(part).collect()).collect(),
            next: RefCell::new(vec![vec![0; site.servers.len()]; ENTRIES]),
            rng: RefCell::new(Rng::with_seed(0)),
            site,
        }
    }

    /// Serves one request through an entry host.
    pub async fn serve(&self, arrival: &Arrival, entry: usize) -> Told {
        let deadline = Instant::now() + DEADLINE;
        let unit = self.limits[entry][arrival.team].acquire();
        let Ok(Ok(_unit)) = timeout(DEADLINE, unit).await else { return deadline_passed() };
        let mut longest_pause = FIRST_PAUSE_MS;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return deadline_passed();
            }
            match self.attempt(arrival, entry, left).await {
                Next::Told(told) => return told,
                Next::TryAnother => {
                    let pause = self.rng.borrow_mut().u64(1..=longest_pause);
                    longest_pause = (longest_pause * 2).min(LONGEST_PAUSE_MS);
                    sleep(Duration::from_millis(pause)).await;
                }
            }
        }
    }

    async fn attempt(&self, arrival: &Arrival, entry: usize, left: Duration) -> Next {
        let server = self.next_server(entry, arrival.pool);
        let opened = Connection::connect(server, Bounds::default(), CONNECT_TIME).await;
        let Ok(mut connection) = opened else { return Next::TryAnother };
        let target = format!("/{}", profile::service(arrival.pool));
        let request = Request::post(target, body_of(arrival.number))
            .header(TEAM, self.teams[arrival.team].clone())
            .header(REQUEST_TIMEOUT, (left.as_millis() as u64).into());
        let answer = connection.exchange(request, monoio::time::Instant::now() + left).await;
        match answer.map(|it| it.status) {
            Ok(StatusCode::SERVICE_UNAVAILABLE) => Next::TryAnother,
            Ok(status) if status.is_success() => Next::Told(Told::Answer),
            _ => Next::Told(Told::Unknown("answer-lost".into())),
        }
    }

    fn next_server(&self, entry: usize, pool: usize) -> SocketAddr {
        let servers = &self.site.servers[pool];
        let next = &mut self.next.borrow_mut()[entry][pool];
        *next = (*next + 1) % servers.len();
        servers[*next]
    }
}

fn deadline_passed() -> Told {
    Told::NotRun("deadline-passed".into())
}
