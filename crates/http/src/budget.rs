//! The budget of bytes and time in front of the decoder.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use monoio::{
    BufResult,
    buf::{IoBufMut, IoVecBufMut},
    io::{AsyncReadRent, CancelableAsyncReadRent, Canceller},
    time::timeout,
};
use tokio::sync::Notify;

use crate::{bounds::Bounds, error::Malformed, progress::Progress};

const CHUNK_OVERHEAD_FACTOR: usize = 2;
const CHUNK_OVERHEAD_BYTES: usize = 1024;

/// What is left of the bytes and the time for the message that is being read.
#[derive(Debug)]
pub struct ReadBudget {
    bounds: Bounds,
    bytes_left: Cell<usize>,
    deadline: Cell<Instant>,
    started: Cell<bool>,
    breach: Cell<Option<Malformed>>,
    interrupted: Cell<bool>,
    interrupt: Notify,
    progress: RefCell<Progress>,
}

impl ReadBudget {
    /// A budget for a connection under `bounds`.
    pub fn new(bounds: Bounds) -> Rc<Self> {
        Rc::new(Self {
            bounds,
            bytes_left: Cell::new(bounds.head_bytes),
            deadline: Cell::new(Instant::now() + bounds.idle_time),
            started: Cell::new(false),
            breach: Cell::new(None),
            interrupted: Cell::new(false),
            interrupt: Notify::new(),
            progress: RefCell::default(),
        })
    }

    /// Begins a new message, which may take `wait` to send its first byte.
    pub fn start_head(&self, wait: Duration) {
        self.bytes_left.set(self.bounds.head_bytes);
        self.deadline.set(Instant::now() + wait);
        self.started.set(false);
        self.interrupted.set(false);
    }

    /// Begins the body of the message.
    pub fn start_body(&self, time: Duration) {
        self.bytes_left.set(self.bounds.body_bytes * CHUNK_OVERHEAD_FACTOR + CHUNK_OVERHEAD_BYTES);
        self.deadline.set(Instant::now() + time);
        self.started.set(true);
    }

    /// Whether bytes of the message have arrived.
    pub fn has_message_begun(&self) -> bool {
        self.started.get()
    }

    /// The bound that was broken, if one was.
    pub fn breach(&self) -> Option<Malformed> {
        self.breach.get()
    }

    /// Ends a read that is waiting; what it has read so far stays in the decoder.
    pub fn interrupt(&self) {
        self.interrupted.set(true);
        self.interrupt.notify_waiters();
    }

    /// Notes in `progress` from now on when bytes arrive.
    pub fn observe(&self, progress: Progress) {
        self.progress.replace(progress);
    }

    fn refuse(&self, breach: Malformed) -> io::Error {
        self.breach.set(Some(breach));
        io::Error::other("a bound of the connection was broken")
    }

    fn took(&self, bytes: usize) {
        self.progress.borrow().note();
        self.bytes_left.set(self.bytes_left.get().saturating_sub(bytes));
        if !self.started.replace(true) {
            self.deadline.set(Instant::now() + self.bounds.head_time);
        }
    }

    fn late(&self) -> Malformed {
        if self.started.get() { Malformed::TooSlow } else { Malformed::Idle }
    }
}

/// A reader that keeps to a [`ReadBudget`].
pub struct BoundedRead<R> {
    inner: R,
    budget: Rc<ReadBudget>,
}

impl<R> BoundedRead<R> {
    /// Puts `budget` in front of `inner`.
    pub fn new(inner: R, budget: Rc<ReadBudget>) -> Self {
        Self { inner, budget }
    }
}

impl<R: CancelableAsyncReadRent> AsyncReadRent for BoundedRead<R> {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.budget.bytes_left.get() == 0 {
            return (Err(self.budget.refuse(Malformed::TooLarge)), buf);
        }
        if self.budget.interrupted.get() {
            return (Err(io::Error::other("the read was interrupted")), buf);
        }
        let left = self.budget.deadline.get().saturating_duration_since(Instant::now());
        let canceller = Canceller::new();
        let mut read = pin!(self.inner.cancelable_read(buf, canceller.handle()));
        let interrupted = pin!(self.budget.interrupt.notified());
        let e = match timeout(left, select(&mut read, interrupted)).await {
            Ok(Either::Left(((result, buf), _))) => {
                if let Ok(bytes @ 1..) = result {
                    self.budget.took(bytes);
                }
                return (result, buf);
            }
            Ok(Either::Right(_)) => io::Error::other("the read was interrupted"),
            Err(_) => self.budget.refuse(self.budget.late()),
        };
        canceller.cancel();
        let (result, buf) = read.await;
        match result {
            Ok(bytes @ 1..) => {
                self.budget.took(bytes);
                (Ok(bytes), buf)
            }
            _ => (Err(e), buf),
        }
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        self.inner.readv(buf).await
    }
}
