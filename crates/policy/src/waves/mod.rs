//! Carries out confirmed plans: the life cycle of hosts, the evidence for each step and what to do next.

mod evidence;
mod host_turn;
mod lifecycle;
mod limits;
mod progress;
mod seen;
mod turn;

pub use evidence::{
    Back, Empty, Health, NotEmpty, Observations, Passed, Probe, Reading, Restart, Seen, Tasks,
};
pub use host_turn::{HostCx, HostNext, HostWait};
pub use lifecycle::{Absent, AnyStage, Checking, Draining, Rebooting, Serving, SetAside, Stage};
pub use limits::Limits;
pub use progress::{Stand, StepStand, stand};
pub use turn::{Action, Runner, Turn, Wait};
