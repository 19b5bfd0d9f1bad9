//! Reads services: their model, calls, endpoints and target.

use std::time::Duration;

use laburnumstall_core::resources::{
    CallRule, ModelSpec, Service, ServiceKind, StaticEndpoint, TargetLoad,
};

use super::ParseContext;
use super::customer::names;
use super::names::NameKind;
use crate::fault::FaultKind;
use crate::reader::TableView;
use crate::scalar;

const SERVICE_KEYS: [&str; 12] = [
    "name",
    "kind",
    "depends_on",
    "model",
    "idempotent",
    "checks_keys",
    "checks_fencing",
    "key_window",
    "deadline",
    "call",
    "endpoint",
    "target",
];
const MODEL_KEYS: [&str; 4] = ["model", "adapter", "version", "classes"];
const CALL_KEYS: [&str; 3] = ["method", "path", "idempotent"];
const ENDPOINT_KEYS: [&str; 3] = ["id", "zone", "address"];
const TARGET_KEYS: [&str; 3] = ["requests", "prompt", "answer"];

const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
const DEFAULT_KEY_WINDOW: Duration = Duration::from_secs(24 * 60 * 60);

const KIND: &str = "\"model\" or \"plain\"";
const VISIBLE_NAME: &str = "1 to 128 visible ASCII characters";

pub(super) fn read_service<'t>(cx: &mut ParseContext<'t>, view: &TableView<'t>) -> Option<Service> {
    cx.reader.check_keys(view, &SERVICE_KEYS);
    let name = cx.plain_name(view, NameKind::Service);
    let label = name.as_ref().map_or("", |name| name.value);
    let kind = read_kind(cx, view);
    let depends_on = cx.reader.texts(view, "depends_on");
    for dependency in &depends_on {
        cx.names.depend(label, dependency);
    }
    let model = cx.reader.table(view, "model");
    let model = model.and_then(|model| read_model(cx, &model));
    let idempotent = cx.reader.flag(view, "idempotent");
    let checks_keys = cx.reader.flag(view, "checks_keys").unwrap_or(false);
    let checks_fencing = cx.reader.flag(view, "checks_fencing").unwrap_or(false);
    let key_window = cx.duration_or(view, "key_window", DEFAULT_KEY_WINDOW);
    let deadline = cx.duration_or(view, "deadline", DEFAULT_DEADLINE);
    let calls = read_calls(cx, view);
    let endpoints = read_endpoints(cx, view);
    let target = cx.reader.table(view, "target");
    let target = target.and_then(|target| read_target(cx, &target));
    if let Some(deadline) = deadline {
        cx.names.deadline(label, deadline);
    }
    check_window(cx, view, key_window, deadline);
    if let Some(kind) = kind {
        check_kind(cx, view, kind);
    }
    Some(Service {
        name: name?.value.parse().ok()?,
        kind: kind?,
        depends_on: names(&depends_on),
        model,
        idempotent: idempotent.unwrap_or(kind? == ServiceKind::Model),
        calls,
        checks_keys,
        checks_fencing,
        key_window: key_window?,
        deadline: deadline?,
        endpoints,
        target,
    })
}

fn read_kind<'t>(cx: &mut ParseContext<'t>, view: &TableView<'t>) -> Option<ServiceKind> {
    cx.reader.require(view, "kind", KIND);
    let text = cx.reader.text(view, "kind")?;
    match text.value {
        "model" => Some(ServiceKind::Model),
        "plain" => Some(ServiceKind::Plain),
        other => {
            let message = format!("`kind` cannot be {other:?}");
            cx.reader.bad_value(&text.span, message, KIND);
            None
        }
    }
}

fn check_window<'t>(
    cx: &mut ParseContext<'t>,
    view: &TableView<'t>,
    key_window: Option<Duration>,
    deadline: Option<Duration>,
) {
    let (Some(key_window), Some(deadline)) = (key_window, deadline) else {
        return;
    };
    if key_window >= deadline {
        return;
    }
    let key = if view.has("key_window") {
        "key_window"
    } else {
        "deadline"
    };
    let message = "an idempotency key would expire while its request still runs";
    let expected = "a `key_window` of at least the `deadline`";
    let hint = Some("raise `key_window` or lower `deadline`".to_owned());
    let span = view.key_span(key);
    cx.reader
        .fault(FaultKind::Contradiction, &span, message, expected, hint);
}

/// Records what does not go with the kind of a service.
fn check_kind<'t>(cx: &mut ParseContext<'t>, view: &TableView<'t>, kind: ServiceKind) {
    let excluded: &[(&str, &str)] = match kind {
        ServiceKind::Model => &[("call", "calls belong to plain services")],
        ServiceKind::Plain => &[
            ("model", "a plain service runs no model"),
            ("target", "placement starts model engines alone"),
        ],
    };
    for (key, reason) in excluded {
        if view.has(key) {
            let message = format!("`{key}` does not go with this `kind`");
            let span = view.key_span(key);
            let hint = Some(format!("{reason}: remove `{key}` or change `kind`"));
            cx.reader.fault(
                FaultKind::Contradiction,
                &span,
                message,
                "another `kind`",
                hint,
            );
        }
    }
    if kind == ServiceKind::Model {
        cx.reader
            .require(view, "model", "a table `[service.model]`");
    }
    if kind == ServiceKind::Plain {
        cx.reader
            .require(view, "endpoint", "one `[[service.endpoint]]` or more");
    }
}

