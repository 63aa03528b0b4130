//! The peer port: reads calls and notifications of the other entry hosts and answers them.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use fuchsiamill_http::accept::Acceptor;
use futures_util::future::{Either, select};
use monoio::{
    io::{OwnedWriteHalf, Splitable},
    net::TcpStream,
    time::Instant,
};
use tokio::sync::{Notify, mpsc};

use crate::{frame, router::Router};

/// The listening peer port.
pub struct PeerServer {
    acceptor: Acceptor,
    max_connections: usize,
    open: Rc<RefCell<Vec<Rc<Conversation>>>>,
}

/// A connection is closed to make room only if it was unused for this long: longer than any call takes, so that none is
/// under way there.
const MIN_UNUSED: Duration = Duration::from_secs(30);

/// A connection of a peer.
struct Conversation {
    peer: SocketAddr,
    /// When it was made or a frame last arrived.
    last_used: Cell<Instant>,
    close: Notify,
}

impl PeerServer {
    /// Binds `addr`; port 0 takes a free port. If there are more than `max_connections`, the one that has been unused for
    /// longest is closed, if any has been unused for long: its peer may be gone without having closed it.
    pub fn bind(addr: SocketAddr, max_connections: usize) -> io::Result<Self> {
        Ok(Self { acceptor: Acceptor::bind(addr)?, max_connections, open: Rc::default() })
    }

    /// The bound address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.acceptor.local_addr()
    }

    /// Accepts for ever.
    pub async fn run(self, router: Rc<Router>) {
        loop {
            let (stream, peer) = self.acceptor.accept().await;
            let conversation = Rc::new(Conversation {
                peer,
                last_used: Cell::new(Instant::now()),
                close: Notify::new(),
            });
            self.make_room();
            self.open.borrow_mut().push(conversation.clone());
            let (open, router) = (self.open.clone(), router.clone());
            monoio::spawn(async move {
                converse(stream, &conversation, router).await;
                open.borrow_mut().retain(|it| !Rc::ptr_eq(it, &conversation));
            });
        }
    }

    fn make_room(&self) {
        let mut open = self.open.borrow_mut();
        if open.len() < self.max_connections {
            return;
        }
        let is_unused = |it: &usize| open[*it].last_used.get().elapsed() >= MIN_UNUSED;
        let oldest = (0..open.len()).filter(is_unused).min_by_key(|it| open[*it].last_used.get());
        if let Some(conversation) = oldest.map(|it| open.swap_remove(it)) {
            tracing::warn!(event = "peer-connection-closed", peer = %conversation.peer, open = open.len());
            conversation.close.notify_one();
        }
    }
}

async fn converse(stream: TcpStream, conversation: &Conversation, router: Rc<Router>) {
    let _ = stream.set_nodelay(true);
    let (mut read, write) = stream.into_split();
    let (tx, rx) = mpsc::unbounded_channel();
    monoio::spawn(write_answers(write, rx));
    loop {
        let frame =
            match select(pin!(frame::read(&mut read)), pin!(conversation.close.notified())).await {
                Either::Left((Ok(frame), _)) => frame,
                Either::Left((Err(_), _)) | Either::Right(_) => return,
            };
        conversation.last_used.set(Instant::now());
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
