//! Every fault of a text is reported, each with its place and what was expected.

use laburnumstall_config::{FaultKind, parse};

const CARONI: &str = include_str!("../../../examples/caroni.toml");

fn report(text: &str) -> String {
    match parse(text) {
        Ok(_) => panic!("the text has no fault"),
        Err(faults) => faults.with_file("system.toml").to_string(),
    }
}

/// Removing the loop over unknown keys in `Reader::check_keys` makes this fail.
#[test]
fn all_faults_at_once() {
    insta::assert_snapshot!(report(include_str!("texts/many_faults.toml")));
}

#[test]
fn syntax_faults() {
    insta::assert_snapshot!(report("[[zone]\nname = \"a\n\nregion = = 3\n"));
}

/// Removing the call of `check_cycles` in `Names::check` makes this fail.
#[test]
fn cycles_are_refused() {
    let text = CARONI.replace(
        "name = \"holdings\"\n",
        "name = \"holdings\"\ndepends_on = [\"summaries\"]\n",
    );
    insta::assert_snapshot!(report(&text));
}

#[test]
fn wrong_types_everywhere() {
    let text = "zone = 3\nlink = [1, true]\nservice = \"x\"\n[class]\nname = 1979-05-27\n";
    insta::assert_snapshot!(report(text));
}

/// Each replacement puts one fault into a text that has none.
#[test]
fn one_fault_each() {
    let cases = [
        (
            "latency = \"0.5ms\"",
            "latency = \"0ms\"",
            FaultKind::BadValue,
        ),
        (
            "latency = \"0.5ms\"",
            "latency = \"-1ms\"",
            FaultKind::BadValue,
        ),
        (
            "requests = \"4req/s\"",
            "requests = \"0req/s\"",
            FaultKind::BadValue,
        ),
        (
            "requests = \"4req/s\"",
            "requests = -4",
            FaultKind::BadValue,
        ),
        (
            "requests = \"4req/s\"",
            "requests = \"4tok/s\"",
            FaultKind::BadValue,
        ),
        ("weight = 6", "weigth = 6", FaultKind::UnknownKey),
        ("weight = 6", "weight = 0", FaultKind::BadValue),
        ("version = \"2026-11\"", "", FaultKind::MissingKey),
        (
            "zone = \"tt-north-a\"",
            "zone = \"tt-nort-a\"",
            FaultKind::UnknownName,
        ),
        (
            "name = \"clerks\"",
            "name = \"schedules\"",
            FaultKind::Duplicate,
        ),
        (
            "name = \"accel-24\"",
            "name = \"accel-48\"",
            FaultKind::Duplicate,
        ),
        (
            "id = \"disposal-b\"",
            "id = \"disposal-a\"",
            FaultKind::Duplicate,
        ),
        (
            "to = \"tt-north-b\"",
            "to = \"tt-north-a\"",
            FaultKind::Contradiction,
        ),
        (
            "key_window = \"72h\"",
            "key_window = \"7s\"",
            FaultKind::Contradiction,
        ),
        (
            "reclaimable = \"390000u/h\"",
            "reclaimable = \"9900000u/h\"",
            FaultKind::Contradiction,
        ),
        (
            "first_token = \"1s\"",
            "first_token = \"40s\"",
            FaultKind::Contradiction,
        ),
        (
            "kind = \"plain\"",
            "kind = \"model\"",
            FaultKind::Contradiction,
        ),
        ("kind = \"plain\"", "kind = \"plane\"", FaultKind::BadValue),
        (
            "key_digests = [\"f7",
            "key_digests = [\"F7",
            FaultKind::BadValue,
        ),
        (
            "path = \"/orders\"",
            "path = \"orders\"",
            FaultKind::BadValue,
        ),
        (
            "address = \"192.0.2.11:8101\"",
            "address = \"localhost:8101\"",
            FaultKind::BadValue,
        ),
        (
            "name = \"disposal\"",
            "name = \"dis/posal\"",
            FaultKind::BadValue,
        ),
    ];
    for (from, to, kind) in cases {
        assert!(CARONI.contains(from), "the example lacks {from}");
        let faults = parse(&CARONI.replacen(from, to, 1)).expect_err(to).faults;
        assert!(
            faults.iter().any(|fault| fault.kind == kind),
            "{to}: {faults:#?}"
        );
    }
}
