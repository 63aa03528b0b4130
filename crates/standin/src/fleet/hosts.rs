//! The service that has the hosts.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use fuchsiamill_http::{Handler, Incoming, Response};
use http::StatusCode;
use serde_json::{Value, json};

use super::{
    lock,
    world::{Host, Loss, World},
};
use crate::reply;

/// How long a move or maintenance takes.
const DUTY_TIME: Duration = Duration::from_millis(300);

/// The service's port.
pub struct Port(pub Arc<Mutex<World>>);

impl Handler for Port {
    async fn handle(&self, incoming: Incoming) -> Response {
        let mut world = lock(&self.0);
        let body: Value = serde_json::from_slice(&incoming.request.body).unwrap_or_default();
        match incoming.request.path() {
            "/machines" => list(&world),
            "/machine-move" => duty(&mut world, &body, body["pool"].as_str()),
            "/machine-upkeep" => duty(&mut world, &body, None),
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
        (None, Some(_)) => "moving",
        (None, None) => "up",
    }
}

fn duty(world: &mut World, body: &Value, pool: Option<&str>) -> Response {
    let name = body["machine"].as_str().unwrap_or_default();
    let number = name.strip_prefix("m-").and_then(|it| it.parse::<usize>().ok());
    let Some(number) = number.filter(|it| *it < world.hosts.len()) else {
        return Response::empty(StatusCode::BAD_REQUEST);
    };
    if world.hosts[number].loss.is_some() {
        return Response::json(StatusCode::CONFLICT, r#"{"reason":"down"}"#);
    }
    if world.hosts[number].back.is_some() {
        return Response::json(StatusCode::CONFLICT, r#"{"reason":"busy"}"#);
    }
    world.end_life(number, "moved");
    if let Some(pool) = pool {
        world.hosts[number].pool = pool.to_owned();
    }
    world.hosts[number].back = Some(Instant::now() + DUTY_TIME);
    reply::value(&json!({}))
}
