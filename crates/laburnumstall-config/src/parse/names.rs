//! The names of a text: where each is declared, and where each is referred to.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Range;
use std::time::Duration;

use crate::fault::FaultKind;
use crate::reader::{Located, Reader, list, nearest};

/// What a name stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum NameKind {
    Zone,
    Class,
    Service,
    Customer,
    Endpoint,
    KeyDigest,
}

impl fmt::Display for NameKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Zone => "zone",
            Self::Class => "class",
            Self::Service => "service",
            Self::Customer => "customer",
            Self::Endpoint => "endpoint",
            Self::KeyDigest => "key digest",
        })
    }
}

struct Reference {
    kind: NameKind,
    name: String,
    span: Range<usize>,
}

struct Dependency {
    from: String,
    to: String,
    span: Range<usize>,
}

struct Promise {
    customer: String,
    services: Vec<String>,
    first_token: Duration,
    span: Range<usize>,
}

/// Names declared and referred to so far.
#[derive(Default)]
pub(super) struct Names {
    declared: BTreeMap<(NameKind, String), Range<usize>>,
    references: Vec<Reference>,
    dependencies: Vec<Dependency>,
    links: BTreeMap<(String, String), Range<usize>>,
    deadlines: BTreeMap<String, Duration>,
    promises: Vec<Promise>,
}

impl Names {
    /// Notes that a name is declared, and records a fault if it was before.
    pub(super) fn declare(
        &mut self,
        reader: &mut Reader<'_>,
        kind: NameKind,
        name: &Located<&str>,
    ) {
        let key = (kind, name.value.to_owned());
        if self.declared.contains_key(&key) {
            let message = format!("{kind} `{}` is declared twice", name.value);
            let expected = format!("each {kind} once");
            let hint = Some("remove one or give it another name".to_owned());
            reader.fault(FaultKind::Duplicate, &name.span, message, expected, hint);
            return;
        }
        self.declared.insert(key, name.span.clone());
    }

    /// Notes that a name is referred to.
    pub(super) fn refer(&mut self, kind: NameKind, name: &Located<&str>) {
        self.references.push(Reference {
            kind,
            name: name.value.to_owned(),
            span: name.span.clone(),
        });
    }

    /// Notes that a service depends on another.
    pub(super) fn depend(&mut self, from: &str, to: &Located<&str>) {
        self.refer(NameKind::Service, to);
        self.dependencies.push(Dependency {
            from: from.to_owned(),
            to: to.value.to_owned(),
            span: to.span.clone(),
        });
    }

    /// Notes a link, and records a fault if its zones were linked before.
    pub(super) fn link(
        &mut self,
        reader: &mut Reader<'_>,
        from: &str,
        to: &str,
        span: &Range<usize>,
    ) {
        let pair = ordered(from, to);
        if self.links.contains_key(&pair) {
            let message = format!("`{from}` and `{to}` are linked twice");
            let hint = Some("a link holds in both directions".to_owned());
            reader.fault(
                FaultKind::Duplicate,
                span,
                message,
                "each pair of zones once",
                hint,
            );
            return;
        }
        self.links.insert(pair, span.clone());
    }

    /// Notes a service's deadline.
    pub(super) fn deadline(&mut self, service: &str, deadline: Duration) {
        self.deadlines.insert(service.to_owned(), deadline);
    }

    /// Notes the time to the first token that a customer is promised.
    pub(super) fn promise(
        &mut self,
        customer: &str,
        services: &[Located<&str>],
        first_token: Duration,
        span: Range<usize>,
    ) {
        self.promises.push(Promise {
            customer: customer.to_owned(),
            services: services.iter().map(|name| name.value.to_owned()).collect(),
            first_token,
            span,
        });
    }

    /// Records the faults that show only once the whole text has been read.
    pub(super) fn check(&self, reader: &mut Reader<'_>) {
        self.check_references(reader);
        self.check_cycles(reader);
        self.check_links(reader);
        self.check_promises(reader);
    }

    fn check_references(&self, reader: &mut Reader<'_>) {
        for reference in &self.references {
            let Reference { kind, name, span } = reference;
            if self.declared.contains_key(&(*kind, name.clone())) {
                continue;
            }
            let known = self.names_of(*kind);
            let expected = format!("a {kind} that the text declares");
            let hint = match nearest(name, &known) {
                Some(near) => format!("did you mean `{near}`?"),
                None => format!("add `[[{kind}]]` with this name"),
            };
            let message = format!("there is no {kind} `{name}`");
            reader.fault(FaultKind::UnknownName, span, message, expected, Some(hint));
        }
    }

    fn names_of(&self, kind: NameKind) -> Vec<&str> {
        self.declared
            .keys()
            .filter(|(declared, _)| *declared == kind)
            .map(|(_, name)| name.as_str())
            .collect()
    }

    fn check_cycles(&self, reader: &mut Reader<'_>) {
        for dependency in &self.dependencies {
            if !self.reaches(&dependency.to, &dependency.from) {
                continue;
            }
            let Dependency { from, to, span } = dependency;
            let message =
                format!("service `{from}` depends on `{to}`, which leads back to `{from}`");
            let hint = Some("remove one dependency of the circle".to_owned());
            let expected = "dependencies without a circle";
            reader.fault(FaultKind::Cycle, span, message, expected, hint);
        }
    }

    fn reaches(&self, start: &str, goal: &str) -> bool {
        let mut seen = BTreeSet::new();
        let mut open = vec![start];
        while let Some(service) = open.pop() {
            if service == goal {
                return true;
            }
            if !seen.insert(service) {
                continue;
            }
            let next = self.dependencies.iter().filter(|dep| dep.from == service);
            open.extend(next.map(|dep| dep.to.as_str()));
        }
        false
    }

    fn check_links(&self, reader: &mut Reader<'_>) {
        let zones = self.names_of(NameKind::Zone);
        for (index, from) in zones.iter().enumerate() {
            let missing: Vec<&str> = zones[index + 1..]
                .iter()
                .copied()
                .filter(|to| !self.links.contains_key(&ordered(from, to)))
                .collect();
            if missing.is_empty() {
                continue;
            }
            let span = &self.declared[&(NameKind::Zone, (*from).to_owned())];
            let message = format!("zone `{from}` has no link to {}", list(&missing));
            let expected = "a `[[link]]` between each two zones";
            let hint = format!(
                "add `[[link]]` with `from = \"{from}\"`, `to = \"{}\"` and `latency`",
                missing[0]
            );
            reader.fault(FaultKind::MissingKey, span, message, expected, Some(hint));
        }
    }

    fn check_promises(&self, reader: &mut Reader<'_>) {
        for promise in &self.promises {
            let covers = |service: &String| {
                promise.services.is_empty() || promise.services.contains(service)
            };
            let too_short = self
                .deadlines
                .iter()
                .find(|(service, deadline)| covers(service) && **deadline < promise.first_token);
            let Some((service, _)) = too_short else {
                continue;
            };
            let message = format!(
                "customer `{}` is promised the first token after service `{service}` gives up",
                promise.customer
            );
            let expected = "a time within the deadline of each service";
            let hint = Some(format!("lower it or raise `deadline` of `{service}`"));
            reader.fault(
                FaultKind::Contradiction,
                &promise.span,
                message,
                expected,
                hint,
            );
        }
    }
}

fn ordered(from: &str, to: &str) -> (String, String) {
    let (low, high) = if from <= to { (from, to) } else { (to, from) };
    (low.to_owned(), high.to_owned())
}
