//! A link to one peer: calls and notifications over one connection that is made anew when it fails.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use fuchsiamill_model::FastMap;
use monoio::{
    io::{OwnedReadHalf, OwnedWriteHalf, Splitable},
    net::TcpStream,
    time::timeout,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};

use crate::{
    error::{Error, Result, Unreached},
    frame,
    router::read_answer,
};

const CONNECT_TIME: Duration = Duration::from_millis(500);
const WRITE_TIME: Duration = Duration::from_secs(5);
const LONGEST_QUEUE: usize = 4096;

type Pending = Rc<RefCell<FastMap<u64, oneshot::Sender<Result<Value>>>>>;

/// A handle to the task that owns the connection to one peer.
#[derive(Clone)]
pub struct Link {
    tx: mpsc::Sender<Outgoing>,
    pending: Pending,
    next_id: Rc<Cell<u64>>,
    bytes_sent: Rc<Cell<u64>>,
}

struct Outgoing {
    text: String,
    reply: Option<(u64, oneshot::Sender<Result<Value>>)>,
}

#[derive(Deserialize)]
struct Answer {
    id: u64,
    result: Option<Value>,
    error: Option<AnswerError>,
}

#[derive(Deserialize)]
struct AnswerError {
    code: i32,
    message: String,
}

impl Link {
    /// Starts the task of a link to the peer at `addr`. It connects when there is something to send.
    pub fn start(addr: SocketAddr) -> Self {
        let (tx, rx) = mpsc::channel(LONGEST_QUEUE);
        let bytes_sent = Rc::<Cell<u64>>::default();
        let pending = Pending::default();
        let task = Task { addr, rx, pending: pending.clone(), bytes_sent: bytes_sent.clone() };
        monoio::spawn(task.run());
        Self { tx, pending, next_id: Rc::default(), bytes_sent }
    }

    /// Calls a method and waits at most `time` for its answer.
    pub async fn call<R: DeserializeOwned>(
        &self,
        method: &str,
        params: &impl Serialize,
        time: Duration,
    ) -> Result<R> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let text =
            json!({ "jsonrpc": "2.0", "id": id, "method": method, "params": [params] }).to_string();
        let (reply, answer) = oneshot::channel();
        let full = || Error::Unreachable(Unreached::Other("too many calls wait".into()));
        self.tx.try_send(Outgoing { text, reply: Some((id, reply)) }).map_err(|_| full())?;
        match timeout(time, answer).await {
            Ok(Ok(answer)) => read_answer(answer?),
            Ok(Err(_)) | Err(_) => {
                self.pending.borrow_mut().remove(&id);
                Err(Error::AnswerLost)
            }
        }
    }

    /// Sends a notification; whether it arrives is not known.
    pub fn notify(&self, method: &str, params: &impl Serialize) {
        let text = json!({ "jsonrpc": "2.0", "method": method, "params": params }).to_string();
        let _ = self.tx.try_send(Outgoing { text, reply: None });
    }

    /// The bytes sent so far, frames included.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.get()
    }
}

struct Task {
    addr: SocketAddr,
    rx: mpsc::Receiver<Outgoing>,
    pending: Pending,
    bytes_sent: Rc<Cell<u64>>,
}

impl Task {
    async fn run(mut self) {
        let mut connection = None;
        while let Some(outgoing) = self.rx.recv().await {
            self.send(&mut connection, outgoing).await;
        }
    }

    async fn send(&mut self, connection: &mut Option<LiveConnection>, outgoing: Outgoing) {
        if connection.as_ref().is_none_or(|it| it.ended.get()) {
            match self.connect().await {
                Ok(fresh) => *connection = Some(fresh),
                Err(e) => return unreachable(outgoing, &e),
            }
        }
        let Some(live) = connection else { return };
        if let Some((id, reply)) = outgoing.reply {
            self.pending.borrow_mut().insert(id, reply);
        }
        self.bytes_sent.set(self.bytes_sent.get() + outgoing.text.len() as u64);
        let write = frame::write(&mut live.write, outgoing.text.as_bytes());
        if !matches!(timeout(WRITE_TIME, write).await, Ok(Ok(()))) {
            *connection = None;
            fail_all(&self.pending);
        }
    }

    async fn connect(&self) -> io::Result<LiveConnection> {
        let connected = timeout(CONNECT_TIME, TcpStream::connect_addr(self.addr)).await;
        let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        let ended = Rc::<Cell<bool>>::default();
        monoio::spawn(read_answers(read, self.pending.clone(), ended.clone()));
        Ok(LiveConnection { write, ended })
    }
}

struct LiveConnection {
    write: OwnedWriteHalf<TcpStream>,
    ended: Rc<Cell<bool>>,
}

async fn read_answers(mut read: OwnedReadHalf<TcpStream>, pending: Pending, ended: Rc<Cell<bool>>) {
    while let Ok(frame) = frame::read(&mut read).await {
        let Ok(answer) = serde_json::from_slice::<Answer>(&frame) else { break };
        let Some(reply) = pending.borrow_mut().remove(&answer.id) else { continue };
        let _ = reply.send(match answer.error {
            Some(e) => Err(Error::Refused { code: e.code, message: e.message }),
            None => Ok(answer.result.unwrap_or(Value::Null)),
        });
    }
    ended.set(true);
    fail_all(&pending);
}

fn fail_all(pending: &Pending) {
    for (_, reply) in pending.borrow_mut().drain() {
        let _ = reply.send(Err(Error::AnswerLost));
    }
}

fn unreachable(outgoing: Outgoing, e: &io::Error) {
    if let Some((_, reply)) = outgoing.reply {
        let _ = reply.send(Err(Error::Unreachable(e.into())));
    }
}
