//! What the commands that need no daemon print.

use laburnumstall::{Exit, Shell, run};

const CARONI: &str = "../../examples/caroni.toml";

/// Runs a command and shows its exit code and both outputs.
async fn show(words: &[&str]) -> String {
    show_with(words, |_| None).await
}

async fn show_with(words: &[&str], environment: impl Fn(&str) -> Option<String>) -> String {
    let shell = Shell::buffered();
    let arguments: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    let exit = run(&arguments, environment, &shell).await;
    let (results, messages) = (shell.results(), shell.messages());
    format!(
        "exit {}\n--- stdout\n{results}--- stderr\n{messages}",
        exit.code()
    )
}

#[actix_rt::test]
async fn check_valid() {
    insta::assert_snapshot!(show(&["check", CARONI]).await);
    insta::assert_snapshot!(show(&["check", "--json", "--quiet", CARONI]).await);
}

#[actix_rt::test]
async fn check_faults() {
    insta::assert_snapshot!(show(&["check", "tests/texts/two_faults.toml"]).await);
    insta::assert_snapshot!(show(&["--json", "check", "tests/texts/two_faults.toml"]).await);
}

#[actix_rt::test]
async fn check_missing_file() {
    insta::assert_snapshot!(show(&["check", "tests/texts/absent.toml"]).await);
}

#[actix_rt::test]
async fn diff_of_texts() {
    let changed = [
        "diff",
        "tests/texts/changed.toml",
        "--against",
        "tests/texts/base.toml",
    ];
    insta::assert_snapshot!(show(&changed).await);
    let json = [
        "diff",
        "tests/texts/changed.toml",
        "--against",
        "tests/texts/base.toml",
        "--json",
    ];
    insta::assert_snapshot!(show(&json).await);
    let same = [
        "diff",
        "tests/texts/base.toml",
        "--against",
        "tests/texts/base.toml",
    ];
    insta::assert_snapshot!(show(&same).await);
}

#[actix_rt::test]
async fn help() {
    insta::assert_snapshot!(show(&["--help"]).await);
    insta::assert_snapshot!(show(&["apply", "--help"]).await);
}

#[actix_rt::test]
async fn wrong_arguments() {
    let cases: [&[&str]; 6] = [
        &[],
        &["chekc", CARONI],
        &["check"],
        &["check", CARONI, "--loud"],
        &["apply", CARONI, "--base", "new"],
        &["status", "--admin", "127.0.0.1:1"],
    ];
    let mut shown = Vec::new();
    for words in cases {
        shown.push(format!(
            "$ laburnumstall {}\n{}",
            words.join(" "),
            show(words).await
        ));
    }
    insta::assert_snapshot!(shown.join("\n"));
}

/// All wrong settings are named at once, and a wrong key is not repeated.
#[actix_rt::test]
async fn wrong_settings() {
    let environment = |name: &str| match name {
        "LABURNUMSTALL_ADMIN" => Some("entry-a".to_owned()),
        "LABURNUMSTALL_OPERATOR_KEY" => Some("secret with spaces".to_owned()),
        "LABURNUMSTALL_TIMEOUT" => Some("0s".to_owned()),
        _ => None,
    };
    let shown = show_with(&["status", "--operator", ""], environment).await;
    assert!(!shown.contains("secret"));
    insta::assert_snapshot!(shown);
}

#[test]
fn exit_codes_differ() {
    let all = [
        Exit::Success,
        Exit::Failed,
        Exit::Usage,
        Exit::Conflict,
        Exit::Unreachable,
        Exit::Unconfirmed,
    ];
    assert_eq!(all.map(Exit::code), [0, 1, 2, 3, 4, 5]);
}

#[actix_rt::test]
async fn plan_for_empty_fleet() {
    insta::assert_snapshot!(show(&["plan", CARONI]).await);
    insta::assert_snapshot!(show(&["plan", "tests/texts/two_faults.toml"]).await);
}
