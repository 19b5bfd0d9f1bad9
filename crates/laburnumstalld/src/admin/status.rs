//! Handlers for the daemon's status and for draining a VM.

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

/// Requests the entry's status from the control thread; `None` if the daemon is shutting down.
pub(super) async fn entry_status(admin: &Admin) -> Option<EntryStatus> {
    let (tx, rx) = oneshot::channel();
    admin.inbox.push(Input::Status(tx));
    rx.await.ok()
}

/// Requests the placement plan from the control thread; `None` if this daemon does not hold
/// the lease.
async fn placement_status(admin: &Admin) -> Option<PlacementStatus> {
    let (tx, rx) = oneshot::channel();
    admin.inbox.push(Input::PlacementStatus(tx));
    let counts = rx.await.ok()?.filter(|counts| counts.is_holder)?;
    Some(PlacementStatus {
        filled: counts.filled as u64,
        open: counts.open as u64,
        hourly: counts.hourly,
    })
}

/// Returns the state of this daemon and its view of members and endpoints.
pub(super) async fn status(req: HttpRequest, admin: web::Data<Admin>) -> HttpResponse {
    if let Some(response) = key::refusal(&req, &admin) {
        return response;
    }
    match entry_status(&admin).await {
        Some(status) => {
            let placement = placement_status(&admin).await;
            HttpResponse::Ok().json(to_api_status(status, placement))
        }
        None => key::shutting_down(),
    }
}

/// Starts to drain a VM.
pub(super) async fn drain(
    req: HttpRequest,
    admin: web::Data<Admin>,
    body: web::Json<DrainRequest>,
) -> HttpResponse {
    if let Some(response) = key::refusal(&req, &admin) {
        return response;
    }
    let vm = body.into_inner().vm;
    let Some(status) = entry_status(&admin).await else {
        return key::shutting_down();
    };
    let is_entry = status.members.iter().any(|entry| entry.member.id.vm == vm);
    let is_endpoint = status
        .endpoints
        .iter()
        .any(|endpoint| endpoint.id.as_str() == vm.as_str());
    if !is_entry && !is_endpoint {
        let message = format!("no entry or endpoint runs on VM `{vm}`").into();
        return HttpResponse::NotFound().json(AdminError { message });
    }
    admin.inbox.event(Event::Drain { vm });
    HttpResponse::Accepted().json(())
}

fn to_api_status(status: EntryStatus, placement: Option<PlacementStatus>) -> Status {
    let members = status.members.into_iter().map(|entry| MemberStatus {
        id: entry.member.id,
        zone: entry.member.zone,
        state: to_api_state(entry.state),
        revision: entry.revision,
    });
    let endpoints = status.endpoints.into_iter().map(|endpoint| EndpointStatus {
        state: match (endpoint.is_leaving, endpoint.is_failed) {
            (true, _) => MemberState::Leaving,
            (false, true) => MemberState::Silent,
            (false, false) => MemberState::Live,
        },
        running: endpoint.in_flight,
        waiting: 0,
        id: endpoint.id,
        zone: endpoint.zone,
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

fn to_api_state(state: membership::MemberState) -> MemberState {
    match state {
        membership::MemberState::Live => MemberState::Live,
        membership::MemberState::Leaving => MemberState::Leaving,
        membership::MemberState::Gone => MemberState::Gone,
    }
}
