//! One connection of a caller: its requests are answered one after another.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};

use futures_util::future::{Either, select};
use http::{HeaderValue, Method, StatusCode, Version, header};
use monoio::{
    io::{OwnedReadHalf, OwnedWriteHalf, Splitable, sink::SinkExt, stream::Stream},
    net::TcpStream,
};
use monoio_http::{
    common::{body::BodyExt, error::HttpError},
    h1::{
        codec::{
            decoder::{FillPayload, RequestDecoder},
            encoder::GenericEncoder,
        },
        payload::{FixedPayload, Payload},
    },
};
use tokio::sync::watch;

use crate::{
    bounds::Bounds,
    budget::{BoundedRead, ReadBudget},
    error::Malformed,
    framing::{Framing, framing, strip_hop_by_hop},
    held::{HeldBytes, Reservation},
    message::{Request, Response},
};

use super::{Handler, Hangup, Incoming, Presence, Shutdown};

type RawRequest = http::Request<Payload>;
type Decoder = RequestDecoder<BoundedRead<OwnedReadHalf<TcpStream>>>;
type Encoder = GenericEncoder<OwnedWriteHalf<TcpStream>>;

enum Ahead {
    Nothing,
    Message(Box<RawRequest>),
    Closed,
}

enum Watched {
    Ended(Ahead),
    Interrupted,
}

enum Received {
    Request(Request, Reservation),
    Refused(Malformed),
    Closed,
}

pub(super) struct ServerConnection<H> {
    decoder: Decoder,
    encoder: Encoder,
    budget: Rc<ReadBudget>,
    bounds: Bounds,
    handler: Rc<H>,
    peer: SocketAddr,
    held: Rc<HeldBytes>,
}

impl<H: Handler> ServerConnection<H> {
    pub(super) fn new(
        stream: TcpStream,
        peer: SocketAddr,
        bounds: Bounds,
        handler: Rc<H>,
        held: Rc<HeldBytes>,
    ) -> Self {
        let (read, write) = stream.into_split();
        let budget = ReadBudget::new(bounds);
        let decoder = RequestDecoder::new(BoundedRead::new(read, budget.clone()));
        Self { decoder, encoder: GenericEncoder::new(write), budget, bounds, handler, peer, held }
    }

    pub(super) async fn refuse_whole(mut self, malformed: Malformed) {
        let response = self.handler.refuse(malformed);
        let _ = self.send(response, Persistence::Close).await;
    }

    pub(super) async fn run(mut self, mut shutdown: Shutdown) {
        let mut ahead = Ahead::Nothing;
        loop {
            let raw = match ahead {
                Ahead::Closed => return,
                Ahead::Message(raw) => Some(Ok(*raw)),
                Ahead::Nothing => {
                    self.budget.start_head(self.bounds.idle_time);
                    let budget = self.budget.clone();
                    let next = pin!(self.decoder.next());
                    let stop = pin!(shutdown.wait());
                    match select(next, stop).await {
                        Either::Left((raw, _)) => raw,
                        Either::Right((_, next)) if budget.has_message_begun() => {
                            match monoio::time::timeout(STOP_ARRIVAL_TIME, next).await {
                                Ok(raw) => raw,
                                Err(_) => return,
                            }
                        }
                        Either::Right((_, next)) => {
                            budget.interrupt();
                            match next.await {
                                Some(Ok(raw)) => Some(Ok(raw)),
                                _ => return,
                            }
                        }
                    }
                }
            };
            // The bytes of the body count until its answer is sent.
            let (request, _held) = match self.receive(raw).await {
                Received::Request(request, held) => (request, held),
                Received::Refused(malformed) => return self.refuse_whole(malformed).await,
                Received::Closed => return,
            };
            let wanted = persistence(&request);
            let (response, next) = self.answer(request).await;
            // A request that was read behind this one is answered also when the server is stopping.
            let is_last = shutdown.is_stopping() && !matches!(next, Ahead::Message(_));
            let keep = if is_last { Persistence::Close } else { wanted };
            if self.send(response, keep).await.is_err() || keep == Persistence::Close {
                return;
            }
            ahead = next;
        }
    }

    async fn receive(&mut self, raw: Option<Result<RawRequest, HttpError>>) -> Received {
        let raw = match raw {
            None => return Received::Closed,
            Some(Ok(raw)) => raw,
            Some(Err(_)) => {
                return match self.budget.breach() {
                    Some(Malformed::Idle) => Received::Closed,
                    Some(breach) => Received::Refused(breach),
                    None => Received::Refused(Malformed::Garbage),
                };
            }
        };
        let bytes = match framing(raw.headers()) {
            Framing::Ambiguous => return Received::Refused(Malformed::Garbage),
            Framing::Length(bytes) if bytes > self.bounds.body_bytes => {
                return Received::Refused(Malformed::TooLarge);
            }
            Framing::Length(bytes) => bytes,
            Framing::Chunked => self.bounds.body_bytes,
            Framing::Undelimited => 0,
        };
        let Some(held) = self.held.reserve(bytes) else {
            return Received::Refused(Malformed::Overloaded);
        };
        if expects_continue(&raw) && self.send_continue().await.is_err() {
            return Received::Closed;
        }
        self.read_body(raw, held).await
    }

