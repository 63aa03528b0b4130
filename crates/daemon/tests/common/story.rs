//! The story of a site that a failing test keeps: what callers, stand-ins and entry hosts did, by one clock.

use std::{fs, path::PathBuf, thread};

use fuchsiamill_standin::story::{Line, Story};

/// Writes the story to a file, named by the test and its seed, when it is dropped by a test that fails.
pub struct StoryKeeper {
    pub story: Story,
    /// The seed of the test's load, if it has one.
    pub seed: Option<u64>,
    /// The name and the log of each entry host.
    pub logs: Vec<(String, PathBuf)>,
}

impl StoryKeeper {
    fn write(&self) -> std::io::Result<PathBuf> {
        let logged = self.logs.iter().flat_map(|(name, file)| logged(name, file));
        let told = self.story.lines();
        let began = told.first().map(|it| it.time.clone()).unwrap_or_default();
        let mut lines: Vec<Line> = told.into_iter().chain(logged).collect();
        // A time of the day below the first one is of the next day. The order of the stand-ins' lines is kept.
        lines.sort_by(|a, b| (a.time < began, &a.time).cmp(&(b.time < began, &b.time)));
        let text: String =
            lines.iter().map(|it| format!("{} {}: {}\n", it.time, it.who, it.what)).collect();
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(self.file_name());
        fs::write(&file, text)?;
        Ok(file)
    }

    fn file_name(&self) -> String {
        let test = thread::current().name().unwrap_or("test").replace("::", "-");
        let seed = self.seed.map_or("no-seed".to_owned(), |it| format!("seed-{it}"));
        format!("failed-{test}-{seed}-{}.story", std::process::id())
    }
}

impl Drop for StoryKeeper {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("the story of the site: {:?}", self.write());
        }
    }
}

/// The lines of a daemon's log, which begin with date and time.
fn logged(name: &str, file: &PathBuf) -> Vec<Line> {
    let text = fs::read_to_string(file).unwrap_or_default();
    let line = |line: &str| {
        let (time, what) = line.split_once(' ')?;
        let time = time.split_once('T')?.1.trim_end_matches('Z');
        Some(Line { time: time.into(), who: name.into(), what: what.into() })
    };
    text.lines().filter_map(line).collect()
}
