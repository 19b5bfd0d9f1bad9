//! The directory of entry addresses for callers.

use actix_web::http::header::CACHE_CONTROL;
use actix_web::{HttpResponse, web};
use serde::Serialize;

use crate::front::Front;
use crate::snapshot::DirectoryEntry;

/// Response body of the directory.
#[derive(Debug, Serialize)]
struct Directory<'a> {
    /// Entries, best first.
    entries: &'a [DirectoryEntry],
    /// Time for which the response may be cached, in seconds.
    max_age_seconds: u64,
    /// Revision of this daemon's current configuration.
    revision: u64,
}

/// Returns the directory.
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
