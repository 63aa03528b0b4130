//! What the quick start shows, step by step.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle, sleep},
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use serde_json::Value;

use crate::{
    caller,
    cli::Args,
    operator::Operator,
    site::{SERVICE, Site, TEAM_KEY},
};

const RACK: &str = "rack-0";
const PATIENCE: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(50);

/// Brings the site up, shows a request answered and drains a rack under load.
pub fn run(args: &Args) -> Result<()> {
    let site = Site::start()?;
    println!("A site of {} entry hosts on this machine:", site.entries.len());
    for entry in &site.entries {
        println!(
            "  callers {}, operators {}, metrics {}",
            entry.caller, entry.operator, entry.metrics
        );
    }
    wait_until("every entry host is ready", || {
        site.entries.iter().all(|it| caller::is_ready(it.metrics))
    })?;
    show_request(&site)?;
    let operator = Operator::new(&site.entries)?;
    show_drain(&site, &operator)?;
    if args.stay {
        println!("The site stays up. Try: fuchsiamill {} status", operator.access());
        loop {
            thread::park();
        }
    }
    Ok(())
}

fn show_request(site: &Site) -> Result<()> {
    let addr = site.entries[0].caller;
    println!(
        "\n$ curl http://{addr}/v1/services/{SERVICE} -H 'authorization: Bearer {TEAM_KEY}' -d 'swap 7'"
    );
    wait_until("a request is answered", || {
        caller::work(SERVICE, TEAM_KEY, "swap 7")
            .is_ok_and(|it| caller::send(addr, it).is_ok_and(|it| it.status.is_success()))
    })?;
    let response = caller::send(addr, caller::work(SERVICE, TEAM_KEY, "swap 7")?)?;
    println!("{} {}\n", response.status, String::from_utf8_lossy(&response.body));
    Ok(())
}

fn show_drain(site: &Site, operator: &Operator) -> Result<()> {
    let load = Load::start(site);
    operator.show(&["plan", "drain-rack", RACK])?;
    let plans = operator.json(&["plans"])?;
    let plan = plans[0]["plan"]["id"].as_str();
    let plan = plan.context("The plan has no id.")?.to_owned();
    operator.show(&["confirm", &plan])?;
    wait_until("the rack is drained", || is_done(operator, &plan))?;
    operator.show(&["plans"])?;
    operator.show(&["host", "list", "--rack", RACK])?;
    let (answered, failed) = load.stop()?;
    println!("While the rack drained, {answered} requests were answered and {failed} were not.");
    ensure!(failed == 0, "A request was lost.");
    Ok(())
}

fn is_done(operator: &Operator, plan: &str) -> bool {
    let done = |it: &Value| it["plan"]["id"] == plan && it["stage"] == "ended";
    operator
        .json(&["plans"])
        .is_ok_and(|plans| plans.as_array().is_some_and(|it| it.iter().any(done)))
}

/// A caller that sends one request after the other through every entry host in turn.
struct Load {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<(u32, u32)>,
}

impl Load {
    fn start(site: &Site) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let addresses: Vec<_> = site.entries.iter().map(|it| it.caller).collect();
        let stopped = stop.clone();
        let thread = thread::spawn(move || {
            let (mut answered, mut failed) = (0, 0);
            for addr in addresses.into_iter().cycle() {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let sent =
                    caller::work(SERVICE, TEAM_KEY, "swap 8").map(|it| caller::send(addr, it));
                match sent {
                    Ok(Ok(response)) if response.status.is_success() => answered += 1,
                    _ => failed += 1,
                }
            }
            (answered, failed)
        });
        Self { stop, thread }
    }

    fn stop(self) -> Result<(u32, u32)> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().map_err(|_| anyhow::anyhow!("The caller's thread ended."))
    }
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> Result<()> {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        ensure!(Instant::now() < end, "Not within {PATIENCE:?}: {what}.");
        sleep(STEP);
    }
    Ok(())
}
