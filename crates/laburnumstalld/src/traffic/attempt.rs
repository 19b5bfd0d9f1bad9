//! Runs one attempt and translates the endpoint's events to core events.

use laburnumstall_core::entry::{AttemptEvent, AttemptFailure, DispatchOrder, Event, StreamResume};
use laburnumstall_core::ids::{AttemptId, EventIndex};
use laburnumstall_outside::endpoint::{
    AttemptFailure as EndpointFailure, EndpointCall, EndpointClient, EndpointEvent, StreamAttach,
};
use tokio::sync::mpsc;

use crate::inbox::Inbox;

/// Capacity of the queue between the connection and the inbox.
const EVENT_QUEUE: usize = 64;

/// HTTP status of an endpoint for an unknown stream.
const NOT_FOUND: u16 = 404;

/// Runs an attempt and reports its events until it ends.
pub(super) async fn run<C: EndpointClient>(client: &C, order: DispatchOrder, inbox: &Inbox) {
    let (tx, rx) = mpsc::channel(EVENT_QUEUE);
    let attempt = order.attempt.clone();
    let resume = order.resume.clone();
    let report = report(rx, attempt, resume.as_ref(), inbox);
    match &resume {
        Some(resume) => {
            let stream = StreamAttach {
                attempt: order.attempt,
                address: order.address,
                after: resume.after,
                received: resume.tokens,
                remaining: order.remaining,
            };
            tokio::join!(client.attach(stream, tx), report);
        }
        None => {
            let call = EndpointCall {
                attempt: order.attempt,
                address: order.address,
                request: order.request,
                generated: order.generated,
                generated_tokens: order.generated_tokens,
                remaining: order.remaining,
            };
            tokio::join!(client.run(call, tx), report);
        }
    }
}

async fn report(
    mut rx: mpsc::Receiver<EndpointEvent>,
    attempt: AttemptId,
    resume: Option<&StreamResume>,
    inbox: &Inbox,
) {
    let mut next = resume.map_or(0, |resume| resume.events.0);
    while let Some(event) = rx.recv().await {
        let event = match event {
            EndpointEvent::Sent => AttemptEvent::Sent,
            EndpointEvent::Answer { index, event } => {
                let from = EventIndex(next);
                next += 1;
                AttemptEvent::Answer {
                    from,
                    events: vec![event],
                    last_event_id: index,
                }
            }
            EndpointEvent::Failed(failure) => {
                AttemptEvent::Failed(to_attempt_failure(failure, resume.is_some()))
            }
        };
        inbox.event(Event::Attempt {
            attempt: attempt.clone(),
            event,
        });
    }
}

fn to_attempt_failure(failure: EndpointFailure, is_resumed: bool) -> AttemptFailure {
    match failure {
        EndpointFailure::NotSent { .. } => AttemptFailure::NotSent,
        EndpointFailure::Reset { .. } => AttemptFailure::Reset,
        EndpointFailure::TimedOut => AttemptFailure::TimedOut,
        EndpointFailure::Status { status, .. } if is_resumed && status == NOT_FOUND => {
            AttemptFailure::UnknownStream
        }
        EndpointFailure::Status { status, message } => AttemptFailure::Status { status, message },
        EndpointFailure::Protocol { detail } => AttemptFailure::Protocol { message: detail },
    }
}
