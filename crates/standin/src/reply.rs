//! Ports that serve for ever, and answers with JSON bodies.

use std::{io, net::SocketAddr, rc::Rc};

use fuchsiamill_http::{Bounds, Handler, Incoming, Response, Server, shutdown_pair};
use http::StatusCode;
use serde::{Serialize, de::DeserializeOwned};

/// Serves on a port of `listen` for as long as the runtime lives; gives the bound address.
pub fn serve<H: Handler + 'static>(
    listen: SocketAddr,
    bounds: Bounds,
    handler: Rc<H>,
) -> io::Result<SocketAddr> {
    let server = Server::bind(listen, bounds, handler)?;
    let addr = server.local_addr()?;
    monoio::spawn(async move {
        let (_handle, shutdown) = shutdown_pair();
        server.run(shutdown).await;
    });
    Ok(addr)
}

/// An answer with a value.
pub fn value<T: Serialize>(value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::json(StatusCode::OK, body),
        Err(e) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Reads the body and answers with what `answer` makes of it.
pub fn with_body<T: DeserializeOwned>(body: &[u8], answer: impl FnOnce(T) -> Response) -> Response {
    match serde_json::from_slice(body) {
        Ok(body) => answer(body),
        Err(e) => Response::text(StatusCode::BAD_REQUEST, e.to_string()),
    }
}

/// Never answers: waits until the peer has gone.
pub async fn never(mut incoming: Incoming) -> Response {
    incoming.hangup.wait().await;
    Response::empty(StatusCode::SERVICE_UNAVAILABLE)
}
