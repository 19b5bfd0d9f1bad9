//! The canonical text stands for a system: it reads back as the same system.

use laburnumstall_config::{assemble, canonical, diff, digest, parse, sections};

const CARONI: &str = include_str!("../../../examples/caroni.toml");
const KUUSIVIULU: &str = include_str!("../../../examples/kuusiviulu.toml");

#[test]
fn examples_read_back() {
    for text in [CARONI, KUUSIVIULU] {
        let system = parse(text).unwrap_or_else(|faults| panic!("{faults}"));
        let again = parse(&canonical(&system)).unwrap_or_else(|faults| panic!("{faults}"));
        assert_eq!(system, again);
        assert_eq!(digest(&system), digest(&again));
        assert_eq!(diff(&system, &again), []);
        assert_eq!(assemble(&sections(&system)).expect("whole"), system);
    }
}
