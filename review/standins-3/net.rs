//! HTTP/1.1 with bodies of a declared length, and a proxy that can be cut.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub method: String,
    pub target: String,
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Message {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pair = query.split('&').find_map(|it| it.split_once('=').filter(|it| it.0 == name))?;
        let bytes = pair.1.as_bytes();
        let (mut out, mut at) = (Vec::new(), 0);
        while at < bytes.len() {
            match bytes[at] {
                b'%' if at + 2 < bytes.len() + 0 && at + 2 <= bytes.len() - 1 => {
                    let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).ok()?;
                    out.push(u8::from_str_radix(hex, 16).ok()?);
                    at += 2;
                }
                other => out.push(other),
            }
            at += 1;
        }
        String::from_utf8(out).ok()
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |it| it)
    }
}

fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut line = String::new();
    (reader.read_line(&mut line).ok()? > 0).then_some(())?;
    let mut words = line.split_whitespace();
    let mut message = Message::default();
    let (first, second) = (words.next()?, words.next()?);
    match first.starts_with("HTTP/") {
        true => message.status = second.parse().ok()?,
        false => (message.method, message.target) = (first.into(), second.into()),
    }
    loop {
        let mut line = String::new();
        (reader.read_line(&mut line).ok()? > 0).then_some(())?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().into());
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Some(message)
}

/// An answer: status and body; `None` closes the connection without one.
pub type Answer = Option<(u16, String)>;

/// Serves at a free port of `ip` with one thread a connection.
pub fn serve(ip: &str, answer: impl Fn(Message) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut write) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(message) = read_message(&mut reader) {
                    let Some((status, body)) = answer(message) else { return };
                    let text = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if write.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Sends one request on a connection of its own; `None` if there is no answer in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    time: Duration,
) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&addr, time).ok()?;
    call_on(&stream, method, target, headers, body, time)
}

/// Sends one request on a kept connection.
pub fn call_on(
    stream: &TcpStream,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    time: Duration,
) -> Option<Message> {
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(time)).ok()?;
    let mut text = format!("{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    let mut write = stream;
    write.write_all(text.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// The state of a cut, shared by the proxies of one machine.
#[derive(Clone, Default)]
pub struct Cut(Arc<AtomicBool>, Arc<Mutex<u64>>);

impl Cut {
    pub fn set(&self, is_cut: bool) {
        if is_cut {
            *self.1.lock().unwrap() += 1;
        }
        self.0.store(is_cut, Ordering::SeqCst);
    }

    pub fn is_cut(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Forwards connections to `to`. During a cut nothing passes in either direction. What was sent on a connection that was
/// there before is held and passes after the cut, also if its sender has closed it meanwhile: a cut does not lose bytes
/// unless their sender resets the connection. A connection that is opened during a cut is never made, so nothing that is
/// sent on it passes.
pub fn proxy(ip: &str, to: SocketAddr, cut: Cut) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let cut = cut.clone();
            thread::spawn(move || {
                if cut.is_cut() {
                    // The connection stays unanswered: neither end hears of the other.
                    while cut.is_cut() {
                        thread::sleep(Duration::from_millis(5));
                    }
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                let Ok(onward) = TcpStream::connect(to) else { return };
                let (Ok(a), Ok(b)) = (stream.try_clone(), onward.try_clone()) else { return };
                let (one, other) = (cut.clone(), cut);
                let back = thread::spawn(move || pass(b, a, other));
                pass(stream, onward, one);
                let _ = back.join();
            });
        }
    });
    addr
}

fn pass(mut from: TcpStream, mut to: TcpStream, cut: Cut) {
    let _ = to.set_nodelay(true);
    let mut buf = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buf);
        // Bytes that a cut holds up are lost if their sender resets the connection meanwhile.
        let mut is_reset = false;
        while cut.is_cut() {
            is_reset |= !matches!(from.take_error(), Ok(None));
            thread::sleep(Duration::from_millis(5));
        }
        if is_reset {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
        match read {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(bytes) if to.write_all(&buf[..bytes]).is_ok() => {}
            // A reset loses what it has not delivered.
            _ => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
