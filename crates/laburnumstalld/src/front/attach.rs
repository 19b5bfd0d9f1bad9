//! Resumes a request's answer on a new connection.

use actix_web::{HttpRequest, HttpResponse, web};
use laburnumstall_core::entry::Event;
use laburnumstall_core::error::{ErrorKind, Refusal};
use laburnumstall_core::ids::RequestId;
use laburnumstall_core::message::{Delivery, Position};
use laburnumstall_core::request::Dialect;

use crate::front::auth::customer_of;
use crate::front::body::BodyFormat;
use crate::front::caller::Caller;
use crate::front::event_stream::{self, EventId};
use crate::front::{Front, buffered, refusal};

/// Header with the id of the last event that the caller received.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Returns the rest of a request's answer.
pub(super) async fn attach(
    req: HttpRequest,
    front: web::Data<Front>,
    id: web::Path<String>,
) -> HttpResponse {
    match open(&req, &front, &id) {
        Err(refused) => refusal::respond(&refused),
        Ok(caller) => respond(&front, caller).await,
    }
}

async fn respond(front: &Front, mut caller: Caller) -> HttpResponse {
    let created = front.clock.now().0 / 1_000_000;
    match caller.next().await {
        Some(Delivery::Accepted {
            request,
            service,
            dialect,
        }) => {
            let format = BodyFormat::attached(dialect, &service, created);
            if dialect == Dialect::Plain {
                return buffered::respond_attached(caller, format, dialect, 0, Some(request)).await;
            }
            event_stream::stream_response(caller, format, request)
        }
        Some(Delivery::Refused(refused)) => refusal::respond(&refused),
        _ => event_stream::daemon_ended(),
    }
}

fn open(req: &HttpRequest, front: &Front, id: &str) -> Result<Caller, Refusal> {
    let snapshot = front.published.read();
    let customer = customer_of(req, &snapshot.system)?.name.clone();
    let id: RequestId = id
        .parse()
        .map_err(|error| Refusal::new(ErrorKind::Malformed, format!("{error}")))?;
    let position = last_position(req)?;
    Ok(Caller::open(front, |caller| Event::Attach {
        caller,
        id,
        customer,
        position,
    }))
}

fn last_position(req: &HttpRequest) -> Result<Option<Position>, Refusal> {
    let Some(header) = req.headers().get(LAST_EVENT_HEADER) else {
        return Ok(None);
    };
    let text = header.to_str().unwrap_or_default();
    let parsed: Result<EventId, ()> = text.parse();
    match parsed {
        Ok(EventId(position)) => Ok(Some(position)),
        Err(()) => {
            let detail = "Last-Event-ID is not an id that this system gave";
            Err(Refusal::new(ErrorKind::Malformed, detail))
        }
    }
}
