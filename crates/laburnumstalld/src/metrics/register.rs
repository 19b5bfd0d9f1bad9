//! Creates metrics from their specifications and registers them.

use prometheus::core::Collector;
use prometheus::{
    Counter, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, Result,
};

use super::spec::MetricSpec;

/// Upper bounds of histogram buckets in seconds, finer around the targets of 51 ms and 1 s.
const BUCKETS: [f64; 16] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.04, 0.051, 0.075, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
    10.0,
];

fn opts(spec: &MetricSpec) -> Opts {
    Opts::new(spec.name, spec.help)
}

fn histogram_opts(spec: &MetricSpec) -> HistogramOpts {
    HistogramOpts::new(spec.name, spec.help).buckets(BUCKETS.to_vec())
}

fn add<C: Collector + Clone + 'static>(registry: &Registry, metric: C) -> Result<C> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

pub(crate) fn counter(registry: &Registry, spec: &MetricSpec) -> Result<IntCounter> {
    add(registry, IntCounter::with_opts(opts(spec))?)
}

pub(crate) fn seconds_counter(registry: &Registry, spec: &MetricSpec) -> Result<Counter> {
    add(registry, Counter::with_opts(opts(spec))?)
}

pub(crate) fn counters(registry: &Registry, spec: &MetricSpec) -> Result<IntCounterVec> {
    add(registry, IntCounterVec::new(opts(spec), spec.labels)?)
}

pub(crate) fn gauge(registry: &Registry, spec: &MetricSpec) -> Result<IntGauge> {
    add(registry, IntGauge::with_opts(opts(spec))?)
}

pub(crate) fn gauges(registry: &Registry, spec: &MetricSpec) -> Result<IntGaugeVec> {
    add(registry, IntGaugeVec::new(opts(spec), spec.labels)?)
}

pub(crate) fn histogram(registry: &Registry, spec: &MetricSpec) -> Result<Histogram> {
    add(registry, Histogram::with_opts(histogram_opts(spec))?)
}

pub(crate) fn histograms(registry: &Registry, spec: &MetricSpec) -> Result<HistogramVec> {
    add(
        registry,
        HistogramVec::new(histogram_opts(spec), spec.labels)?,
    )
}
