//! The HTTP interface of the engine stand-in.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use actix_web::http::header::HeaderMap;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::{Stream as Events, stream};
use laburnumstall_core::cloud::EndpointOrder;
use laburnumstall_core::ids::AttemptId;
use laburnumstall_core::request::Dialect;
use laburnumstall_core::units::Priority;
use laburnumstall_platform::endpoint::{
    EndpointClient, EngineChoice, EngineChunk, EngineDelta, EngineUsage, HttpEndpointClient,
    KvImport, KvImported, headers, paths,
};
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::watch;

use super::Engine;
use super::batch::{Stream, StreamSpec};
use super::text::Conversation;
use crate::gate::ConnectionNumber;

/// Longest time for a call to another engine.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Event that ends a whole answer.
const END_EVENT: &str = "data: [DONE]\n\n";

/// Finish reason of every answer.
const FINISH: &str = "length";

pub(super) fn routes(cfg: &mut web::ServiceConfig) {
    let stream_path = format!("{}/{{attempt}}", paths::STREAMS);
    cfg.route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/completions", web::post().to(completion))
        .route(&stream_path, web::get().to(attach))
        .route(&stream_path, web::delete().to(cancel))
        .route(paths::HEALTH, web::get().to(healthy))
        .route(paths::LOAD, web::get().to(load))
        .route(paths::CACHE_EVENTS, web::get().to(cache_events))
        .route(paths::ORDERS, web::post().to(order))
        .route(paths::KV_EXPORT, web::post().to(export))
        .route(paths::KV_IMPORT, web::post().to(import));
}

/// Answers that the process is alive.
pub(crate) async fn healthy() -> HttpResponse {
    HttpResponse::Ok().json(())
}

async fn chat(engine: web::Data<Engine>, req: HttpRequest, body: web::Json<Value>) -> HttpResponse {
    begin(engine, &req, Dialect::Chat, &body)
}

async fn completion(
    engine: web::Data<Engine>,
    req: HttpRequest,
    body: web::Json<Value>,
) -> HttpResponse {
    begin(engine, &req, Dialect::Completion, &body)
}

fn begin(
    engine: web::Data<Engine>,
    req: &HttpRequest,
    dialect: Dialect,
    body: &Value,
) -> HttpResponse {
    if engine.faults().is_leaving {
        return HttpResponse::ServiceUnavailable().body("leaving");
    }
    let Some(conversation) = Conversation::read(dialect, body) else {
        return HttpResponse::BadRequest().body("no prompt");
    };
    let Some(name) = header(req.headers(), headers::REQUEST_ID) else {
        return HttpResponse::BadRequest().body("no request id");
    };
    let priority = header(req.headers(), headers::PRIORITY).and_then(|text| text.parse().ok());
    let spec = StreamSpec {
        name: name.clone(),
        dialect,
        priority: priority.unwrap_or(Priority(0)),
    };
    engine.batch().begin(spec, conversation);
    stream_response(engine, req, name, 0)
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
    engine.batch().note_attached();
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
    HttpResponse::Ok().json(engine.batch().cache_page(after, Instant::now()))
}

async fn order(engine: web::Data<Engine>, order: web::Json<EndpointOrder>) -> HttpResponse {
    let reply = engine.batch().order(order.into_inner(), Instant::now());
    HttpResponse::Ok().json(reply)
}

async fn export(engine: web::Data<Engine>, attempt: web::Json<AttemptId>) -> HttpResponse {
    match engine.batch().export(attempt.into_inner()) {
        Some(export) => HttpResponse::Ok().json(export),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn import(engine: web::Data<Engine>, import: web::Json<KvImport>) -> HttpResponse {
    let peer = HttpEndpointClient::new(PEER_TIMEOUT, PEER_TIMEOUT, |_| {});
    let Ok(export) = peer.export_kv(import.from, &import.attempt).await else {
        return HttpResponse::BadGateway().finish();
    };
    engine.batch().import(&export, Instant::now());
    let blocks = export.blocks.len() as u64;
    HttpResponse::Ok().json(KvImported { blocks })
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn stream_response(
    engine: web::Data<Engine>,
    req: &HttpRequest,
    name: String,
    next: usize,
) -> HttpResponse {
    let connection = req.conn_data::<ConnectionNumber>().copied();
    let reader = Reader {
        stepped: engine.stepped.subscribe(),
        engine,
        connection: connection.unwrap_or(ConnectionNumber(0)),
        name,
        next,
        ready: VecDeque::new(),
        is_ended: false,
    };
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(reader.into_events())
}

/// A reader of one stream over one connection.
struct Reader {
    engine: web::Data<Engine>,
    stepped: watch::Receiver<()>,
    connection: ConnectionNumber,
    name: String,
    next: usize,
    ready: VecDeque<Bytes>,
    is_ended: bool,
}

impl Reader {
    fn into_events(self) -> impl Events<Item = Result<Bytes, std::io::Error>> {
        stream::unfold(self, async |mut reader| {
            let event = reader.next_event().await?;
            Some((Ok(event), reader))
        })
    }

    async fn next_event(&mut self) -> Option<Bytes> {
        loop {
            self.engine.gate.wait_for_turn(self.connection).await;
            if let Some(event) = self.ready.pop_front() {
                return Some(event);
            }
            if self.is_ended {
                return None;
            }
            self.collect();
            if self.ready.is_empty() && !self.is_ended {
                self.stepped.changed().await.ok()?;
            }
        }
    }

    /// Takes the tokens that were generated since the last time.
    fn collect(&mut self) {
        let truncate_after = self.engine.faults().truncate_after;
        let batch = self.engine.batch();
        let Some(stream) = batch.stream(&self.name) else {
            self.is_ended = true;
            return;
        };
        while self.next < stream.generated {
            if truncate_after.is_some_and(|tokens| self.next >= tokens) {
                self.is_ended = true;
                return;
            }
            self.ready.push_back(event(stream, self.next));
            self.next += 1;
        }
        if self.next >= stream.limit() {
            self.ready
                .push_back(Bytes::from_static(END_EVENT.as_bytes()));
            self.is_ended = true;
        }
    }
}

fn event(stream: &Stream, index: usize) -> Bytes {
    let text = stream.token(index).into();
    let is_last = index + 1 == stream.limit();
    let mut choice = EngineChoice {
        finish_reason: is_last.then(|| FINISH.into()),
        ..EngineChoice::default()
    };
    match stream.dialect {
        Dialect::Chat => {
            choice.delta = Some(EngineDelta {
                content: Some(text),
                tool_calls: None,
            });
        }
        _ => choice.text = Some(text),
    }
    let chunk = EngineChunk {
        choices: vec![choice],
        usage: Some(EngineUsage {
            prompt_tokens: 0,
            completion_tokens: index as u64 + 1,
        }),
        error: None,
    };
    let data = serde_json::to_string(&chunk).expect("a chunk is valid JSON");
    Bytes::from(format!("id: {index}\ndata: {data}\n\n"))
}
