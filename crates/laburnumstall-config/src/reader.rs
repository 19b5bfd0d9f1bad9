//! Reads typed values out of a parsed text and collects what is wrong with them.
//!
//! A [`Reader`] hands out the fields of a [`TableView`]. Each getter returns `None` after it
//! has recorded a fault, so that reading goes on and later faults are found as well.

use std::ops::Range;
use std::str::FromStr;
use std::time::Duration;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::fault::{Fault, FaultKind, Faults};
use crate::scalar;
use crate::source::Source;

/// Most faults that are reported of one text.
const MAX_FAULTS: usize = 200;

/// Lowest likeness at which a known name is suggested for an unknown one.
const MIN_LIKENESS: f64 = 0.6;

/// A value with its place.
#[derive(Debug, Clone)]
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) span: Range<usize>,
}

/// A table of the text, with how it is called in messages.
pub(crate) struct TableView<'t> {
    label: String,
    table: &'t DeTable<'t>,
    pub(crate) span: Range<usize>,
}

/// Collects the faults of one text.
pub(crate) struct Reader<'t> {
    source: Source<'t>,
    faults: Vec<(Range<usize>, Fault)>,
}

impl<'t> TableView<'t> {
    /// Views the whole text.
    pub(crate) fn root(table: &'t DeTable<'t>) -> Self {
        Self {
            label: "the text".into(),
            table,
            span: 0..0,
        }
    }

    fn entry(&self, key: &str) -> Option<(&'t Spanned<DeValue<'t>>, Range<usize>)> {
        self.table
            .iter()
            .find(|(name, _)| name.get_ref().as_ref() == key)
            .map(|(name, value)| (value, name.span()))
    }

    /// Returns the place of a key, or of the table if the key is absent.
    pub(crate) fn key_span(&self, key: &str) -> Range<usize> {
        self.entry(key)
            .map_or_else(|| self.span.clone(), |(_, span)| span)
    }

    /// Tells whether a key is present.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.entry(key).is_some()
    }
}

impl<'t> Reader<'t> {
    /// Starts reading `text`.
    pub(crate) fn new(text: &'t str) -> Self {
        Self {
            source: Source::new(text),
            faults: Vec::new(),
        }
    }

    /// Ends reading: `Ok` if no fault was found.
    pub(crate) fn close(self) -> Result<(), Faults> {
        match self.faults.is_empty() {
            true => Ok(()),
            false => Err(self.into_faults()),
        }
    }

    /// Ends reading and returns the faults in the order of their places.
    pub(crate) fn into_faults(self) -> Faults {
        let mut faults = self.faults;
        faults.sort_by_key(|(span, _)| span.start);
        faults.truncate(MAX_FAULTS);
        Faults {
            file: "configuration".into(),
            faults: faults.into_iter().map(|(_, fault)| fault).collect(),
        }
    }

    /// Records a fault.
    pub(crate) fn fault(
        &mut self,
        kind: FaultKind,
        span: &Range<usize>,
        message: impl Into<String>,
        expected: impl Into<String>,
        hint: Option<String>,
    ) {
        let place = self.source.place(span);
        let fault = Fault {
            kind,
            line: place.line,
            column: place.column,
            width: place.width,
            excerpt: place.excerpt,
            message: message.into(),
            expected: expected.into(),
            hint,
        };
        self.faults.push((span.clone(), fault));
    }

    /// Records a fault for every key of a table that is not among `known`.
    pub(crate) fn check_keys(&mut self, view: &TableView<'_>, known: &[&str]) {
        for (key, _) in view.table {
            let name = key.get_ref().as_ref();
            if known.contains(&name) {
                continue;
            }
            let message = format!("unknown key `{name}` in {}", view.label);
            let expected = format!("one of {}", list(known));
            let hint = nearest(name, known).map(|near| format!("did you mean `{near}`?"));
            self.fault(FaultKind::UnknownKey, &key.span(), message, expected, hint);
        }
    }

