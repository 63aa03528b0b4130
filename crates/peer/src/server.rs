//! The peer port: reads calls and notifications of the other entry hosts and answers them.

use std::{io, net::SocketAddr, rc::Rc};

use fuchsiamill_http::accept::Acceptor;
use monoio::{
    io::{OwnedWriteHalf, Splitable},
    net::TcpStream,
};
use tokio::sync::mpsc;

use crate::{frame, router::Router};

/// The listening peer port.
pub struct PeerServer {
    acceptor: Acceptor,
}

impl PeerServer {
    /// Binds `addr`; port 0 takes a free port.
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        Ok(Self { acceptor: Acceptor::bind(addr)? })
    }

    /// The bound address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.acceptor.local_addr()
    }

    /// Accepts for ever.
    pub async fn run(self, router: Rc<Router>) {
        loop {
            let (stream, _) = self.acceptor.accept().await;
            monoio::spawn(converse(stream, router.clone()));
        }
    }
}

async fn converse(stream: TcpStream, router: Rc<Router>) {
    let _ = stream.set_nodelay(true);
    let (mut read, write) = stream.into_split();
    let (tx, rx) = mpsc::unbounded_channel();
    monoio::spawn(write_answers(write, rx));
    while let Ok(frame) = frame::read(&mut read).await {
        let Ok(text) = String::from_utf8(frame) else { return };
        let (router, tx) = (router.clone(), tx.clone());
        monoio::spawn(async move {
            if let Some(answer) = router.dispatch(&text).await {
                let _ = tx.send(answer);
            }
        });
    }
}

async fn write_answers(
    mut write: OwnedWriteHalf<TcpStream>,
    mut rx: mpsc::UnboundedReceiver<String>,
) {
    while let Some(answer) = rx.recv().await {
        if frame::write(&mut write, answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
