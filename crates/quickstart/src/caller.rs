//! A caller of the site.

use std::{net::SocketAddr, time::Duration};

use anyhow::Result;
use fuchsiamill_daemon::run::block_on;
use fuchsiamill_http::{Bounds, Connection, ExchangeError, Request, Response};
use http::{HeaderValue, header};
use monoio::time::Instant;

const TIME: Duration = Duration::from_secs(10);

/// Sends a request and waits for its whole answer.
pub fn send(addr: SocketAddr, request: Request) -> Result<Response, ExchangeError> {
    block_on(async {
        let mut connection = Connection::connect(addr, Bounds::default(), TIME).await?;
        connection.exchange(request, Instant::now() + TIME).await
    })
}

/// A request for work at a service with a team's key.
pub fn work(service: &str, key: &str, body: &str) -> Result<Request> {
    let request = Request::post(format!("/v1/services/{service}"), body.to_owned());
    let bearer = HeaderValue::from_str(&format!("Bearer {key}"))?;
    Ok(request.header(header::AUTHORIZATION, bearer))
}

/// Whether the entry host tells the balancer that it is ready.
pub fn is_ready(metrics: SocketAddr) -> bool {
    send(metrics, Request::get("/ready")).is_ok_and(|it| it.status.is_success())
}