    /// Records a fault if a key is absent.
    pub(crate) fn require(&mut self, view: &TableView<'_>, key: &str, expected: &str) {
        if view.has(key) {
            return;
        }
        let message = format!("{} has no `{key}`", view.label);
        let hint = Some(format!("add `{key} = ...`"));
        self.fault(FaultKind::MissingKey, &view.span, message, expected, hint);
    }

    /// Records a fault of a value's type or range.
    pub(crate) fn bad_value(&mut self, span: &Range<usize>, message: String, expected: &str) {
        self.fault(FaultKind::BadValue, span, message, expected, None);
    }

    /// Reads a list of tables, such as `[[zone]]`.
    pub(crate) fn tables(
        &mut self,
        view: &TableView<'t>,
        key: &str,
        label: &str,
    ) -> Vec<TableView<'t>> {
        let Some((value, key_span)) = view.entry(key) else {
            return Vec::new();
        };
        let expected = format!("a list of tables, `[[{key}]]`");
        let DeValue::Array(items) = value.get_ref() else {
            let message = format!("`{key}` is {}", article(value.get_ref().type_str()));
            let hint = Some(format!("write `[[{key}]]` with two brackets"));
            self.fault(FaultKind::BadValue, &key_span, message, expected, hint);
            return Vec::new();
        };
        let mut views = Vec::new();
        for item in items {
            match item.get_ref() {
                DeValue::Table(table) => views.push(TableView {
                    label: named(label, table),
                    table,
                    span: item.span(),
                }),
                other => {
                    let message = format!("`{key}` holds {}", article(other.type_str()));
                    self.bad_value(&item.span(), message, &expected);
                }
            }
        }
        views
    }

    /// Reads a table inside of another, if it is there.
    pub(crate) fn table(&mut self, view: &TableView<'t>, key: &str) -> Option<TableView<'t>> {
        let (value, span) = view.entry(key)?;
        match value.get_ref() {
            DeValue::Table(table) => Some(TableView {
                label: format!("`{key}` of {}", view.label),
                table,
                span,
            }),
            other => {
                let message = format!("`{key}` is {}", article(other.type_str()));
                self.bad_value(&value.span(), message, "a table");
                None
            }
        }
    }

    /// Reads a text with its place, if it is there.
    pub(crate) fn text(&mut self, view: &TableView<'t>, key: &str) -> Option<Located<&'t str>> {
        let (value, _) = view.entry(key)?;
        self.as_text(value, key)
    }

    fn as_text(&mut self, value: &'t Spanned<DeValue<'t>>, key: &str) -> Option<Located<&'t str>> {
        match value.get_ref() {
            DeValue::String(text) => Some(Located {
                value: text.as_ref(),
                span: value.span(),
            }),
            other => {
                let message = format!("`{key}` is {}", article(other.type_str()));
                self.bad_value(&value.span(), message, "a text in quotes");
                None
            }
        }
    }

    /// Reads a list of texts with their places; empty if it is not there.
    pub(crate) fn texts(&mut self, view: &TableView<'t>, key: &str) -> Vec<Located<&'t str>> {
        let Some((value, _)) = view.entry(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            let message = format!("`{key}` is {}", article(value.get_ref().type_str()));
            self.bad_value(&value.span(), message, "a list of texts in brackets");
            return Vec::new();
        };
        items
            .iter()
            .filter_map(|item| self.as_text(item, key))
            .collect()
    }

    /// Reads a text as `T`, if it is there.
    pub(crate) fn parsed<T: FromStr>(
        &mut self,
        view: &TableView<'t>,
        key: &str,
        expected: &str,
    ) -> Option<Located<T>> {
        let text = self.text(view, key)?;
        self.convert(&text, key, expected)
    }

    /// Converts a text into `T`.
    pub(crate) fn convert<T: FromStr>(
        &mut self,
        text: &Located<&str>,
        key: &str,
        expected: &str,
    ) -> Option<Located<T>> {
        match text.value.parse() {
            Ok(value) => Some(Located {
                value,
                span: text.span.clone(),
            }),
            Err(_) => {
                let message = format!("`{key}` cannot be {:?}", shorten(text.value));
                self.bad_value(&text.span, message, expected);
                None
            }
        }
    }

    /// Reads a yes or no, if it is there.
    pub(crate) fn flag(&mut self, view: &TableView<'t>, key: &str) -> Option<bool> {
        let (value, _) = view.entry(key)?;
        match value.get_ref() {
            DeValue::Boolean(flag) => Some(*flag),
            other => {
                let message = format!("`{key}` is {}", article(other.type_str()));
                self.bad_value(&value.span(), message, "true or false");
                None
            }
        }
    }

    /// Reads a whole number from `low` to `high`, if it is there.
    pub(crate) fn number(
        &mut self,
        view: &TableView<'t>,
        key: &str,
        low: u64,
        high: u64,
    ) -> Option<u64> {
        let (value, _) = view.entry(key)?;
        let number = match value.get_ref() {
            DeValue::Integer(digits) => u64::from_str_radix(digits.as_str(), digits.radix()).ok(),
            _ => None,
        };
        let in_range = number.filter(|number| (low..=high).contains(number));
        if in_range.is_none() {
            let expected = format!("a whole number from {low} to {high}");
            let message = format!("`{key}` cannot be {}", show(value.get_ref()));
            self.bad_value(&value.span(), message, &expected);
        }
        in_range
    }

    /// Reads a quantity above zero, such as `"40req/s"` or `40`, if it is there.
    pub(crate) fn quantity<T: FromStr + Default + PartialEq>(
        &mut self,
        view: &TableView<'t>,
        key: &str,
        unit: &str,
    ) -> Option<T> {
        let (value, _) = view.entry(key)?;
        let number: Option<T> = match value.get_ref() {
            DeValue::String(text) => text.parse().ok(),
            DeValue::Integer(digits) if digits.radix() == 10 => digits.as_str().parse().ok(),
            _ => None,
        };
        let positive = number.filter(|number| *number != T::default());
        if positive.is_none() {
            let expected = format!("a whole number above zero with its unit, such as \"40{unit}\"");
            let message = format!("`{key}` cannot be {}", show(value.get_ref()));
            self.bad_value(&value.span(), message, &expected);
        }
        positive
    }

    /// Reads a duration above zero, such as `"0.5ms"`, if it is there.
    pub(crate) fn duration(&mut self, view: &TableView<'t>, key: &str) -> Option<Duration> {
        let (value, _) = view.entry(key)?;
        let duration = match value.get_ref() {
            DeValue::String(text) => scalar::duration(text),
            _ => None,
        };
        let positive = duration.filter(|duration| !duration.is_zero());
        if positive.is_none() {
            let expected = "a time above zero with its unit, such as \"30s\" or \"0.5ms\"";
            let message = format!("`{key}` cannot be {}", show(value.get_ref()));
            self.bad_value(&value.span(), message, expected);
        }
        positive
    }
}

/// Returns the known name that is most like `name`, if one is like it at all.
pub(crate) fn nearest<'k>(name: &str, known: &[&'k str]) -> Option<&'k str> {
    known
        .iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), *candidate))
        .filter(|(likeness, _)| *likeness >= MIN_LIKENESS)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}

/// Lists names in back quotes.
pub(crate) fn list(names: &[&str]) -> String {
    let quoted: Vec<String> = names.iter().map(|name| format!("`{name}`")).collect();
    quoted.join(", ")
}

fn named(label: &str, table: &DeTable<'_>) -> String {
    let name = table
        .iter()
        .find(|(key, _)| matches!(key.get_ref().as_ref(), "name" | "id"))
        .and_then(|(_, value)| value.get_ref().as_str());
    match name {
        Some(name) => format!("{label} `{}`", shorten(name)),
        None => format!("this {label}"),
    }
}

fn article(type_name: &str) -> String {
    match type_name {
        "integer" | "array" => format!("an {type_name}"),
        _ => format!("a {type_name}"),
    }
}

fn show(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("{:?}", shorten(text)),
        DeValue::Integer(digits) => digits.to_string(),
        DeValue::Float(digits) => digits.to_string(),
        DeValue::Boolean(flag) => flag.to_string(),
        other => article(other.type_str()),
    }
}

fn shorten(text: &str) -> String {
    text.chars().take(scalar::MAX_NAME_BYTES).collect()
}