    async fn read_body(&mut self, raw: RawRequest, held: Reservation) -> Received {
        self.budget.start_body(self.bounds.body_time);
        let (head, payload) = raw.into_parts();
        let fill = pin!(self.decoder.fill_payload());
        let body = pin!(payload.bytes());
        let (filled, body) = futures_util::future::join(fill, body).await;
        let body = match (filled, body) {
            (Ok(()), Ok(body)) => body,
            _ => return Received::Refused(self.budget.breach().unwrap_or(Malformed::Cut)),
        };
        if body.len() > self.bounds.body_bytes {
            return Received::Refused(Malformed::TooLarge);
        }
        let target =
            head.uri.path_and_query().map_or_else(|| head.uri.to_string(), |it| it.to_string());
        let request = Request { method: head.method, target, headers: head.headers, body };
        Received::Request(request, held)
    }

    async fn answer(&mut self, request: Request) -> (Response, Ahead) {
        let (tx, rx) = watch::channel(Presence::There);
        let incoming = Incoming { request, peer: self.peer, hangup: Hangup(rx) };
        let handler = self.handler.clone();
        let handle = pin!(handler.handle(incoming));
        self.budget.start_head(FAR_AHEAD);
        match self.handle_watching(handle, tx).await {
            (response, Watched::Ended(ahead)) => (response, ahead),
            (response, Watched::Interrupted) => (response, self.recover().await),
        }
    }

    async fn handle_watching(
        &mut self,
        handle: Pin<&mut impl Future<Output = Response>>,
        presence: watch::Sender<Presence>,
    ) -> (Response, Watched) {
        let budget = self.budget.clone();
        let next = pin!(self.decoder.next());
        match select(handle, next).await {
            Either::Left((response, next)) => {
                budget.interrupt();
                let watched = match next.await {
                    Some(Ok(raw)) => Watched::Ended(Ahead::Message(Box::new(raw))),
                    None => Watched::Ended(Ahead::Closed),
                    Some(Err(_)) if budget.breach().is_some() => Watched::Ended(Ahead::Closed),
                    Some(Err(_)) => Watched::Interrupted,
                };
                (response, watched)
            }
            Either::Right((Some(Ok(raw)), handle)) => {
                (handle.await, Watched::Ended(Ahead::Message(Box::new(raw))))
            }
            Either::Right((_, handle)) => {
                presence.send_replace(Presence::Gone);
                (handle.await, Watched::Ended(Ahead::Closed))
            }
        }
    }

    /// The decoder reports the end of its stream once after an interrupted read.
    async fn recover(&mut self) -> Ahead {
        match self.decoder.next().await {
            Some(Ok(raw)) => Ahead::Message(Box::new(raw)),
            Some(Err(_)) => Ahead::Closed,
            None => Ahead::Nothing,
        }
    }

    async fn send_continue(&mut self) -> Result<(), HttpError> {
        let mut raw: http::Response<Payload> = http::Response::new(Payload::None);
        *raw.status_mut() = StatusCode::CONTINUE;
        self.encoder.send_and_flush(raw).await
    }

    async fn send(&mut self, response: Response, keep: Persistence) -> Result<(), HttpError> {
        let mut headers = response.headers;
        strip_hop_by_hop(&mut headers);
        if keep == Persistence::Close {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let payload: Payload = match response.body.is_empty() {
            true => Payload::None,
            false => Payload::Fixed(FixedPayload::new(response.body)),
        };
        let mut raw = http::Response::new(payload);
        *raw.status_mut() = response.status;
        *raw.version_mut() = Version::HTTP_11;
        *raw.headers_mut() = headers;
        let time = self.bounds.body_time;
        match monoio::time::timeout(time, self.encoder.send_and_flush(raw)).await {
            Ok(sent) => sent,
            Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut).into()),
        }
    }
}

const FAR_AHEAD: Duration = Duration::from_secs(24 * 3600);

/// How long a stopping server waits for the rest of a head that is arriving.
const STOP_ARRIVAL_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Persistence {
    Keep,
    Close,
}

fn persistence(request: &Request) -> Persistence {
    let close =
        request.text_header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
    if close || request.method == Method::HEAD { Persistence::Close } else { Persistence::Keep }
}

fn expects_continue(raw: &RawRequest) -> bool {
    raw.headers()
        .get(header::EXPECT)
        .is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}
