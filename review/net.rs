//! HTTP/1.1 over TCP for the stand-ins: a server with a thread for each connection, and a client.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as received.
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Returns the path, without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pair = query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name)?;
        Some(decode(pair.1))
    }

    /// Returns a header's value.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map_or("", |it| &it.1)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%'
            && let Some(byte) =
                text.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok())
        {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// What a handler does with a request.
pub enum Reply {
    /// Answers with this status and JSON body.
    Answer(u16, String),
    /// Closes the connection without an answer.
    Drop,
}

/// Handles requests; called by many threads.
pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// Serves a listener until the process ends or `is_open` turns false.
pub fn serve(
    listener: TcpListener,
    is_open: Arc<dyn Fn() -> bool + Send + Sync>,
    handler: Handler,
) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            if !is_open() {
                return;
            }
            let Ok(stream) = stream else { continue };
            let (handler, is_open) = (handler.clone(), is_open.clone());
            thread::spawn(move || serve_connection(stream, &is_open, &handler));
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    is_open: &Arc<dyn Fn() -> bool + Send + Sync>,
    handler: &Handler,
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if !is_open() {
            return;
        }
        match handler(&request) {
            Reply::Drop => return,
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} S\r\ncontent-type: application/json\r\n\
                     content-length: {}\r\n\r\n",
                    body.len()
                );
                if !is_open() || writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let first = read_line(reader)?;
    let mut words = first.split(' ');
    let _method = words.next()?;
    let target = words.next()?.to_owned();
    let (headers, body) = read_rest(reader)?;
    Some(Request { target, headers, body })
}

type Rest = (Vec<(String, String)>, String);

fn read_rest(reader: &mut BufReader<TcpStream>) -> Option<Rest> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|it| it.0.eq_ignore_ascii_case("content-length"));
    let mut body = vec![0; length.map_or(0, |it| it.1.parse().unwrap_or(0))];
    reader.read_exact(&mut body).ok()?;
    Some((headers, String::from_utf8_lossy(&body).into_owned()))
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let count = reader.read_line(&mut line).ok()?;
    (count > 0).then(|| line.trim_end().to_owned())
}

/// Sends a request and returns the status and body of the answer; `None` without an answer.
pub fn send(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    time: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&addr, time).ok()?;
    stream.set_read_timeout(Some(time)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let mut head = format!("{method} {target} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("content-type: application/json\r\ncontent-length: {}\r\n\r\n", body.len());
    writer.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let status = read_line(&mut reader)?.split(' ').nth(1)?.parse().ok()?;
    let (_, body) = read_rest(&mut reader)?;
    Some((status, body))
}

/// Returns the loopback address of this process, which differs from that of other plays on the machine.
pub fn own_ip() -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 1 + (pid >> 16) as u8 % 250, (pid >> 8) as u8, 1 + pid as u8 % 250)
}

/// Returns a loopback address with a free port.
pub fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind((own_ip(), 0)).expect("a loopback port is free");
    listener.local_addr().expect("a bound listener has an address")
}
