//! HTTP server for address lookups by callers, readiness probes by the platform and metrics
//! scrapes.

use std::rc::Rc;
use std::time::Duration;

use laburnumstall_platform::directory::{self, DirectoryRequest};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::context::Context;
use super::listener::reason_phrase;
use super::log::Event;
use crate::http1::{Conn, Framing, RequestHead};

/// Maximum size of a request head, in bytes.
const MAX_HEAD: usize = 16 << 10;
/// Timeout to receive a request on an open connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout to send a response.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which callers cache an address response: callers leave a stopped or failed daemon
/// within it, and a lookup is cheap.
const MAX_AGE: Duration = Duration::from_millis(500);
/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

struct Reply {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
}

/// Serves the connections that `listener` accepts.
pub(super) async fn serve(cx: Rc<Context>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((io, _)) => {
                actix_rt::spawn(serve_connection(Rc::clone(&cx), io));
            }
            Err(error) => {
                cx.event(Event::new("accept-failed").with("cause", &error));
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(cx: Rc<Context>, io: TcpStream) {
    let mut conn = Conn::new(io);
    while let Ok(Ok(Some(head))) = timeout(IDLE_TIMEOUT, conn.request_head(MAX_HEAD)).await {
        let reply = respond(&cx, &head);
        let should_close = head.should_close || head.framing != Framing::Empty;
        let mut message = format!(
            "HTTP/1.1 {} {}\r\ncontent-type: {}\r\ncontent-length: {}\r\n{}\r\n",
            reply.status,
            reason_phrase(reply.status),
            reply.content_type,
            reply.body.len(),
            if should_close {
                "connection: close\r\n"
            } else {
                ""
            },
        )
        .into_bytes();
        message.extend_from_slice(&reply.body);
        if conn.send(&message, SEND_TIMEOUT).await.is_err() {
            return;
        }
        if should_close {
            break;
        }
    }
    conn.close().await;
}

fn respond(cx: &Context, head: &RequestHead) -> Reply {
    match directory::parse_request(&head.method, &head.target) {
        Some(DirectoryRequest::Ready) => {
            let is_ready = cx.with_gateway(|gateway, now| gateway.is_ready(now));
            Reply {
                status: if is_ready { 200 } else { 503 },
                content_type: "text/plain",
                body: Vec::new(),
            }
        }
        Some(DirectoryRequest::Addresses) => {
            let addresses = cx.with_gateway(|gateway, now| gateway.directory(now));
            let max_age = MAX_AGE.min(cx.settings.directory_max_age);
            match directory::reply(addresses, max_age) {
                Ok(body) => Reply {
                    status: 200,
                    content_type: "application/json",
                    body,
                },
                Err(error) => internal_error(cx, &error),
            }
        }
        None if head.method == "GET" && head.target == METRICS_PATH => match encode_metrics(cx) {
            Ok(text) => Reply {
                status: 200,
                content_type: "text/plain; version=0.0.4",
                body: text.into_bytes(),
            },
            Err(error) => internal_error(cx, &error),
        },
        None => Reply {
            status: 404,
            content_type: "text/plain",
            body: Vec::new(),
        },
    }
}

fn internal_error(cx: &Context, error: &dyn std::error::Error) -> Reply {
    cx.event(Event::new("answer-failed").with("cause", error));
    Reply {
        status: 500,
        content_type: "text/plain",
        body: Vec::new(),
    }
}

fn encode_metrics(cx: &Context) -> prometheus::Result<String> {
    let states = cx.with_gateway(|gateway, _| gateway.admission_states());
    cx.metrics.admission(&states);
    cx.metrics.encode()
}
