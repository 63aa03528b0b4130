//! Messages between entry hosts: JSON-RPC calls and notifications in length-bounded frames.
//!
//! jsonrpsee dispatches the calls; sockets, frames and links are monoio tasks.

pub mod error;
pub mod frame;
pub mod link;
pub mod router;
pub mod server;

pub use error::{Error, Result, Unreached};
pub use link::Link;
pub use router::{
    Call, CallReceiver, CallSender, Failure, Notice, NoticeReceiver, NoticeSender, Reply, Router,
    call_channel, notice_channel,
};
pub use server::PeerServer;
