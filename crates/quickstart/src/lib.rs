//! The quick start: a small site in one process.

pub mod caller;
pub mod cli;
pub mod operator;
pub mod run;
pub mod site;
