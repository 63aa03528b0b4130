//! Small stand-ins of what surrounds fuchsiamill: the platform's services, backend servers and a
//! fault-injecting TCP proxy. They record what truly happened; tests judge from that record.

pub mod admin;
pub mod backend;
pub mod cli;
pub mod fleet;
pub mod platform;
pub mod proxy;
pub mod record;
pub mod reply;
pub mod run;
pub mod site;
pub mod story;
pub mod worker;
