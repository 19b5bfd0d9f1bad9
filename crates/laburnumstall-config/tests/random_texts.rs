//! No text makes the reader panic, and what it accepts has a canonical form.

use laburnumstall_config::{canonical, parse};
use quickcheck::{Arbitrary, Gen};

const CARONI: &str = include_str!("../../../examples/caroni.toml");
const MANY_FAULTS: &str = include_str!("texts/many_faults.toml");
const CASES: u64 = 2_000;
const PIECES: [&str; 24] = [
    "[[zone]]\n",
    "[zone]\n",
    "[[service.call]]\n",
    "name",
    " = ",
    "\"a\"",
    "\n",
    "[",
    "]",
    "{",
    "}",
    ".",
    ",",
    "1",
    "-1",
    "0x10",
    "1e400",
    "99999999999999999999",
    "true",
    "1979-05-27",
    "\"\"\"",
    "\u{e4}",
    "\t",
    "service",
];

fn read(text: &str) {
    match parse(text) {
        Ok(system) => assert_eq!(parse(&canonical(&system)).expect("canonical"), system),
        Err(faults) => {
            assert!(!faults.faults.is_empty());
            assert!(!faults.to_string().is_empty());
        }
    }
}

fn index(g: &mut Gen, bound: usize) -> usize {
    usize::arbitrary(g) % bound.max(1)
}

/// Replaces, removes or repeats a few parts of a text.
fn damage(g: &mut Gen, text: &str) -> String {
    let mut chars: Vec<char> = text.chars().collect();
    for _ in 0..1 + index(g, 4) {
        let at = index(g, chars.len());
        let end = (at + index(g, 20)).min(chars.len());
        match index(g, 3) {
            0 => drop(chars.drain(at..end)),
            1 => chars.insert(at, char::arbitrary(g)),
            _ => {
                let part: Vec<char> = chars[at..end].to_vec();
                chars.splice(at..at, part);
            }
        }
    }
    chars.into_iter().collect()
}

#[test]
fn damaged_texts() {
    let g = &mut Gen::from_size_and_seed(64, 21);
    for text in [CARONI, MANY_FAULTS] {
        for _ in 0..CASES / 2 {
            read(&damage(g, text));
        }
    }
}

#[test]
fn random_pieces() {
    let g = &mut Gen::from_size_and_seed(64, 22);
    for _ in 0..CASES {
        let count = index(g, 40);
        let pieces: Vec<&str> = (0..count).map(|_| PIECES[index(g, PIECES.len())]).collect();
        read(&pieces.concat());
    }
}

#[test]
fn random_characters() {
    let g = &mut Gen::from_size_and_seed(200, 23);
    for _ in 0..CASES {
        read(&String::arbitrary(g));
    }
}

#[test]
fn deep_and_long_texts() {
    read(&"[".repeat(100_000));
    read(&format!("a = {}", "{a = ".repeat(10_000)));
    read(&format!("a = {}", "[".repeat(10_000)));
    read(&"zone = 1\n".repeat(10_000));
    read(&format!("{} = 1", "a.".repeat(10_000)));
    read(&"x".repeat(9 << 20));
}
