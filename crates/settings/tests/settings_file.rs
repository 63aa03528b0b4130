//! Settings files that are taken and refused.

use std::path::Path;

use fuchsiamill_settings::{Error, Settings};

const LEAST: &str = "\
[entry]
name = e1
region = north
data-centre = dc1
caller = 127.0.0.1:0
operator = 127.0.0.1:0
peer = 127.0.0.1:0
metrics = 127.0.0.1:0

[platform]
table = 127.0.0.1:7001
objects = 127.0.0.1:7002
hosts = 127.0.0.1:7003

[operators]
mei = 1111111111111111111111111111111111111111111111111111111111111111
";

fn refusal(text: &str) -> Error {
    Settings::parse("site.ini", text).expect_err("the file must be refused")
}

fn with(section: &str, line: &str) -> String {
    let head = format!("[{section}]\n");
    if LEAST.contains(&head) {
        LEAST.replace(&head, &format!("{head}{line}\n"))
    } else {
        format!("{LEAST}\n{head}{line}\n")
    }
}

#[test]
fn least_file_takes_defaults() {
    let settings = Settings::parse("site.ini", LEAST).unwrap();
    assert_eq!(settings.entry.name.as_str(), "e1");
    assert_eq!(settings.timing.standing_ms, 2_000);
    assert_eq!(settings.callers.longest_deadline_ms, 30_000);
    assert!(settings.peers.0.is_empty());
    assert_eq!(settings.log_level, log::LevelFilter::Info);
}

#[test]
fn every_key_of_the_page_is_known() {
    let page = include_str!("../../../docs/settings.md");
    let mut section = String::new();
    let mut seen = 0;
    for line in page.lines() {
        if let Some(name) = line.strip_prefix("## `[") {
            section = name.trim_end_matches("]`").into();
        }
        let mut cells = line.split('|').map(str::trim).skip(1);
        let (Some(key), Some(default)) = (cells.next(), cells.next()) else { continue };
        let key = key.trim_matches('`');
        let is_default = !default.is_empty() && default.starts_with('`');
        if !is_default {
            continue;
        }
        let line = format!("{key} = {}", default.trim_matches('`'));
        let text = with(&section, &line);
        let settings = Settings::parse("site.ini", &text);
        let settings = settings.unwrap_or_else(|e| panic!("[{section}] {line}: {e}"));
        let plain = Settings::parse("site.ini", LEAST).unwrap();
        assert_eq!(format!("{settings:?}"), format!("{plain:?}"), "[{section}] {line}");
        seen += 1;
    }
    assert_eq!(seen, 57);
}

#[test]
fn example_on_the_page_is_taken() {
    let page = include_str!("../../../docs/settings.md");
    let example = page.split("```ini\n").nth(1).unwrap().split("```").next().unwrap();
    let settings = Settings::parse("site.ini", example).unwrap();
    assert!(settings.peers.0.contains_key(&settings.entry.name));
}

#[test]
fn messages_name_place_and_remedy() {
    let cases = [
        (
            LEAST.replace("region = north\n", ""),
            "site.ini, section 'entry': key 'region' is missing; add 'region = VALUE', allowed is a name of 1 to 64 letters, digits, '-', '_' and '.'.",
        ),
        (
            with("timing", "suspect = 3"),
            "site.ini, section 'timing': key 'suspect' is not known; allowed are heartbeat-ms, standing-ms, suspect-ms, drift-percent, loan-ms, start-by-ms, store-read-ms, shutdown-notice-ms, shutdown-ms; rename or remove it.",
        ),
        (
            with("callers", "head-bytes = 12"),
            "site.ini, section 'callers', key 'head-bytes': '12' is not allowed; set it to a whole number from 1024 to 1048576.",
        ),
        (
            with("callers", "connections = many"),
            "site.ini, section 'callers', key 'connections': 'many' is not allowed; set it to a whole number from 1 to 65536.",
        ),
        (
            with("log", "level = loud"),
            "site.ini, section 'log', key 'level': 'loud' is not allowed; set it to off, error, warn, info, debug or trace.",
        ),
        (
            with("timings", "standing-ms = 1"),
            "site.ini: section 'timings' is not known; allowed are entry, peers, platform, callers, claims, jobs, operators, timing, retries, weights, maintenance, log; rename or remove it.",
        ),
        (
            with("timing", "suspect-ms = 2000"),
            "site.ini, section 'timing', key 'suspect-ms': this does not fit the other settings; set it below 'standing-ms'.",
        ),
        (
            with("timing", "shutdown-ms = 9000"),
            "site.ini, section 'timing', key 'shutdown-ms': this does not fit the other settings; set it to at least 33000, the sum of 'shutdown-notice-ms' and 'longest-deadline-ms', so that a shutdown cuts no request.",
        ),
        (
            with("peers", "e2 = 127.0.0.1:9000"),
            "site.ini, section 'peers', key 'e1': this does not fit the other settings; add a line for this entry host itself: 'e1 = IP:PORT'.",
        ),
        (
            with("entry", "name = e9"),
            "site.ini, section 'entry': key 'name' is given twice; keep one.",
        ),
        (
            format!("{LEAST}\n[entry]\n"),
            "site.ini, section 'entry': the section is given twice; keep one.",
        ),
        (
            format!("level = info\n{LEAST}"),
            "site.ini: key 'level' stands before the first section; move it below a '[section]' line.",
        ),
    ];
    for (text, message) in cases {
        assert_eq!(refusal(&text).to_string(), message);
    }
}

#[test]
fn refused_operator_key_stays_out_of_the_message() {
    let key = "the-key-itself-given-by-mistake";
    let text = with("operators", &format!("lin = {key}"));
    let message = refusal(&text).to_string();
    assert!(message.contains("'lin'") && message.contains("fuchsiamill key digest"));
    assert!(!message.contains(key), "{message}");
}

#[test]
fn operators_are_needed_and_distinct() {
    let none = LEAST.split("[operators]").next().unwrap();
    assert!(matches!(refusal(none), Error::Missing { section, .. } if section == "operators"));
    let digest = "1".repeat(64);
    let twice = with("operators", &format!("lin = {digest}"));
    assert!(matches!(refusal(&twice), Error::Clash { key, .. } if key == "mei"));
}

#[test]
fn broken_files_are_refused() {
    let syntax = refusal("[entry]\nname = e1\n= 3\n");
    assert!(matches!(syntax, Error::Syntax { line: 3, .. }), "{syntax}");
    let missing = Settings::load(Path::new("/nonexistent/site.ini")).unwrap_err();
    assert!(matches!(missing, Error::Unreadable { .. }), "{missing}");
    let zero = refusal(&LEAST.replace("table = 127.0.0.1:7001", "table = 127.0.0.1:0"));
    assert!(matches!(zero, Error::Value { key, .. } if key == "table"));
}
