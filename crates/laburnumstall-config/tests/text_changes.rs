//! Two texts are told apart by item and key.

use laburnumstall_config::{Change, diff, parse};

const CARONI: &str = include_str!("../../../examples/caroni.toml");

fn changes(edits: &[(&str, &str)]) -> Vec<Change> {
    let mut text = CARONI.to_owned();
    for (from, to) in edits {
        assert!(text.contains(from), "the example lacks {from}");
        text = text.replacen(from, to, 1);
    }
    let old = parse(CARONI).expect("the example is valid");
    let new = parse(&text).unwrap_or_else(|faults| panic!("{faults}"));
    diff(&old, &new)
}

fn shown(changes: &[Change]) -> String {
    let lines: Vec<String> = changes.iter().map(Change::to_string).collect();
    lines.join("\n")
}

/// Removing the comparison of `text` in `diff` makes this fail.
#[test]
fn by_item_and_key() {
    let changes = changes(&[
        ("deadline = \"90s\"", "deadline = \"1m 15s\""),
        ("requests = \"4req/s\"", "requests = \"6req/s\""),
        ("adapter = \"case-files\"\n", ""),
        (
            "address = \"192.0.2.11:8101\"",
            "address = \"192.0.2.99:8101\"",
        ),
        ("weight = 6", "weight = 7"),
        ("latency = \"0.5ms\"", "latency = \"0.7ms\""),
        ("name = \"arima-parish\"", "name = \"tunapuna-parish\""),
        (
            "[[service.call]]\nmethod = \"GET\"\npath = \"/orders\"\nidempotent = true\n",
            "",
        ),
    ]);
    insta::assert_snapshot!(shown(&changes));
    let json = serde_json::to_string(&changes).expect("changes are plain data");
    assert_eq!(
        serde_json::from_str::<Vec<Change>>(&json).expect("JSON"),
        changes
    );
}

#[test]
fn spelling_is_no_change() {
    let same = changes(&[
        ("deadline = \"90s\"", "deadline = \"1m 30s\""),
        ("latency = \"0.5ms\"", "latency = \"500us\""),
        ("requests = \"4req/s\"", "requests = 4"),
    ]);
    assert_eq!(same, []);
}
