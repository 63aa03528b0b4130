//! The cluster task: sends heartbeats, takes those of the others, proposes and installs views.

use std::{rc::Rc, time::Duration};

use fuchsiamill_model::EntryName;
use fuchsiamill_policy::membership::{Heartbeat, HeartbeatAction, View, ViewAction};
use monoio::time::sleep;

use super::{
    ClusterHandle, Standing,
    rpc::{FETCH, Fetch, HEARTBEAT, INSTALL, Inbox, PROPOSE, Promise, read_view},
};
use crate::cx::Cx;

const STEP_TIME: Duration = Duration::from_millis(50);

/// Starts the tasks of the cluster.
pub fn start(cx: &Rc<Cx>, inbox: Inbox) {
    monoio::spawn(beat(cx.clone()));
    monoio::spawn(step(cx.clone()));
    monoio::spawn(follow_configuration(cx.clone()));
    monoio::spawn(take_heartbeats(cx.clone(), inbox.heartbeats));
    monoio::spawn(take_proposals(cx.clone(), inbox.proposals));
    monoio::spawn(take_installs(cx.clone(), inbox.installs));
    monoio::spawn(answer_fetches(cx.clone(), inbox.fetches));
}

async fn beat(cx: Rc<Cx>) {
    let period = Duration::from_millis(cx.cluster.heartbeat);
    loop {
        cx.cluster.begin_round();
        for peer in cx.cluster.peers() {
            cx.cluster.send_heartbeat(&peer);
        }
        sleep(period).await;
    }
}

async fn step(cx: Rc<Cx>) {
    let mut before = Standing::NoConfiguration;
    loop {
        let now = cx.clock.now();
        let action = cx.cluster.membership.borrow_mut().view_step(now);
        match action {
            ViewAction::Wait => {}
            ViewAction::Propose(view) => propose(&cx, view),
            ViewAction::Install(view) => {
                log::info!("view {} installed with {} entry hosts", view.id.0, view.members.len());
                for peer in cx.cluster.peers() {
                    cx.cluster.notify(&peer, INSTALL, &view);
                }
                cx.cluster.show_view(&cx);
            }
        }
        before = tell_standing(&cx, before);
        sleep(STEP_TIME).await;
    }
}

fn tell_standing(cx: &Cx, before: Standing) -> Standing {
    let standing = cx.cluster.standing();
    if standing != before {
        cx.metrics.serving.record(u64::from(standing == Standing::Serving), &[]);
        log::info!("standing: {}", standing.refusal().unwrap_or("serving"));
    }
    standing
}

fn propose(cx: &Rc<Cx>, view: View) {
    for peer in cx.cluster.record().into_iter().filter(|it| it != cx.cluster.me()) {
        let (cx, view) = (cx.clone(), view.clone());
        monoio::spawn(async move {
            let Ok(promise) = cx.cluster.call(&peer, PROPOSE, &view).await else { return };
            let mut membership = cx.cluster.membership.borrow_mut();
            match promise {
                Promise::Given { ack } => {
                    membership.handle_ack(cx.clock.now(), peer, &view.id, ack)
                }
                Promise::Refused { promised } => membership.handle_refusal(&promised),
            }
        });
    }
}

async fn follow_configuration(cx: Rc<Cx>) {
    let mut config = cx.config.subscribe();
    while config.changed().await.is_ok() {
        let current = config.borrow_and_update().clone();
        cx.cluster.applied(&current);
    }
}

async fn take_heartbeats(cx: Rc<Cx>, mut heartbeats: fuchsiamill_peer::NoticeReceiver) {
    while let Some(notice) = heartbeats.recv().await {
        let Ok(heartbeat) = serde_json::from_value::<Heartbeat>(notice) else {
            cx.metrics.event("heartbeat_unreadable");
            continue;
        };
        let heard = cx.cluster.membership.borrow_mut().handle_heartbeat(cx.clock.now(), &heartbeat);
        match heard {
            HeartbeatAction::Nothing => {}
            HeartbeatAction::NewerConfiguration => {
                cx.cluster.newer.send_replace(Some((heartbeat.from, heartbeat.version)));
            }
            HeartbeatAction::NewerView => fetch_view(&cx, heartbeat.from),
        }
    }
}

fn fetch_view(cx: &Rc<Cx>, from: EntryName) {
    let cx = cx.clone();
    monoio::spawn(async move {
        let params = Fetch { from: cx.cluster.me().clone() };
        if let Ok(view) = cx.cluster.call::<View>(&from, FETCH, &params).await {
            cx.cluster.install(&cx, view);
        }
    });
}

async fn take_proposals(cx: Rc<Cx>, mut proposals: fuchsiamill_peer::CallReceiver) {
    while let Some(call) = proposals.recv().await {
        let Some((view, reply)) = call.parse::<View>() else { continue };
        let promise =
            match cx.cluster.membership.borrow_mut().handle_proposal(cx.clock.now(), &view) {
                Ok(ack) => Promise::Given { ack },
                Err(promised) => Promise::Refused { promised },
            };
        reply.send(Ok(promise));
    }
}

async fn take_installs(cx: Rc<Cx>, mut installs: fuchsiamill_peer::NoticeReceiver) {
    while let Some(notice) = installs.recv().await {
        if let Some(view) = read_view(notice) {
            cx.cluster.install(&cx, view);
        }
    }
}

async fn answer_fetches(cx: Rc<Cx>, mut fetches: fuchsiamill_peer::CallReceiver) {
    while let Some(call) = fetches.recv().await {
        let Some((Fetch { .. }, reply)) = call.parse() else { continue };
        reply.send(Ok(cx.cluster.membership.borrow().view().clone()));
    }
}

impl ClusterHandle {
    fn begin_round(&self) {
        let seq = self.membership.borrow_mut().begin_round(self.clock.now());
        self.round.set(seq);
    }

    fn send_heartbeat(&self, peer: &EntryName) {
        let heartbeat =
            self.membership.borrow().heartbeat(self.clock.now(), self.round.get(), peer);
        self.notify(peer, HEARTBEAT, &heartbeat);
    }

    fn install(&self, cx: &Cx, view: View) {
        self.membership.borrow_mut().handle_installed(cx.clock.now(), view);
        self.show_view(cx);
    }

    fn show_view(&self, cx: &Cx) {
        let view = self.membership.borrow().view().clone();
        cx.metrics.view_members.record(view.members.len() as u64, &[]);
        self.view.send_if_modified(|shown| {
            let is_newer = shown.id != view.id;
            if is_newer {
                *shown = view;
            }
            is_newer
        });
    }
}
