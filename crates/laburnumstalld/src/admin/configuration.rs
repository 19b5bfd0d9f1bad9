//! Handlers that apply, show and list configurations.

use std::sync::atomic::Ordering;

use actix_web::{HttpRequest, HttpResponse, web};
use laburnumstall_config::admin::{
    AdminError, Applied, ApplyConflict, ApplyRequest, ApplyUnavailable, HistoryEntry,
    StoredConfiguration,
};
use laburnumstall_config::{Change, canonical, diff, digest, normalize, parse};
use laburnumstall_core::adoption::{ConfigurationId, StoredConfigurationRecord, accepted_records};
use laburnumstall_core::entry::{
    self, ApplyOutcome, Event, configuration_head_key, configuration_record_prefix,
};
use laburnumstall_core::hash::digest64;
use laburnumstall_core::ids::{OperatorName, Revision};
use laburnumstall_core::message::ConfigurationRecord;
use laburnumstall_core::resources::System;
use laburnumstall_core::store::{StoreCall, StoreReply, StoredValue};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

use crate::admin::{Admin, key};
use crate::inbox::Input;
use crate::platform::QueryStore;

/// Name shown for a record whose operator name cannot be parsed.
const UNKNOWN_OPERATOR: &str = "unknown";

/// Applies a configuration file.
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
    let event = Event::Apply(to_core_request(body, system, token));
    admin.inbox.push(Input::Apply { event, token, tx });
    match rx.await {
        Ok(outcome) => respond(&admin, base, outcome).await,
        Err(_) => key::shutting_down(),
    }
}

fn to_core_request(body: ApplyRequest, system: System, token: u64) -> entry::ApplyRequest {
    entry::ApplyRequest {
        token,
        base: body.base,
        digest: digest(&system),
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

/// Returns the changes from `base` to `current`; empty if a revision cannot be read.
async fn changes_between(admin: &Admin, base: Revision, current: Revision) -> Vec<Change> {
    let records = read_history(admin).await.unwrap_or_default();
    match (find(&records, base), find(&records, current)) {
        (Some(old), Some(new)) => diff(&old.configuration.system, &new.configuration.system),
        (None, Some(new)) if base.0 == 0 => diff(&System::default(), &new.configuration.system),
        _ => Vec::new(),
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct RevisionQuery {
    revision: Option<Revision>,
}

/// Returns the current configuration, or the revision in the query.
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
        None => read_current(&admin).await,
    };
    match record {
        Some(record) => HttpResponse::Ok().json(to_stored(record)),
        None => HttpResponse::NotFound().json(AdminError {
            message: "there is no such configuration, or the key-value service is down".into(),
        }),
    }
}

/// Returns the configuration history, oldest first.
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
    let mut previous = System::default();
    for record in records {
        let changes = diff(&previous, &record.configuration.system);
        previous = record.configuration.system.clone();
        entries.push(to_entry(&record, changes));
    }
    HttpResponse::Ok().json(entries)
}

async fn read_history(admin: &Admin) -> Option<Vec<ConfigurationRecord>> {
    let Some(head) = read_head(admin).await? else {
        return Some(Vec::new());
    };
    read_records(admin, &head).await
}

async fn read_records(admin: &Admin, head: &ConfigurationId) -> Option<Vec<ConfigurationRecord>> {
    let prefix = configuration_record_prefix();
    let StoreReply::Listing { values, .. } = call_store(admin, StoreCall::List { prefix }).await?
    else {
        return None;
    };
    let records: Vec<StoredConfigurationRecord> = values.iter().filter_map(decode).collect();
    Some(accepted_records(records, head))
}

async fn read_revision(admin: &Admin, revision: Revision) -> Option<ConfigurationRecord> {
    find(&read_history(admin).await?, revision).cloned()
}

fn find(records: &[ConfigurationRecord], revision: Revision) -> Option<&ConfigurationRecord> {
    let mut records = records.iter();
    records.find(|record| record.configuration.revision == revision)
}

async fn read_current(admin: &Admin) -> Option<ConfigurationRecord> {
    let head = read_head(admin).await??;
    let mut records = read_records(admin, &head).await?;
    records.pop().filter(|record| record.id() == head)
}

/// Reads the head record: `None` if the call failed, `Some(None)` if no configuration was
/// ever accepted.
async fn read_head(admin: &Admin) -> Option<Option<ConfigurationId>> {
    let key = configuration_head_key();
    match call_store(admin, StoreCall::Get { key }).await? {
        StoreReply::Value(value) => Some(value.as_ref().and_then(decode)),
        _ => None,
    }
}

async fn call_store(admin: &Admin, call: StoreCall) -> Option<StoreReply> {
    admin.platform.send(QueryStore(call)).await.ok()?.ok()
}

fn decode<T: DeserializeOwned>(value: &StoredValue) -> Option<T> {
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
        text: canonical(&record.configuration.system),
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
