//! The operators' commands against real daemons.

use std::path::{Path, PathBuf};

use laburnumstall::{Exit, Shell, run};
use laburnumstall_site::{CUSTOMER_KEY, Caller, OPERATOR_KEY, Site, SiteSpec};

/// Runs a command and returns its exit and both outputs.
async fn operate(site: &Site, words: &[&str]) -> (Exit, String) {
    let admin: Vec<String> = site.operators().iter().map(ToString::to_string).collect();
    let admin = admin.join(",");
    let general = [
        "--admin",
        &admin,
        "--operator-key",
        OPERATOR_KEY,
        "--operator",
        "anna",
    ];
    let words = general.iter().chain(words).map(|word| (*word).to_owned());
    let shell = Shell::buffered();
    let exit = run(&words.collect::<Vec<String>>(), |_| None, &shell).await;
    (exit, shell.results() + &shell.messages())
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file in the target directory");
    path
}

fn words(path: &Path) -> &str {
    path.to_str().expect("the path is UTF-8")
}

/// Fails if a message of the admin interface differs between daemon and command line.
#[actix_rt::test]
async fn change_and_look() {
    let site = Site::start(SiteSpec::default())
        .await
        .expect("the site starts");
    let (exit, status) = operate(&site, &["status"]).await;
    assert_eq!(exit, Exit::Success, "{status}");
    for name in ["entry-0", "entry-3", "engine-0", "engine-5", "orders-1"] {
        assert!(status.contains(name), "{name} is missing:\n{status}");
    }

    let (exit, shown) = operate(&site, &["--quiet", "show"]).await;
    assert_eq!(exit, Exit::Success, "{shown}");
    let changed = shown.replacen("weight = 1\n", "weight = 5\n", 1);
    assert_ne!(changed, shown);
    let file = write_file("changed.toml", &changed);
    let (exit, said) = operate(&site, &["check", words(&file)]).await;
    assert_eq!(exit, Exit::Success, "{said}");
    let (exit, said) = operate(&site, &["diff", words(&file)]).await;
    assert_eq!(exit, Exit::Success, "{said}");
    assert!(said.contains("weight"), "{said}");

    let apply = ["apply", "--reason", "more for chambers", words(&file)];
    let (exit, said) = operate(&site, &apply).await;
    assert_eq!(exit, Exit::Success, "{said}");
    let (exit, said) = operate(&site, &["show"]).await;
    assert_eq!(exit, Exit::Success, "{said}");
    assert!(said.contains("weight = 5"), "{said}");
    let (exit, said) = operate(&site, &["show", "--revision", "1"]).await;
    assert_eq!(exit, Exit::Success, "{said}");
    assert!(!said.contains("weight = 5"), "{said}");
    let (exit, history) = operate(&site, &["history"]).await;
    assert_eq!(exit, Exit::Success, "{history}");
    assert!(history.contains("more for chambers"), "{history}");
    assert!(history.contains("anna"), "{history}");

    let late = write_file("late.toml", &shown.replace("weight = 1\n", "weight = 7\n"));
    let (exit, said) = operate(&site, &["apply", words(&late)]).await;
    assert_eq!(exit, Exit::Conflict, "{said}");
    assert!(said.contains("weight"), "{said}");
    site.close().await;
}

/// Fails if a drained endpoint is not shown as leaving, or an unknown VM is accepted.
#[actix_rt::test]
async fn drain_endpoint() {
    let site = Site::start(SiteSpec::default())
        .await
        .expect("the site starts");
    let (exit, said) = operate(&site, &["drain", "engine-5"]).await;
    assert_eq!(exit, Exit::Success, "{said}");
    let (exit, status) = operate(&site, &["status"]).await;
    assert_eq!(exit, Exit::Success, "{status}");
    let line = status.lines().find(|line| line.contains("engine-5"));
    assert!(
        line.is_some_and(|line| line.contains("leaving")),
        "{status}"
    );
    let (exit, said) = operate(&site, &["drain", "engine-77"]).await;
    assert_eq!(exit, Exit::Failed, "{said}");
    site.close().await;
}

/// Fails if the daemons' decision lines cannot be read as one story.
#[actix_rt::test]
async fn explain_request() {
    let site = Site::start(SiteSpec::default())
        .await
        .expect("the site starts");
    let caller = Caller::new(CUSTOMER_KEY);
    let body = Caller::chat_body("holding period of box 9", 5, false);
    let answer = caller
        .chat(site.addresses()[1], &body)
        .await
        .expect("an answer");
    let request = answer.request.expect("the answer names the request");
    let logs = write_file("decisions.log", &site.lines.read().join("\n"));
    site.close().await;
    let shell = Shell::buffered();
    let arguments = ["--quiet", "explain", &request, words(&logs)].map(str::to_owned);
    assert_eq!(run(&arguments, |_| None, &shell).await, Exit::Success);
    insta::assert_snapshot!(mask(&shell.results()));
}

/// Masks what differs between runs: numbers, and what hashing chose.
fn mask(text: &str) -> String {
    let lines = text.lines().map(|line| line.split("; alternatives").next());
    let lines: Vec<&str> = lines.flatten().collect();
    let text = lines.join("\n").replace("prefix hash", "least cost");
    let words = text.split_inclusive(|c: char| !c.is_ascii_alphanumeric());
    let masked: String = words.map(mask_word).collect();
    let masked = masked.replace("standby entry-", "standby ");
    masked.replace("endpoint engine-", "endpoint ")
}

fn mask_word(word: &str) -> String {
    let body = word.trim_end_matches(|c: char| !c.is_ascii_alphanumeric());
    let is_number = body.starts_with(|c: char| c.is_ascii_digit());
    let is_hash = body.len() == 8 && body.chars().all(|c| c.is_ascii_hexdigit());
    match is_number || is_hash {
        true => format!("#{}", &word[body.len()..]),
        false => word.to_owned(),
    }
}
