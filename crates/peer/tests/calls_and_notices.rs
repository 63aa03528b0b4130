//! Calls and notifications between two tasks over a real socket.

use std::{future::Future, rc::Rc, time::Duration};

use fuchsiamill_peer::{Error, Failure, Link, PeerServer, Router, call_channel, notice_channel};
use monoio::{LegacyDriver, RuntimeBuilder, time::timeout};

const MAX_PEER_CONNECTIONS: usize = 3;

const PATIENCE: Duration = Duration::from_secs(10);

fn block_on<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap().block_on(future)
}

fn serve(router: Router) -> Link {
    let server = PeerServer::bind("127.0.0.1:0".parse().unwrap(), MAX_PEER_CONNECTIONS).unwrap();
    let addr = server.local_addr().unwrap();
    monoio::spawn(server.run(Rc::new(router)));
    Link::start(addr)
}

#[test]
fn calls_are_answered_each_with_its_own() {
    block_on(async {
        let mut router = Router::default();
        let (tx, mut rx) = call_channel();
        router.route("double", tx);
        monoio::spawn(async move {
            let mut held = Vec::new();
            while let Some(call) = rx.recv().await {
                held.extend(call.parse::<u32>());
                if held.len() == 2 {
                    held.drain(..).rev().for_each(|(number, reply)| reply.send(Ok(number * 2)));
                }
            }
        });
        let link = serve(router);
        let (one, two) = futures_util::future::join(
            link.call::<u32>("double", &1, PATIENCE),
            link.call::<u32>("double", &2, PATIENCE),
        )
        .await;
        assert_eq!((one, two), (Ok(2), Ok(4)));
    });
}

#[test]
fn failures_are_told_apart() {
    block_on(async {
        let mut router = Router::default();
        let (tx, mut rx) = call_channel();
        router.route("refuse", tx);
        let (silent, _keep) = call_channel();
        router.route("silent", silent);
        monoio::spawn(async move {
            while let Some((_, reply)) = rx.recv().await.and_then(|it| it.parse::<()>()) {
                reply.send::<()>(Err(Failure::refused("Ask later.")));
            }
        });
        let link = serve(router);
        let refused = link.call::<()>("refuse", &(), PATIENCE).await;
        assert!(matches!(refused, Err(Error::Refused { .. })), "{refused:?}");
        let lost = link.call::<()>("silent", &(), Duration::from_millis(50)).await;
        assert_eq!(lost, Err(Error::AnswerLost));
        let unknown = link.call::<()>("unknown", &(), PATIENCE).await;
        assert!(matches!(unknown, Err(Error::Refused { .. })), "{unknown:?}");
        let nobody = Link::start("127.0.0.1:1".parse().unwrap());
        let unreachable = nobody.call::<()>("refuse", &(), PATIENCE).await;
        assert!(matches!(unreachable, Err(Error::Unreachable(_))), "{unreachable:?}");
    });
}

#[test]
fn notices_arrive() {
    block_on(async {
        let mut router = Router::default();
        let (tx, mut rx) = notice_channel();
        router.route_notices("hb", tx);
        let link = serve(router);
        link.notify("hb", &serde_json::json!({ "from": "entry-0" }));
        let notice =
            timeout(PATIENCE, rx.recv()).await.expect("in time").expect("the router lives");
        assert_eq!(notice["from"], "entry-0");
    });
}

/// Guards against connections of peers that are gone, which take the place of those that are there.
#[test]
fn connection_unused_for_longest_makes_room() {
    block_on(async {
        let mut router = Router::default();
        let (tx, mut rx) = call_channel();
        router.route("double", tx);
        monoio::spawn(async move {
            while let Some(call) = rx.recv().await {
                let Some((n, reply)) = call.parse::<u32>() else { continue };
                reply.send(Ok(2 * n));
            }
        });
        let addr = "127.0.0.1:0".parse().unwrap();
        let server = PeerServer::bind(addr, MAX_PEER_CONNECTIONS).unwrap();
        let addr = server.local_addr().unwrap();
        monoio::spawn(server.run(Rc::new(router)));
        let mut links = Vec::new();
        for n in 0..2 * MAX_PEER_CONNECTIONS as u32 {
            let link = Link::start(addr);
            assert_eq!(link.call("double", &n, PATIENCE).await, Ok(2 * n));
            links.push(link);
        }
        let closed = monoio::net::TcpStream::connect(addr).await.unwrap();
        drop(closed);
        assert_eq!(
            links[0].call("double", &7, PATIENCE).await,
            Ok(14),
            "a closed one is made anew"
        );
    });
}
