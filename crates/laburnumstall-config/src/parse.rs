//! Builds a system from a text.
//!
//! Syntax comes first: a text that is not TOML is reported with its syntax faults alone.
//! Then every table is read, and all faults of all tables are collected. Names are noted
//! while reading, so that references are checked once everything has been seen.

mod customer;
mod names;
mod platform;
mod service;

use laburnumstall_core::resources::System;
use toml::Spanned;
use toml::de::DeTable;

use crate::canonical::normalize;
use crate::fault::{FaultKind, Faults};
use crate::reader::{Reader, TableView};
use names::Names;

/// Largest text that is read, in bytes.
const MAX_TEXT_BYTES: usize = 8 << 20;

/// Keys at the top of a text.
const TOP_KEYS: [&str; 5] = ["zone", "link", "class", "service", "customer"];

/// What reading a table needs: the faults so far and the names so far.
struct ParseContext<'t> {
    reader: Reader<'t>,
    names: Names,
}

/// Reads the operators' text.
///
/// # Errors
///
/// Returns all faults of the text; syntax faults hide the others.
pub fn parse(text: &str) -> Result<System, Faults> {
    let document = read_toml(text)?;
    let mut cx = ParseContext {
        reader: Reader::new(text),
        names: Names::default(),
    };
    let mut system = read_system(&mut cx, &TableView::root(document.get_ref()));
    cx.names.check(&mut cx.reader);
    cx.reader.close()?;
    normalize(&mut system);
    Ok(system)
}

/// Parses the text as TOML, with the place of each key and value.
fn read_toml(text: &str) -> Result<Spanned<DeTable<'_>>, Faults> {
    let mut reader = Reader::new(text);
    if text.len() > MAX_TEXT_BYTES {
        let message = format!("the text has {} bytes", text.len());
        let expected = format!("at most {MAX_TEXT_BYTES} bytes");
        reader.bad_value(&(0..0), message, &expected);
        return Err(reader.into_faults());
    }
    let (document, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        syntax_fault(&mut reader, error);
    }
    reader.close()?;
    Ok(document)
}

fn syntax_fault(reader: &mut Reader<'_>, error: &toml::de::Error) {
    let span = error.span().unwrap_or(0..0);
    let message = error.message();
    let (message, expected) = message
        .split_once(", expected ")
        .unwrap_or((message, "TOML"));
    reader.fault(FaultKind::Syntax, &span, message, expected, None);
}

fn read_system<'t>(cx: &mut ParseContext<'t>, root: &TableView<'t>) -> System {
    cx.reader.check_keys(root, &TOP_KEYS);
    let zones = cx.reader.tables(root, "zone", "zone");
    let links = cx.reader.tables(root, "link", "link");
    let classes = cx.reader.tables(root, "class", "class");
    let services = cx.reader.tables(root, "service", "service");
    let customers = cx.reader.tables(root, "customer", "customer");
    System {
        zones: read_all(cx, &zones, platform::read_zone),
        links: read_all(cx, &links, platform::read_link),
        classes: read_all(cx, &classes, platform::read_class),
        services: read_all(cx, &services, service::read_service),
        customers: read_all(cx, &customers, customer::read_customer),
    }
}

fn read_all<'t, T>(
    cx: &mut ParseContext<'t>,
    views: &[TableView<'t>],
    read: fn(&mut ParseContext<'t>, &TableView<'t>) -> Option<T>,
) -> Vec<T> {
    views.iter().filter_map(|view| read(cx, view)).collect()
}
