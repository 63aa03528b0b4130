//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines to `record.txt`.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { begun: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Writes one line, and prints it.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.begun.elapsed().as_secs_f64());
        self.line(text);
    }
}
