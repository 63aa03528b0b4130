//! One client connection: one exchange at a time.

use std::{io, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use futures_util::future::{Either, select};
use http::{HeaderValue, Version, header};
use monoio::{
    io::{OwnedReadHalf, OwnedWriteHalf, Splitable, sink::SinkExt, stream::Stream},
    net::TcpStream,
    time::{Instant, sleep_until, timeout_at},
};
use monoio_http::{
    common::body::BodyExt,
    h1::{
        codec::{
            decoder::{FillPayload, ResponseDecoder},
            encoder::GenericEncoder,
        },
        payload::{FixedPayload, Payload},
    },
};

use crate::{
    bounds::Bounds,
    budget::{BoundedRead, ReadBudget},
    error::{ExchangeError, Malformed},
    framing::{Framing, framing, has_body, strip_hop_by_hop},
    message::{Request, Response},
    progress::Progress,
};

/// How long an answer that is arriving is read on after its deadline. A link of 10 Mbit/s takes 3.4 s for the 4 MB that a
/// client reads at most.
const MAX_ARRIVAL_TIME: Duration = Duration::from_secs(5);

/// The result of an exchange.
pub type Result<T> = std::result::Result<T, ExchangeError>;

type RawResponse = http::Response<Payload>;

/// A connection to a server. Usable again only while [`Connection::is_reusable`] holds.
pub struct Connection {
    addr: SocketAddr,
    decoder: ResponseDecoder<BoundedRead<OwnedReadHalf<TcpStream>>>,
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
    budget: Rc<ReadBudget>,
    bounds: Bounds,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Reusable,
    Spent,
}

impl Connection {
    /// Connects within `time`.
    pub async fn connect(addr: SocketAddr, bounds: Bounds, time: Duration) -> Result<Self> {
        let deadline = Instant::now() + time;
        let connected = match timeout_at(deadline, TcpStream::connect_addr(addr)).await {
            // A process that was paused finds the connection made after its time as well.
            Ok(connected) if Instant::now() < deadline => connected,
            _ => Err(io::Error::from(io::ErrorKind::TimedOut)),
        };
        let stream = connected.map_err(|source| ExchangeError::Connect { addr, source })?;
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let budget = ReadBudget::new(bounds);
        let decoder = ResponseDecoder::new(BoundedRead::new(read, budget.clone()));
        let encoder = GenericEncoder::new(write);
        Ok(Self { addr, decoder, encoder, budget, bounds, state: State::Reusable })
    }

    /// Whether another exchange may follow: the last one ended whole and the server keeps the connection.
    pub fn is_reusable(&self) -> bool {
        self.state == State::Reusable
    }

    /// Sends `request` and reads the whole answer before `deadline`.
    ///
    /// On any error, and when the future is dropped half-way, the connection is spent.
    pub async fn exchange(&mut self, request: Request, deadline: Instant) -> Result<Response> {
        let raw = self.encode(request)?;
        self.state = State::Spent;
        let answer = timeout_at(deadline, self.send_and_read(raw)).await;
        let (response, state) = answer.map_err(|_| ExchangeError::Late)??;
        self.state = state;
        Ok(response)
    }

    /// Like [`Connection::exchange`], but an answer that is arriving is read on for a while after `deadline`.
    pub async fn exchange_while_moving(
        &mut self,
        request: Request,
        deadline: Instant,
        progress: &Progress,
    ) -> Result<Response> {
        self.budget.observe(progress.clone());
        let latest = deadline + MAX_ARRIVAL_TIME;
        let stalled = async {
            sleep_until(deadline).await;
            progress.until_stalled().await;
        };
        match select(pin!(self.exchange(request, latest)), pin!(stalled)).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => Err(ExchangeError::Late),
        }
    }

    fn encode(&self, request: Request) -> Result<http::Request<Payload>> {
        let mut headers = request.headers;
        strip_hop_by_hop(&mut headers);
        let host =
            HeaderValue::from_str(&self.addr.to_string()).expect("an address is a header value");
        headers.insert(header::HOST, host);
        let payload: Payload = match request.body.is_empty() {
            true => Payload::None,
            false => Payload::Fixed(FixedPayload::new(request.body)),
        };
        let built = http::Request::builder()
            .method(request.method)
            .uri(request.target)
            .version(Version::HTTP_11)
            .body(payload);
        let mut raw = built.map_err(|e| ExchangeError::Request(e.to_string()))?;
        *raw.headers_mut() = headers;
        Ok(raw)
    }

    async fn send_and_read(&mut self, raw: http::Request<Payload>) -> Result<(Response, State)> {
        let sent = self.encoder.send_and_flush(raw).await;
        sent.map_err(|e| ExchangeError::Send(e.to_string()))?;
        loop {
            self.budget.start_head(self.bounds.idle_time);
            let raw = match self.decoder.next().await {
                None => return Err(ExchangeError::NoAnswer),
                Some(Err(e)) => return Err(self.failure(ExchangeError::Malformed(e.to_string()))),
                Some(Ok(raw)) => raw,
            };
            if !raw.status().is_informational() {
                return self.read_whole(raw).await;
            }
        }
    }

    async fn read_whole(&mut self, raw: RawResponse) -> Result<(Response, State)> {
        let declared = framing(raw.headers());
        let state = state_after(&raw, declared);
        let (head, payload) = raw.into_parts();
        let body = match declared {
            _ if !has_body(head.status) => Default::default(),
            Framing::Ambiguous => return Err(ExchangeError::Malformed("ambiguous framing".into())),
            Framing::Undelimited => {
                return Err(ExchangeError::Malformed("neither length nor chunks".into()));
            }
            Framing::Length(bytes) if bytes > self.bounds.body_bytes => {
                return Err(ExchangeError::TooLarge);
            }
            Framing::Length(_) | Framing::Chunked => self.read_body(payload).await?,
        };
        let mut headers = head.headers;
        strip_hop_by_hop(&mut headers);
        Ok((Response { status: head.status, headers, body }, state))
    }

    async fn read_body(&mut self, payload: Payload) -> Result<bytes::Bytes> {
        self.budget.start_body(self.bounds.body_time);
        let (filled, body) =
            futures_util::future::join(self.decoder.fill_payload(), payload.bytes()).await;
        match (filled, body) {
            (Ok(()), Ok(body)) if body.len() > self.bounds.body_bytes => {
                Err(ExchangeError::TooLarge)
            }
            (Ok(()), Ok(body)) => Ok(body),
            _ => Err(self.failure(ExchangeError::Cut)),
        }
    }

    fn failure(&self, otherwise: ExchangeError) -> ExchangeError {
        match self.budget.breach() {
            Some(Malformed::TooLarge) => ExchangeError::TooLarge,
            Some(Malformed::TooSlow | Malformed::Idle) => ExchangeError::Late,
            _ => otherwise,
        }
    }
}

fn state_after(raw: &RawResponse, declared: Framing) -> State {
    let text = raw.headers().get(header::CONNECTION).and_then(|it| it.to_str().ok());
    let close = text.is_some_and(|it| it.eq_ignore_ascii_case("close"));
    let unread = !has_body(raw.status())
        && declared != Framing::Undelimited
        && declared != Framing::Length(0);
    if close || unread { State::Spent } else { State::Reusable }
}
