//! The platform: table service, object store and host list on one port, with faults on demand.

mod hosts;
mod restarts;
mod store;
mod told;

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use fuchsiamill_http::{Bounds, Handler, Incoming, Response};
use fuchsiamill_ports::{Commit, CommitOutcome, Range, RestartOrder};
use http::{Method, StatusCode};
use monoio::time::sleep;

use crate::{admin::PlatformFault, record::PlatformRecord, reply, story::Story};

/// What the platform is called in a story.
const NAME: &str = "platform";
const LARGEST_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Starts the platform on the current runtime.
pub fn start(listen: SocketAddr) -> io::Result<SocketAddr> {
    start_telling(listen, Story::default())
}

/// Like [`start`]; tells `story` its commits and faults.
pub fn start_telling(listen: SocketAddr, story: Story) -> io::Result<SocketAddr> {
    let bounds = Bounds { body_bytes: LARGEST_BODY_BYTES, ..Bounds::default() };
    reply::serve(listen, bounds, Rc::new(Platform::new(story)))
}

struct Platform {
    began: Instant,
    restarts: RefCell<restarts::Restarts>,
    store: RefCell<store::Store>,
    hosts: RefCell<hosts::HostList>,
    record: RefCell<PlatformRecord>,
    fault: Cell<PlatformFault>,
    story: Story,
}

enum Delivery {
    Answer(Response),
    Lost,
}

impl Handler for Platform {
    async fn handle(&self, incoming: Incoming) -> Response {
        if let Some(path) = incoming.request.path().strip_prefix("/admin/") {
            return self.admin(path, &incoming.request.body);
        }
        match self.fault.get() {
            PlatformFault::Down => {
                self.record.borrow_mut().refused += 1;
                return Response::text(StatusCode::SERVICE_UNAVAILABLE, "down");
            }
            PlatformFault::Silent => {
                self.record.borrow_mut().refused += 1;
                return reply::never(incoming).await;
            }
            PlatformFault::Slow { ms } => sleep(Duration::from_millis(ms)).await,
            PlatformFault::None | PlatformFault::LoseAnswers { .. } => {}
        }
        match self.serve(&incoming) {
            Delivery::Answer(response) => {
                self.record.borrow_mut().bytes +=
                    (response.body.len() + incoming.request.body.len()) as u64;
                response
            }
            Delivery::Lost => reply::never(incoming).await,
        }
    }
}

impl Platform {
    fn new(story: Story) -> Self {
        Self {
            story,
            began: Instant::now(),
            restarts: RefCell::default(),
            store: RefCell::default(),
            hosts: RefCell::default(),
            record: RefCell::default(),
            fault: Cell::default(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn restart(&self, order: &RestartOrder) -> Response {
        let (state, begun) = self.restarts.borrow_mut().order(order, self.now_ms());
        self.record.borrow_mut().restarts.extend(begun);
        reply::value(&state)
    }

    fn serve(&self, incoming: &Incoming) -> Delivery {
        let request = &incoming.request;
        let response = match (&request.method, request.path()) {
            (&Method::POST, "/table/commit") => return self.commit(incoming),
            (&Method::POST, "/table/get") => {
                self.record.borrow_mut().reads += 1;
                reply::with_body(&request.body, |keys: Vec<String>| {
                    reply::value(&self.store.borrow().get(&keys))
                })
            }
            (&Method::POST, "/table/range") => {
                self.record.borrow_mut().reads += 1;
                reply::with_body(&request.body, |range: Range| {
                    reply::value(&self.store.borrow().range(&range))
                })
            }
            (&Method::POST, "/hosts/restart") => {
                reply::with_body(&request.body, |order| self.restart(&order))
            }
            (&Method::GET, "/hosts") => reply::value(&self.hosts.borrow_mut().list()),
            (method, path) => match path.strip_prefix("/objects/") {
                Some(name) => self.object(method, name, &request.body),
                None => Response::empty(StatusCode::NOT_FOUND),
            },
        };
        Delivery::Answer(response)
    }

    fn commit(&self, incoming: &Incoming) -> Delivery {
        let commit: Commit = match serde_json::from_slice(&incoming.request.body) {
            Ok(commit) => commit,
            Err(e) => {
                return Delivery::Answer(Response::text(StatusCode::BAD_REQUEST, e.to_string()));
            }
        };
        let outcome = self.store.borrow_mut().commit(&commit);
        let told = || told::commit(incoming.peer, &commit, &outcome);
        self.story.tell(NAME, told);
        let mut record = self.record.borrow_mut();
        match outcome {
            CommitOutcome::Conflict { .. } => record.conflicts += 1,
            CommitOutcome::Done { .. } => {
                record.commits += 1;
                record.rows_written += (commit.puts.len() + commit.deletes.len()) as u64;
                if let PlatformFault::LoseAnswers { count: count @ 1.. } = self.fault.get() {
                    self.fault.set(PlatformFault::LoseAnswers { count: count - 1 });
                    record.answers_lost += 1;
                    self.story.tell(NAME, || format!("loses the answer to {}", incoming.peer));
                    return Delivery::Lost;
                }
            }
        }
        Delivery::Answer(reply::value(&outcome))
    }

    fn object(&self, method: &Method, name: &str, body: &[u8]) -> Response {
        match *method {
            Method::GET => reply::value(&self.store.borrow().object(name)),
            Method::POST => reply::with_body(body, |value| {
                self.store.borrow_mut().put_object(name, value);
                reply::value(&())
            }),
            Method::DELETE => {
                self.store.borrow_mut().delete_object(name);
                reply::value(&())
            }
            _ => Response::empty(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn admin(&self, path: &str, body: &[u8]) -> Response {
        match path {
            "fault" => reply::with_body(body, |fault| {
                self.story.tell(NAME, || format!("fault {fault:?}"));
                self.fault.set(fault);
                reply::value(&())
            }),
            "liveness" => reply::with_body(body, |set| {
                self.hosts.borrow_mut().set(set);
                reply::value(&())
            }),
            "restart" => reply::with_body(body, |set| {
                self.restarts.borrow_mut().set(set);
                reply::value(&())
            }),
            "record" => {
                let mut record = self.record.borrow_mut();
                record.now_ms = self.now_ms();
                reply::value(&*record)
            }
            "rows" => reply::with_body(body, |range: Range| {
                reply::value(&self.store.borrow().range(&range))
            }),
            _ => Response::empty(StatusCode::NOT_FOUND),
        }
    }
}
