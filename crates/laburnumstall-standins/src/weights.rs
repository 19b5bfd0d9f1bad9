//! Stand-in for the weight store: serves one load after the other at a limited rate.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::{HttpResponse, web};
use laburnumstall_core::cloud::OrderId;
use laburnumstall_core::units::Bytes;
use laburnumstall_outside::weight_store::{
    RATE_PATH, RESERVATIONS_PATH, Reservation, ReservedLoad, WeightRate,
};

use crate::server::{Server, StandIn, lock};

/// State shared by the calls.
pub struct Weights(Mutex<Inner>);

struct Inner {
    rate: Bytes,
    load_size: Bytes,
    /// Start and end of each reservation.
    reserved: BTreeMap<OrderId, (Instant, Instant)>,
}

/// A running weight store.
pub type WeightStandIn = Server<Weights>;

impl WeightStandIn {
    /// Starts a store that serves `rate` bytes a second; each load has `load_size` bytes.
    pub fn start(rate: Bytes, load_size: Bytes) -> io::Result<Self> {
        let reserved = BTreeMap::new();
        let inner = Inner {
            rate,
            load_size,
            reserved,
        };
        Self::serve(Weights(Mutex::new(inner)), Arc::default())
    }

    /// Changes the rate of later reservations, in bytes a second.
    pub fn set_rate(&self, rate: Bytes) {
        lock(&self.state.0).rate = rate;
    }
}

impl Inner {
    fn free_at(&self, now: Instant) -> Instant {
        let ends = self.reserved.values().map(|(_, end)| *end);
        ends.max().map_or(now, |end| end.max(now))
    }

    fn reserve(&mut self, order: OrderId, now: Instant) -> ReservedLoad {
        let start = self.free_at(now);
        let micros = self.load_size.get().saturating_mul(1_000_000) / self.rate.get().max(1);
        let end = start + Duration::from_micros(micros);
        let (start, end) = *self.reserved.entry(order).or_insert((start, end));
        let millis = |at: Instant| at.saturating_duration_since(now).as_millis() as u64;
        ReservedLoad {
            size: self.load_size,
            starts_in_ms: millis(start),
            ends_in_ms: millis(end),
        }
    }
}

impl StandIn for Weights {
    fn routes(cfg: &mut web::ServiceConfig) {
        cfg.route(RATE_PATH, web::get().to(rate))
            .route(RESERVATIONS_PATH, web::post().to(reserve));
    }
}

async fn rate(weights: web::Data<Weights>) -> HttpResponse {
    let inner = lock(&weights.0);
    let now = Instant::now();
    let is_idle = inner.free_at(now) == now;
    HttpResponse::Ok().json(WeightRate {
        per_second: inner.rate,
        available: if is_idle { inner.rate } else { Bytes(0) },
    })
}

async fn reserve(weights: web::Data<Weights>, body: web::Json<Reservation>) -> HttpResponse {
    let order = body.into_inner().order;
    HttpResponse::Ok().json(lock(&weights.0).reserve(order, Instant::now()))
}
