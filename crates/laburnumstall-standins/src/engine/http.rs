//! The HTTP interface of the engine stand-in.

use std::time::Instant;

use actix_web::http::header::HeaderMap;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::stream;
use laburnumstall_core::cloud::EndpointOrder;
use laburnumstall_core::request::Dialect;
use laburnumstall_outside::endpoint::{
    EngineChoice, EngineChunk, EngineUsage, engine_path, headers, paths,
};
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::watch;

use super::Engine;
use super::text::Conversation;
use crate::gate::ConnectionNumber;

/// Event that ends a whole answer.
const END_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Finish reason of every answer.
const FINISH: &str = "length";

pub(super) fn routes(cfg: &mut web::ServiceConfig) {
    let stream_path = format!("{}/{{attempt}}", paths::STREAMS);
    for dialect in [Dialect::Chat, Dialect::Completion] {
        let path = engine_path(dialect).unwrap_or_default();
        cfg.route(path, web::post().to(begin));
    }
    cfg.route(&stream_path, web::get().to(attach))
        .route(&stream_path, web::delete().to(cancel))
        .route(paths::HEALTH, web::get().to(healthy))
        .route(paths::LOAD, web::get().to(load))
        .route(paths::CACHE_EVENTS, web::get().to(cache_events))
        .route(paths::ORDERS, web::post().to(order));
}

/// Answers that the process is alive.
pub(crate) async fn healthy() -> HttpResponse {
    HttpResponse::Ok().json(())
}

async fn begin(
    engine: web::Data<Engine>,
    req: HttpRequest,
    body: web::Json<Value>,
) -> HttpResponse {
    if engine.faults().is_leaving {
        return HttpResponse::ServiceUnavailable().body("leaving");
    }
    let dialect = match req.path() == engine_path(Dialect::Chat).unwrap_or_default() {
        true => Dialect::Chat,
        false => Dialect::Completion,
    };
    let Some(conversation) = Conversation::read(dialect, &body) else {
        return HttpResponse::BadRequest().body("no prompt");
    };
    let Some(name) = header(req.headers(), headers::REQUEST_ID) else {
        return HttpResponse::BadRequest().body("no request id");
    };
    let priority = header(req.headers(), headers::PRIORITY).and_then(|text| text.parse().ok());
    let priority = priority.unwrap_or_default();
    engine.batch().begin(&name, priority, conversation);
    stream_response(engine, &req, name, 0)
}

#[derive(Deserialize)]
struct AfterQuery {
    after: Option<u64>,
}

async fn attach(
    engine: web::Data<Engine>,
    req: HttpRequest,
    name: web::Path<String>,
    query: web::Query<AfterQuery>,
) -> HttpResponse {
    let name = name.into_inner();
    if engine.batch().stream(&name).is_none() {
        return HttpResponse::NotFound().body("no such stream");
    }
    engine.batch().counts.attached += 1;
    let next = query.after.map_or(0, |after| after as usize + 1);
    stream_response(engine, &req, name, next)
}

async fn cancel(engine: web::Data<Engine>, name: web::Path<String>) -> HttpResponse {
    engine.batch().cancel(&name);
    HttpResponse::Ok().json(())
}

async fn load(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.batch().lagging_load(Instant::now()))
}

async fn cache_events(engine: web::Data<Engine>, query: web::Query<AfterQuery>) -> HttpResponse {
    let after = query.after.unwrap_or(0);
    HttpResponse::Ok().json(engine.batch().cache.page(after, Instant::now()))
}

async fn order(engine: web::Data<Engine>, order: web::Json<EndpointOrder>) -> HttpResponse {
    let reply = engine.batch().order(order.into_inner(), Instant::now());
    HttpResponse::Ok().json(reply)
}

/// Returns a header's value if it is text.
pub(crate) fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn stream_response(
    engine: web::Data<Engine>,
    req: &HttpRequest,
    name: String,
    next: usize,
) -> HttpResponse {
    let echoed = (headers::REQUEST_ID, name.clone());
    let reader = Reader {
        stepped: engine.stepped.subscribe(),
        connection: req.conn_data().copied().unwrap_or_default(),
        engine,
        name,
        next,
        is_ended: false,
    };
    let events = stream::unfold(reader, async |mut reader| {
        let event = reader.next_event().await?;
        Some((Ok::<_, std::io::Error>(event), reader))
    });
    HttpResponse::Ok()
        .insert_header(echoed)
        .content_type("text/event-stream")
        .streaming(events)
}

/// A reader of one stream over one connection.
struct Reader {
    engine: web::Data<Engine>,
    stepped: watch::Receiver<()>,
    connection: ConnectionNumber,
    name: String,
    next: usize,
    is_ended: bool,
}

impl Reader {
    async fn next_event(&mut self) -> Option<Bytes> {
        loop {
            self.engine.gate.wait_for_turn(self.connection).await;
            if self.is_ended {
                return None;
            }
            if let Some(event) = self.ready_event() {
                return Some(event);
            }
            if !self.is_ended {
                self.stepped.changed().await.ok()?;
            }
        }
    }

    /// Takes the next event if it is there, and notes the end of the stream.
    fn ready_event(&mut self) -> Option<Bytes> {
        let truncate_after = self.engine.faults().truncate_after;
        let batch = self.engine.batch();
        let stream = batch.stream(&self.name);
        let is_truncated = truncate_after.is_some_and(|tokens| self.next >= tokens);
        let Some(stream) = stream.filter(|_| !is_truncated) else {
            self.is_ended = true;
            return None;
        };
        if self.next < stream.generated {
            let event = event(&stream.conversation, self.next);
            self.next += 1;
            return Some(event);
        }
        self.is_ended = self.next >= stream.conversation.limit;
        self.is_ended.then(|| Bytes::from_static(END_EVENT))
    }
}

fn event(conversation: &Conversation, index: usize) -> Bytes {
    let text = Some(conversation.token(index).into());
    let is_last = index + 1 == conversation.limit;
    let mut choice = EngineChoice {
        finish_reason: is_last.then(|| FINISH.into()),
        ..EngineChoice::default()
    };
    match conversation.dialect {
        Dialect::Chat => choice.delta.get_or_insert_default().content = text,
        _ => choice.text = text,
    }
    let usage = EngineUsage {
        completion_tokens: index as u64 + 1,
        ..EngineUsage::default()
    };
    let chunk = EngineChunk {
        choices: vec![choice],
        usage: Some(usage),
        error: None,
    };
    let data = serde_json::to_string(&chunk).expect("a chunk is valid JSON");
    Bytes::from(format!("id: {index}\ndata: {data}\n\n"))
}
