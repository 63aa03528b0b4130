//! The log of a busy process is bounded by kind, and tells how much it left out.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
};

use fuchsiamill_site::log_bound::{LINES_A_SECOND, LineBound};
use tracing_subscriber::{Layer, fmt::MakeWriter, layer::SubscriberExt};

#[derive(Clone, Default)]
struct Page(Arc<Mutex<Vec<u8>>>);

impl Write for Page {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Page {
    type Writer = Page;

    fn make_writer(&'a self) -> Page {
        self.clone()
    }
}

impl Page {
    fn lines(&self, kind: &str) -> usize {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines().filter(|it| it.contains(&format!("\"event\":\"{kind}\""))).count()
    }
}

/// A peak of one kind costs lines of that kind only.
#[test]
fn each_kind_has_its_own_bound() {
    let (page, bound) = (Page::default(), Box::leak(Box::<LineBound>::default()));
    let lines = tracing_subscriber::fmt::layer().json().flatten_event(true);
    let lines = lines.with_writer(page.clone()).with_filter(&*bound);
    let sent = LINES_A_SECOND * 3;
    tracing::subscriber::with_default(tracing_subscriber::registry().with(lines), || {
        for number in 0..sent {
            tracing::info!(event = "task-started", number);
        }
        tracing::info!(event = "job-ended", job = "j1");
    });
    let (busy, left_out) = (page.lines("task-started"), bound.left_out());
    // The lines may have been written in the seconds before and after a border.
    assert!((LINES_A_SECOND as usize..=2 * LINES_A_SECOND as usize).contains(&busy), "{busy}");
    assert_eq!(busy as u64 + left_out["task-started"], u64::from(sent));
    assert_eq!(left_out.len(), 1, "{left_out:?}");
    assert_eq!(page.lines("job-ended"), 1);
}
