//! What a daemon shows of itself, and emptying a VM.

use actix_web::{HttpRequest, HttpResponse, web};
use laburnumstall_config::admin::{
    AdminError, DrainRequest, EndpointStatus, MemberState, MemberStatus, PlacementStatus,
    RequestCounts, Status, StoreState,
};
use laburnumstall_core::entry::{EntryStatus, Event};
use laburnumstall_core::membership;
use tokio::sync::oneshot;

use crate::admin::{Admin, key};
use crate::inbox::Input;

/// Asks the control thread for the state of the entry.
pub(super) async fn ask(admin: &Admin) -> Option<EntryStatus> {
    let (tx, rx) = oneshot::channel();
    admin.inbox.push(Input::Status(tx));
    rx.await.ok()
}

/// Asks the control thread for the plan of placement, if this daemon holds the lease.
async fn ask_placement(admin: &Admin) -> Option<PlacementStatus> {
    let (tx, rx) = oneshot::channel();
    admin.inbox.push(Input::PlacementStatus(tx));
    let counts = rx.await.ok()?.filter(|counts| counts.is_holder)?;
    Some(PlacementStatus {
        filled: counts.filled as u64,
        open: counts.open as u64,
        hourly: counts.hourly,
    })
}

/// Answers with the state of this daemon and what it knows of the others.
pub(super) async fn status(req: HttpRequest, admin: web::Data<Admin>) -> HttpResponse {
    if let Some(response) = key::refusal(&req, &admin) {
        return response;
    }
    match ask(&admin).await {
        Some(status) => {
            let placement = ask_placement(&admin).await;
            HttpResponse::Ok().json(translate(status, placement))
        }
        None => key::ending(),
    }
}

/// Starts to empty a VM.
pub(super) async fn drain(
    req: HttpRequest,
    admin: web::Data<Admin>,
    body: web::Json<DrainRequest>,
) -> HttpResponse {
    if let Some(response) = key::refusal(&req, &admin) {
        return response;
    }
    let vm = body.into_inner().vm;
    let Some(status) = ask(&admin).await else {
        return key::ending();
    };
    let is_entry = status.members.iter().any(|known| known.member.id.vm == vm);
    let is_endpoint = status
        .endpoints
        .iter()
        .any(|known| known.id.as_str() == vm.as_str());
    if !is_entry && !is_endpoint {
        let message = format!("no entry or endpoint runs on VM `{vm}`").into();
        return HttpResponse::NotFound().json(AdminError { message });
    }
    admin.inbox.event(Event::Drain { vm });
    HttpResponse::Accepted().json(())
}

fn translate(status: EntryStatus, placement: Option<PlacementStatus>) -> Status {
    let members = status.members.into_iter().map(|known| MemberStatus {
        id: known.member.id,
        zone: known.member.zone,
        state: translate_state(known.state),
        revision: known.revision,
    });
    let endpoints = status.endpoints.into_iter().map(|known| EndpointStatus {
        state: match (known.is_leaving, known.is_failed) {
            (true, _) => MemberState::Leaving,
            (false, true) => MemberState::Silent,
            (false, false) => MemberState::Live,
        },
        running: known.in_flight,
        waiting: 0,
        id: known.id,
        zone: known.zone,
    });
    Status {
        daemon: status.own.id,
        zone: status.own.zone,
        revision: Some(status.revision).filter(|revision| revision.0 > 0),
        members: members.collect(),
        endpoints: endpoints.collect(),
        requests: RequestCounts {
            owned: u64::from(status.owned),
            copies: u64::from(status.copies),
        },
        store: if status.is_store_reachable {
            StoreState::Reachable
        } else {
            StoreState::Unreachable
        },
        placement,
    }
}

fn translate_state(state: membership::MemberState) -> MemberState {
    match state {
        membership::MemberState::Live => MemberState::Live,
        membership::MemberState::Leaving => MemberState::Leaving,
        membership::MemberState::Gone => MemberState::Gone,
    }
}
