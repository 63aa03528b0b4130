//! Carries out confirmed plans: the host life cycle, the proofs that each transition needs and the choice
//! of the next actions.

mod evidence;
mod host_turn;
mod lifecycle;
mod limits;
mod progress;
mod seen;
mod turn;

pub use evidence::{
    Empty, Health, NotEmpty, Observations, Passed, Probe, Reading, Restart, Restarted, Seen, Tasks,
};
pub use host_turn::{HostCx, HostNext, HostWait};
pub use lifecycle::{Absent, AnyStage, Checking, Draining, Rebooting, Serving, SetAside, Stage};
pub use limits::Limits;
pub use progress::{HostProgress, StepProgress, host_progress};
pub use turn::{Action, Runner, Turn, Wait};
