//! The service that has the hosts.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use fuchsiamill_http::{Handler, Incoming, Response};
use http::StatusCode;
use serde_json::{Value, json};

use super::{
    lock,
    world::{Worker, World},
};
use crate::reply;

/// How long a move or maintenance takes.
pub const DUTY_TIME: Duration = Duration::from_millis(300);

/// How the list of hosts shows a host that is gone for good. Neither way does it tell an id of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It is listed as down.
    Down,
    /// It has no entry.
    Unlisted,
}

/// What a host was ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Duty {
    /// To move to this pool.
    Move(String),
    /// To be maintained in the wave with this number.
    Maintain(u64),
}

/// An order to a host that was carried out.
#[derive(Clone, Debug)]
pub struct DutyRecord {
    /// The host.
    pub host: usize,
    /// What it did.
    pub duty: Duty,
    /// When it began.
    pub began: Instant,
}

#[derive(Debug, Default)]
pub(super) struct Host {
    pub pool: String,
    pub addr: Option<SocketAddr>,
    pub worker: Option<Worker>,
    pub back: Option<Instant>,
    pub is_maintained: bool,
    pub loss: Option<Loss>,
}

impl World {
    pub(super) fn add_host(&mut self, pool: &str) -> usize {
        self.hosts.push(Host { pool: pool.to_owned(), ..Host::default() });
        self.hosts.len() - 1
    }

    /// The pool of a host.
    pub fn pool(&self, host: usize) -> &str {
        &self.hosts[host].pool
    }

    /// Whether a host is gone for good.
    pub fn is_lost(&self, host: usize) -> bool {
        self.hosts[host].loss.is_some()
    }

    /// The hosts that were maintained in a wave.
    pub fn maintained(&self, wave: u64) -> Vec<usize> {
        let duties = self.duties.iter().filter(|it| it.duty == Duty::Maintain(wave));
        duties.map(|it| it.host).collect()
    }
}

/// The service's port.
pub struct Port(pub Arc<Mutex<World>>);

impl Handler for Port {
    async fn handle(&self, incoming: Incoming) -> Response {
        let mut world = lock(&self.0);
        let body: Value = serde_json::from_slice(&incoming.request.body).unwrap_or_default();
        match incoming.request.path() {
            "/machines" => list(&world),
            "/machine-move" => {
                let pool = body["pool"].as_str().unwrap_or_default();
                carry_out(&mut world, &body, Duty::Move(pool.to_owned()))
            }
            "/machine-upkeep" => {
                let wave = body["wave"].as_u64().unwrap_or_default();
                carry_out(&mut world, &body, Duty::Maintain(wave))
            }
            _ => Response::empty(StatusCode::NOT_FOUND),
        }
    }
}

fn list(world: &World) -> Response {
    let machines: Vec<Value> = world
        .hosts
        .iter()
        .enumerate()
        .filter(|(_, it)| it.loss != Some(Loss::Unlisted))
        .map(|(number, it)| {
            json!({
                "machine": format!("m-{number}"),
                "pool": it.pool,
                "state": state(it),
                "zone": format!("dc-{}", number % 3),
                "labels": ["a", format!("rack-{}", number / 4)],
                "capacity": { "cpu": 8_000, "mem_mb": 32_768, "gpu": 0 },
                "id": it.worker.as_ref().map(|it| it.id.clone()),
            })
        })
        .collect();
    reply::value(&json!({ "machines": machines, "next_token": null }))
}

fn state(host: &Host) -> &'static str {
    match (host.loss, host.back) {
        (Some(_), _) => "down",
        (None, Some(_)) if host.is_maintained => "upkeep",
        (None, Some(_)) => "moving",
        (None, None) => "up",
    }
}

fn carry_out(world: &mut World, body: &Value, duty: Duty) -> Response {
    let name = body["machine"].as_str().unwrap_or_default();
    let number = name.strip_prefix("m-").and_then(|it| it.parse::<usize>().ok());
    let Some(number) = number.filter(|it| *it < world.hosts.len()) else {
        return Response::empty(StatusCode::BAD_REQUEST);
    };
    if matches!(duty, Duty::Maintain(wave) if world.maintained(wave).contains(&number)) {
        return reply::value(&json!({}));
    }
    if world.hosts[number].loss.is_some() {
        return Response::json(StatusCode::CONFLICT, r#"{"reason":"down"}"#);
    }
    if world.hosts[number].back.is_some() {
        return Response::json(StatusCode::CONFLICT, r#"{"reason":"busy"}"#);
    }
    world.end_life(number, "moved");
    let now = Instant::now();
    let host = &mut world.hosts[number];
    if let Duty::Move(pool) = &duty {
        host.pool.clone_from(pool);
    }
    host.is_maintained = matches!(duty, Duty::Maintain(_));
    host.back = Some(now + DUTY_TIME);
    world.duties.push(DutyRecord { host: number, duty, began: now });
    reply::value(&json!({}))
}
