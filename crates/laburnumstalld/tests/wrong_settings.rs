//! Settings from flags and environment variables, and the reported faults.

use std::collections::BTreeMap;

use laburnumstalld::settings::{Environment, Invocation, KeyDigest, Settings, SettingsError};
use quickcheck::{Gen, QuickCheck};

const REQUIRED_FLAGS: [&str; 10] = [
    "--vm=entry-1",
    "--zone=z1",
    "--region=tt-north",
    "--store=10.0.0.9:2379",
    "--listen",
    "10.0.0.1:8080",
    "--peer-listen",
    "10.0.0.1:8081",
    "--workers",
    "4",
];

fn none() -> BTreeMap<&'static str, &'static str> {
    BTreeMap::new()
}

fn read(args: &[&str], env: &impl Environment) -> Result<Settings, SettingsError> {
    match Settings::from_args(args, env)? {
        Invocation::Run(settings) => Ok(*settings),
        Invocation::Print(text) => panic!("settings were expected, not {text}"),
    }
}

fn faults(args: &[&str], env: &impl Environment) -> String {
    read(args, env).expect_err("faults").to_string()
}

#[test]
fn help_is_complete() {
    let text = Settings::from_args(&["--help"], &none());
    let Ok(Invocation::Print(text)) = text else {
        panic!("help was expected");
    };
    insta::assert_snapshot!("help", text);
}

#[test]
fn all_faults_come_at_once() {
    let env = BTreeMap::from([
        ("LABURNUMSTALLD_ZONES", "z1"),
        ("LABURNUMSTALLD_NOTICE", "soon"),
    ]);
    let args = [
        "--zone=a zone",
        "--listen=localhost:80",
        "--advertise=0.0.0.0:80",
        "--operator-key-digest=12,zz",
        "--workers=0",
        "--log-level=loud",
        "--max-body=3000000",
        "--directory-max-age=-1",
        "--store-calls-per-second=1.5",
    ];
    insta::assert_snapshot!("all_faults", faults(&args, &env));
}

#[test]
fn addresses_are_checked_together() {
    let args = [
        "--vm=a",
        "--zone=z",
        "--region=r",
        "--store=10.0.0.9:2379",
        "--admin-listen=127.0.0.1:8080",
    ];
    insta::assert_snapshot!("addresses_together", faults(&args, &none()));
}

#[test]
fn an_unknown_flag_is_told() {
    insta::assert_snapshot!("unknown_flag", faults(&["--speed=9"], &none()));
}

/// Fails without the first return of `Reader::raw`.
#[test]
fn a_flag_overrides_its_variable() {
    let env = BTreeMap::from([
        ("LABURNUMSTALLD_WORKERS", "9"),
        ("LABURNUMSTALLD_NOTICE", "7"),
    ]);
    let settings = read(&REQUIRED_FLAGS, &env).expect("settings");
    assert_eq!(settings.workers, 4);
    assert_eq!(settings.notice.as_secs(), 7);
}

#[test]
fn every_flag_has_a_variable() {
    let digest = KeyDigest::of("key");
    let digests = format!("{digest}, {}", KeyDigest::of("other"));
    let env = BTreeMap::from([
        ("LABURNUMSTALLD_VM", "entry-1"),
        ("LABURNUMSTALLD_ZONE", "z1"),
        ("LABURNUMSTALLD_REGION", "tt-north"),
        ("LABURNUMSTALLD_LISTEN", "0.0.0.0:1"),
        ("LABURNUMSTALLD_ADVERTISE", "10.0.0.1:1"),
        ("LABURNUMSTALLD_PEER_LISTEN", "0.0.0.0:2"),
        ("LABURNUMSTALLD_PEER_ADVERTISE", "10.0.0.1:2"),
        ("LABURNUMSTALLD_ADMIN_LISTEN", "127.0.0.1:3"),
        ("LABURNUMSTALLD_STORE", "10.0.0.9:4"),
        ("LABURNUMSTALLD_CLOUD", "10.0.0.9:5"),
        ("LABURNUMSTALLD_VM_LIST", "10.0.0.9:6"),
        ("LABURNUMSTALLD_OPERATOR_KEY_DIGEST", digests.as_str()),
        ("LABURNUMSTALLD_WORKERS", "7"),
        ("LABURNUMSTALLD_LOG_LEVEL", "debug"),
        ("LABURNUMSTALLD_MAX_BODY", "2048"),
        ("LABURNUMSTALLD_DIRECTORY_MAX_AGE", "8"),
        ("LABURNUMSTALLD_NOTICE", "9"),
        ("LABURNUMSTALLD_STORE_CALLS_PER_SECOND", "10"),
    ]);
    let settings = read(&[], &env).expect("settings");
    assert!(settings.operator_keys[0].matches("key"));
    assert!(!settings.operator_keys[0].matches("other"));
    insta::assert_debug_snapshot!("from_variables", settings);
}

#[test]
fn arbitrary_settings_do_not_panic() {
    fn property(words: Vec<String>, values: Vec<(u8, String)>) -> bool {
        const FLAGS: [&str; 6] = [
            "--vm",
            "--listen",
            "--workers",
            "--max-body",
            "--operator-key-digest",
            "--advertise",
        ];
        let flags = values.into_iter().map(|(flag, value)| {
            let name = FLAGS[usize::from(flag) % FLAGS.len()];
            format!("{name}={value}")
        });
        let args: Vec<_> = flags.chain(words).collect();
        match Settings::from_args(&args, &none()) {
            Ok(_) => true,
            Err(error) => !error.faults.is_empty(),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(16, 7))
        .tests(2_000)
        .quickcheck(property as fn(Vec<String>, Vec<(u8, String)>) -> bool);
}
