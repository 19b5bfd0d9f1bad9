//! Applying, showing and listing configurations.

use std::sync::atomic::Ordering;

use actix_web::{HttpRequest, HttpResponse, web};
use laburnumstall_config::admin::{
    AdminError, Applied, ApplyConflict, ApplyRequest, ApplyUnavailable, HistoryEntry,
    StoredConfiguration,
};
use laburnumstall_config::{Change, canonical, diff, digest, normalize, parse};
use laburnumstall_core::entry::{
    self, ApplyOutcome, Event, configuration_head_key, configuration_history_key,
};
use laburnumstall_core::hash::digest64;
use laburnumstall_core::ids::{OperatorName, Revision};
use laburnumstall_core::message::ConfigurationRecord;
use laburnumstall_core::store::{StoreCall, StoreKey, StoreReply, StoredValue};
use laburnumstall_core::world::System;
use serde::Deserialize;
use tokio::sync::oneshot;

use crate::admin::{Admin, key};
use crate::inbox::Input;
use crate::platform::AskStore;

/// Name shown for a record whose operator's name cannot be read.
const UNKNOWN_OPERATOR: &str = "unknown";

/// Puts a text in force.
pub(super) async fn apply(
    req: HttpRequest,
    admin: web::Data<Admin>,
    body: web::Json<ApplyRequest>,
) -> HttpResponse {
    if let Some(response) = key::refusal(&req, &admin) {
        return response;
    }
    let body = body.into_inner();
    let mut system = match parse(&body.text) {
        Ok(system) => system,
        Err(faults) => return HttpResponse::UnprocessableEntity().json(faults),
    };
    normalize(&mut system);
    let base = body.base;
    let token = admin.next_token.fetch_add(1, Ordering::Relaxed);
    let (tx, rx) = oneshot::channel();
    let event = Event::Apply(to_core(body, system, token));
    admin.inbox.push(Input::Apply { event, token, tx });
    match rx.await {
        Ok(outcome) => respond(&admin, base, outcome).await,
        Err(_) => key::ending(),
    }
}

fn to_core(body: ApplyRequest, system: System, token: u64) -> entry::ApplyRequest {
    entry::ApplyRequest {
        token,
        base: body.base,
        digest: digest(&system),
        text: canonical(&system).into(),
        system: Box::new(system),
        operator: body.operator.to_string().into(),
        reason: body.reason,
        nonce: digest64(&[body.nonce.as_str().as_bytes()]),
    }
}

async fn respond(admin: &Admin, base: Revision, outcome: ApplyOutcome) -> HttpResponse {
    match outcome {
        ApplyOutcome::Accepted {
            revision,
            confirmed,
            missing,
        } => HttpResponse::Ok().json(Applied {
            revision,
            confirmed,
            missing,
        }),
        ApplyOutcome::Conflict { current } => {
            let changes = changes_between(admin, base, current).await;
            HttpResponse::Conflict().json(ApplyConflict { current, changes })
        }
        ApplyOutcome::Unavailable {
            known,
            may_be_accepted,
        } => HttpResponse::ServiceUnavailable().json(ApplyUnavailable {
            known,
            may_be_accepted,
            message: "the key-value service did not confirm the write".into(),
        }),
    }
}

/// Returns what others changed; empty if a revision cannot be read.
async fn changes_between(admin: &Admin, base: Revision, current: Revision) -> Vec<Change> {
    let old = read_revision(admin, base).await;
    let new = read_revision(admin, current).await;
    match (old, new) {
        (Some(old), Some(new)) => diff(&old.configuration.system, &new.configuration.system),
        (None, Some(new)) if base.0 == 0 => diff(&System::default(), &new.configuration.system),
        _ => Vec::new(),
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct RevisionQuery {
    revision: Option<Revision>,
}

/// Answers with the configuration in force, or with an earlier one.
pub(super) async fn show(
    req: HttpRequest,
    admin: web::Data<Admin>,
    query: web::Query<RevisionQuery>,
) -> HttpResponse {
    if let Some(response) = key::refusal(&req, &admin) {
        return response;
    }
    let record = match query.revision {
        Some(revision) => read_revision(&admin, revision).await,
        None => read_key(&admin, configuration_head_key()).await,
    };
    match record {
        Some(record) => HttpResponse::Ok().json(to_stored(record)),
        None => HttpResponse::NotFound().json(AdminError {
            message: "there is no such configuration, or the key-value service is down".into(),
        }),
    }
}

/// Answers with the history, the oldest first.
pub(super) async fn history(req: HttpRequest, admin: web::Data<Admin>) -> HttpResponse {
    if let Some(response) = key::refusal(&req, &admin) {
        return response;
    }
    let Some(records) = read_history(&admin).await else {
        return HttpResponse::ServiceUnavailable().json(AdminError {
            message: "the key-value service did not answer".into(),
        });
    };
    let mut entries = Vec::new();
    let mut before = System::default();
    for record in records {
        let changes = diff(&before, &record.configuration.system);
        before = record.configuration.system.clone();
        entries.push(to_entry(&record, changes));
    }
    HttpResponse::Ok().json(entries)
}

async fn read_history(admin: &Admin) -> Option<Vec<ConfigurationRecord>> {
    let prefix = "configuration/history/".parse().ok()?;
    let reply = ask(admin, StoreCall::List { prefix }).await?;
    let StoreReply::Listing { values, .. } = reply else {
        return None;
    };
    let mut records: Vec<ConfigurationRecord> = values.iter().filter_map(decode).collect();
    records.sort_by_key(|record| record.configuration.revision);
    Some(records)
}

async fn read_revision(admin: &Admin, revision: Revision) -> Option<ConfigurationRecord> {
    let record = read_key(admin, configuration_history_key(revision)).await;
    if record.is_some() {
        return record;
    }
    // The history is written after the head and may lag behind it.
    let head = read_key(admin, configuration_head_key()).await?;
    (head.configuration.revision == revision).then_some(head)
}

async fn read_key(admin: &Admin, key: StoreKey) -> Option<ConfigurationRecord> {
    match ask(admin, StoreCall::Get { key }).await? {
        StoreReply::Value(Some(value)) => decode(&value),
        _ => None,
    }
}

async fn ask(admin: &Admin, call: StoreCall) -> Option<StoreReply> {
    admin.platform.send(AskStore(call)).await.ok()?.ok()
}

fn decode(value: &StoredValue) -> Option<ConfigurationRecord> {
    serde_json::from_slice(value.value.as_ref()?).ok()
}

fn operator_of(record: &ConfigurationRecord) -> OperatorName {
    let name = record.operator.parse();
    name.unwrap_or_else(|_| {
        UNKNOWN_OPERATOR
            .parse()
            .expect("the fallback is a valid operator name")
    })
}

fn to_stored(record: ConfigurationRecord) -> StoredConfiguration {
    StoredConfiguration {
        operator: operator_of(&record),
        revision: record.configuration.revision,
        digest: record.configuration.digest,
        text: record.text.into(),
        at: record.at,
        reason: record.reason,
    }
}

fn to_entry(record: &ConfigurationRecord, changes: Vec<Change>) -> HistoryEntry {
    HistoryEntry {
        operator: operator_of(record),
        revision: record.configuration.revision,
        digest: record.configuration.digest.clone(),
        at: record.at,
        reason: record.reason.clone(),
        changes,
    }
}
