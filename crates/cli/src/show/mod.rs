//! Answers as text for people.

pub mod jobs;
pub mod lists;
pub mod plans;
pub mod site;
pub mod story;
pub mod table;
pub mod time;
