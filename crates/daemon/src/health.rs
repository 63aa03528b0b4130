//! Metrics, readiness and liveness for the platform's balancer.

use std::{cell::Cell, rc::Rc};

use fuchsiamill_http::{Handler, Incoming, Response};
use http::StatusCode;

use crate::cx::Cx;

/// Whether this entry host still wants requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// It serves when it has standing.
    Open,
    /// It is shutting down.
    Closing,
}

/// Answers on the metrics port: `/metrics`, `/ready`, `/live`.
pub struct Health {
    cx: Rc<Cx>,
    intake: Rc<Cell<Intake>>,
}

impl Health {
    /// Health of the entry host that `cx` belongs to.
    pub fn new(cx: Rc<Cx>, intake: Rc<Cell<Intake>>) -> Self {
        Self { cx, intake }
    }

    async fn metrics(&self) -> anyhow::Result<String> {
        self.cx.metrics.set_lanes(self.cx.dispatch.own_lanes().await);
        self.cx.metrics.peer_bytes_sent.record(self.cx.cluster.bytes_sent(), &[]);
        self.cx.metrics.text()
    }

    fn ready(&self) -> Response {
        if self.intake.get() == Intake::Closing {
            return Response::text(StatusCode::SERVICE_UNAVAILABLE, "shutting down");
        }
        match self.cx.cluster.standing().refusal() {
            None if !self.cx.dispatch.is_ready(&self.cx) => {
                Response::text(StatusCode::SERVICE_UNAVAILABLE, "no view of the entry hosts yet")
            }
            None => Response::text(StatusCode::OK, "ready"),
            Some(reason) => Response::text(StatusCode::SERVICE_UNAVAILABLE, reason),
        }
    }
}

impl Handler for Health {
    async fn handle(&self, incoming: Incoming) -> Response {
        match incoming.request.path() {
            "/live" => Response::text(StatusCode::OK, "live"),
            "/ready" => self.ready(),
            "/metrics" => match self.metrics().await {
                Ok(text) => Response::text(StatusCode::OK, text),
                Err(e) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
            },
            _ => Response::empty(StatusCode::NOT_FOUND),
        }
    }
}
