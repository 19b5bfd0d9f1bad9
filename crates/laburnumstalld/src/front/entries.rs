//! The directory: which addresses callers should use.

use actix_web::http::header::CACHE_CONTROL;
use actix_web::{HttpResponse, web};
use serde::Serialize;

use crate::front::Front;
use crate::snapshot::DirectoryEntry;

/// The directory as callers read it.
#[derive(Debug, Serialize)]
struct Directory<'a> {
    /// Addresses, the best first.
    entries: &'a [DirectoryEntry],
    /// Time that the answer can be kept, in seconds.
    max_age_seconds: u64,
    /// Revision of the configuration in force here.
    revision: u64,
}

/// Answers with the directory.
pub(super) async fn directory(front: web::Data<Front>) -> HttpResponse {
    let snapshot = front.published.read();
    let max_age_seconds = snapshot.max_age.as_secs();
    let directory = Directory {
        entries: &snapshot.directory,
        max_age_seconds,
        revision: snapshot.revision.0,
    };
    HttpResponse::Ok()
        .insert_header((CACHE_CONTROL, format!("max-age={max_age_seconds}")))
        .json(directory)
}