fn read_model<'t>(cx: &mut ParseContext<'t>, view: &TableView<'t>) -> Option<ModelSpec> {
    cx.reader.check_keys(view, &MODEL_KEYS);
    cx.reader.require(view, "model", "the name of a model");
    cx.reader.require(view, "version", "the version to run");
    cx.reader
        .require(view, "classes", "machine classes, the preferred first");
    let model = cx.reader.parsed(view, "model", VISIBLE_NAME);
    let adapter = cx.reader.parsed(view, "adapter", VISIBLE_NAME);
    let version = cx.reader.parsed(view, "version", VISIBLE_NAME);
    let classes = cx.reader.texts(view, "classes");
    for class in &classes {
        cx.names.refer(NameKind::Class, class);
    }
    if view.has("classes") && classes.is_empty() {
        let span = view.key_span("classes");
        cx.reader.bad_value(
            &span,
            "`classes` is empty".to_owned(),
            "one machine class or more",
        );
    }
    Some(ModelSpec {
        model: model?.value,
        adapter: adapter.map(|adapter| adapter.value),
        version: version?.value,
        classes: names(&classes),
    })
}

fn read_calls<'t>(cx: &mut ParseContext<'t>, view: &TableView<'t>) -> Vec<CallRule> {
    let mut calls: Vec<CallRule> = Vec::new();
    for call in cx.reader.tables(view, "call", "call") {
        let Some(rule) = read_call(cx, &call) else {
            continue;
        };
        let is_same = |known: &CallRule| known.method == rule.method && known.path == rule.path;
        if calls.iter().any(is_same) {
            let message = format!("call `{} {}` has two rules", rule.method, rule.path);
            let span = call.key_span("path");
            cx.reader
                .fault(FaultKind::Duplicate, &span, message, "each call once", None);
            continue;
        }
        calls.push(rule);
    }
    calls
}

fn read_call<'t>(cx: &mut ParseContext<'t>, view: &TableView<'t>) -> Option<CallRule> {
    const METHOD: &str = "an HTTP method in capitals, such as \"POST\"";
    const PATH: &str = "a path below the service, such as \"/orders\"";
    cx.reader.check_keys(view, &CALL_KEYS);
    cx.reader.require(view, "method", METHOD);
    cx.reader.require(view, "path", PATH);
    cx.reader.require(view, "idempotent", "true or false");
    let method = cx.reader.text(view, "method");
    let path = cx.reader.text(view, "path");
    let idempotent = cx.reader.flag(view, "idempotent");
    if let Some(method) = &method
        && !scalar::is_method(method.value)
    {
        let message = format!("`method` cannot be {:?}", method.value);
        cx.reader.bad_value(&method.span, message, METHOD);
    }
    if let Some(path) = &path
        && !scalar::is_path(path.value)
    {
        let message = format!("`path` cannot be {:?}", path.value);
        cx.reader.bad_value(&path.span, message, PATH);
    }
    Some(CallRule {
        method: method?.value.into(),
        path: path?.value.into(),
        idempotent: idempotent?,
    })
}

fn read_endpoints<'t>(cx: &mut ParseContext<'t>, view: &TableView<'t>) -> Vec<StaticEndpoint> {
    cx.reader
        .tables(view, "endpoint", "endpoint")
        .iter()
        .filter_map(|endpoint| read_endpoint(cx, endpoint))
        .collect()
}

fn read_endpoint<'t>(cx: &mut ParseContext<'t>, view: &TableView<'t>) -> Option<StaticEndpoint> {
    const ADDRESS: &str = "an IP number with a port, such as \"10.0.0.7:8080\"";
    cx.reader.check_keys(view, &ENDPOINT_KEYS);
    cx.reader.require(view, "id", VISIBLE_NAME);
    cx.reader.require(view, "zone", "the zone of its VM");
    cx.reader.require(view, "address", ADDRESS);
    let id = cx.reader.parsed(view, "id", VISIBLE_NAME);
    if let Some(text) = cx.reader.text(view, "id") {
        cx.names.declare(&mut cx.reader, NameKind::Endpoint, &text);
    }
    let zone = cx.reader.text(view, "zone");
    if let Some(zone) = &zone {
        cx.names.refer(NameKind::Zone, zone);
    }
    let address = cx.reader.parsed(view, "address", ADDRESS);
    Some(StaticEndpoint {
        id: id?.value,
        zone: zone?.value.parse().ok()?,
        address: address?.value,
    })
}

fn read_target<'t>(cx: &mut ParseContext<'t>, view: &TableView<'t>) -> Option<TargetLoad> {
    cx.reader.check_keys(view, &TARGET_KEYS);
    for key in TARGET_KEYS {
        cx.reader.require(view, key, "the load at the peak");
    }
    let requests = cx.reader.quantity(view, "requests", "req/s");
    let prompt = cx.reader.quantity(view, "prompt", "tok");
    let answer = cx.reader.quantity(view, "answer", "tok");
    Some(TargetLoad {
        requests: requests?,
        prompt: prompt?,
        answer: answer?,
    })
}
