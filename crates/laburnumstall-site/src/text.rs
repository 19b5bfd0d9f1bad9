//! The operators' text of a site.

use std::fmt::Write;
use std::net::SocketAddr;

use laburnumstall_core::units::RequestRate;

use crate::spec::SiteSpec;

/// Key of the operators.
pub const OPERATOR_KEY: &str = "demo-operator-key";

/// Key of the first customer.
pub const CUSTOMER_KEY: &str = "demo-key-chambers";

/// Key of the second customer.
pub const OTHER_CUSTOMER_KEY: &str = "demo-key-registry";

/// Region of a site.
pub(crate) const REGION: &str = "demo";

/// Model service of a site.
pub const MODEL_SERVICE: &str = "assistant";

/// Plain service whose POST calls are not idempotent.
pub const ORDER_SERVICE: &str = "orders";

/// Plain service whose calls are idempotent.
pub const STOCK_SERVICE: &str = "stock";

/// Returns the digest of a key as the text holds it.
pub(crate) fn digest_of(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Writes the text of a site whose plain services run at the given addresses.
pub(crate) fn write(spec: &SiteSpec, orders: SocketAddr, stock: SocketAddr) -> String {
    let mut text = String::new();
    for zone in &spec.zones {
        let _ = write!(
            text,
            "[[zone]]\nname = \"{zone}\"\nregion = \"{REGION}\"\nprice_permille = 1000\nreclaim_permille_day = 100\n\n"
        );
    }
    for (index, from) in spec.zones.iter().enumerate() {
        for to in &spec.zones[index + 1..] {
            let _ = write!(
                text,
                "[[link]]\nfrom = \"{from}\"\nto = \"{to}\"\nlatency = \"0.5ms\"\n\n"
            );
        }
    }
    text.push_str(CLASS);
    let _ = write!(text, "{}", model_service(spec.target));
    let first = &spec.zones[0];
    let second = &spec.zones[1 % spec.zones.len()];
    let _ = write!(
        text,
        "{}",
        plain_service(ORDER_SERVICE, false, first.as_str(), orders)
    );
    let _ = write!(
        text,
        "{}",
        plain_service(STOCK_SERVICE, true, second.as_str(), stock)
    );
    text.push_str(&customer("chambers", CUSTOMER_KEY));
    text.push_str(&customer("registry", OTHER_CUSTOMER_KEY));
    text
}

const CLASS: &str = r#"[[class]]
name = "accel-24"
on_demand = "1100000u/h"
reclaimable = "390000u/h"
accelerators = 1
decode = "1600tok/s"
prefill = "16000tok/s"
cache = "600000tok"

"#;

fn model_service(target: Option<RequestRate>) -> String {
    let checks_fencing = target.is_some();
    let target = target.map_or_else(String::new, |requests| {
        format!(
            "[service.target]\nrequests = \"{requests}\"\nprompt = \"400tok\"\nanswer = \"80tok\"\n\n"
        )
    });
    format!(
        r#"[[service]]
name = "{MODEL_SERVICE}"
kind = "model"
checks_fencing = {checks_fencing}
deadline = "60s"

[service.model]
model = "archive-8b"
version = "2026-11"
classes = ["accel-24"]

{target}"#
    )
}

fn plain_service(name: &str, idempotent: bool, zone: &str, address: SocketAddr) -> String {
    format!(
        r#"[[service]]
name = "{name}"
kind = "plain"
idempotent = {idempotent}
checks_keys = false
key_window = "24h"
deadline = "10s"

[[service.endpoint]]
id = "{name}-1"
zone = "{zone}"
address = "{address}"

"#
    )
}

fn customer(name: &str, key: &str) -> String {
    format!(
        r#"[[customer]]
name = "{name}"
key_digests = ["{}"]

[customer.contract]
requests = "2000req/s"
tokens = "2000000tok/s"
weight = 1
priority = 1
first_token = "1s"
between_tokens = "51ms"

"#,
        digest_of(key)
    )
}
