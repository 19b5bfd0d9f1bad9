//! Liveness and readiness probes.

use actix_web::{HttpResponse, web};

use crate::front::Front;

/// Liveness: the process runs.
pub(super) async fn alive() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

/// Readiness: the daemon has a configuration and is not leaving.
pub(super) async fn ready(front: web::Data<Front>) -> HttpResponse {
    let snapshot = front.published.read();
    if snapshot.revision.0 == 0 {
        return HttpResponse::ServiceUnavailable().body("no configuration yet\n");
    }
    if snapshot.is_leaving {
        return HttpResponse::ServiceUnavailable().body("leaving\n");
    }
    HttpResponse::Ok().body("ready\n")
}
