//! A log that tests read.

#![allow(dead_code, missing_docs)]

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
};

use tracing_subscriber::{fmt::MakeWriter, layer::SubscriberExt};

#[derive(Clone, Default)]
pub struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogBuffer {
    type Writer = LogBuffer;

    fn make_writer(&'a self) -> LogBuffer {
        self.clone()
    }
}

impl LogBuffer {
    pub fn lines(&self, kind: &str) -> usize {
        self.text_of(kind).len()
    }

    /// Returns the lines of this kind.
    pub fn text_of(&self, kind: &str) -> Vec<String> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        let is_of_kind = |it: &&str| it.contains(&format!("\"event\":\"{kind}\""));
        text.lines().filter(is_of_kind).map(String::from).collect()
    }
}

/// Returns what `work` logs.
pub fn logged(work: impl FnOnce()) -> LogBuffer {
    let log = LogBuffer::default();
    let lines = tracing_subscriber::fmt::layer().json().flatten_event(true);
    let lines = lines.with_writer(log.clone());
    tracing::subscriber::with_default(tracing_subscriber::registry().with(lines), work);
    log
}
