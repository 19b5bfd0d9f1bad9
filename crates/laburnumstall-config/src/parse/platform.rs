//! Reads zones, links and machine classes.

use laburnumstall_core::resources::{Link, VmClassSpec, Zone};

use super::ParseContext;
use super::names::NameKind;
use crate::fault::FaultKind;
use crate::reader::{Located, TableView};
use crate::scalar;

const ZONE_KEYS: [&str; 4] = ["name", "region", "price_permille", "reclaim_permille_day"];
const LINK_KEYS: [&str; 3] = ["from", "to", "latency"];
const CLASS_KEYS: [&str; 7] = [
    "name",
    "on_demand",
    "reclaimable",
    "accelerators",
    "decode",
    "prefill",
    "cache",
];

/// Price of a machine at its class's list price, in thousandths.
const LIST_PRICE_PERMILLE: u64 = 1000;

/// Highest price of a zone, in thousandths of the list price.
const MAX_PRICE_PERMILLE: u64 = 100_000;

/// Most accelerators of one machine.
const MAX_ACCELERATORS: u64 = 1024;

pub(super) const PLAIN_NAME: &str =
    "1 to 64 letters, digits, `-`, `_` or `.`, a letter or digit first";
const VISIBLE_NAME: &str = "1 to 128 visible ASCII characters";

impl<'t> ParseContext<'t> {
    /// Reads the name that a table declares; it can stand in paths and store keys.
    pub(super) fn plain_name(
        &mut self,
        view: &TableView<'t>,
        kind: NameKind,
    ) -> Option<Located<&'t str>> {
        self.reader.require(view, "name", PLAIN_NAME);
        let name = self.reader.text(view, "name")?;
        if !scalar::is_plain_name(name.value) {
            let message = format!("`name` of a {kind} cannot be {:?}", name.value);
            self.reader.bad_value(&name.span, message, PLAIN_NAME);
            return None;
        }
        self.names.declare(&mut self.reader, kind, &name);
        Some(name)
    }
}

pub(super) fn read_zone<'t>(cx: &mut ParseContext<'t>, view: &TableView<'t>) -> Option<Zone> {
    cx.reader.check_keys(view, &ZONE_KEYS);
    let name = cx.plain_name(view, NameKind::Zone);
    cx.reader.require(view, "region", PLAIN_NAME);
    let region = cx.reader.parsed(view, "region", VISIBLE_NAME);
    let price = match view.has("price_permille") {
        true => cx
            .reader
            .number(view, "price_permille", 1, MAX_PRICE_PERMILLE),
        false => Some(LIST_PRICE_PERMILLE),
    };
    cx.reader.require(
        view,
        "reclaim_permille_day",
        "a chance in thousandths, 0 to 1000",
    );
    let reclaim = cx.reader.number(view, "reclaim_permille_day", 0, 1000);
    Some(Zone {
        name: name?.value.parse().ok()?,
        region: region?.value,
        price_permille: price? as u32,
        reclaim_permille_day: reclaim? as u32,
    })
}

pub(super) fn read_link<'t>(cx: &mut ParseContext<'t>, view: &TableView<'t>) -> Option<Link> {
    cx.reader.check_keys(view, &LINK_KEYS);
    for key in LINK_KEYS {
        cx.reader
            .require(view, key, "two zones and the one-way latency between them");
    }
    let from = cx.reader.text(view, "from");
    let to = cx.reader.text(view, "to");
    let latency = cx.reader.duration(view, "latency");
    for end in [&from, &to].into_iter().flatten() {
        cx.names.refer(NameKind::Zone, end);
    }
    let (from, to) = (from?, to?);
    if from.value == to.value {
        let message = format!("the link joins `{}` with itself", from.value);
        let expected = "another zone";
        cx.reader
            .fault(FaultKind::Contradiction, &to.span, message, expected, None);
        return None;
    }
    cx.names
        .link(&mut cx.reader, from.value, to.value, &to.span);
    Some(Link {
        from: from.value.parse().ok()?,
        to: to.value.parse().ok()?,
        latency: latency?,
    })
}

pub(super) fn read_class<'t>(
    cx: &mut ParseContext<'t>,
    view: &TableView<'t>,
) -> Option<VmClassSpec> {
    cx.reader.check_keys(view, &CLASS_KEYS);
    for key in CLASS_KEYS {
        cx.reader
            .require(view, key, "a value, since it has no default");
    }
    let name = cx.reader.parsed(view, "name", VISIBLE_NAME);
    if let Some(text) = cx.reader.text(view, "name") {
        cx.names.declare(&mut cx.reader, NameKind::Class, &text);
    }
    let on_demand = cx.reader.quantity(view, "on_demand", "u/h");
    let reclaimable = cx.reader.quantity(view, "reclaimable", "u/h");
    if let (Some(on_demand), Some(reclaimable)) = (on_demand, reclaimable)
        && reclaimable > on_demand
    {
        let message = "a reclaimable machine costs more than one on demand";
        let expected = "at most the price on demand";
        let span = view.key_span("reclaimable");
        cx.reader
            .fault(FaultKind::Contradiction, &span, message, expected, None);
    }
    let accelerators = cx.reader.number(view, "accelerators", 1, MAX_ACCELERATORS);
    let decode = cx.reader.quantity(view, "decode", "tok/s");
    let prefill = cx.reader.quantity(view, "prefill", "tok/s");
    let cache = cx.reader.quantity(view, "cache", "tok");
    Some(VmClassSpec {
        name: name?.value,
        on_demand: on_demand?,
        reclaimable: reclaimable?,
        accelerators: accelerators? as u32,
        decode: decode?,
        prefill: prefill?,
        cache: cache?,
    })
}
