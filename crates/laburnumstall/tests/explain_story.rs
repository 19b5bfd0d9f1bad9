//! The story of a request is told from the logs of several daemons.

use laburnumstall::explain::event::parse_line;
use laburnumstall::{Exit, Shell, run};
use laburnumstall_core::decision::{Decision, DecisionKind};
use laburnumstall_core::units::Timestamp;

const LOGS: [&str; 2] = ["tests/logs/entry-a.log", "tests/logs/entry-b.log"];
const REQUEST: &str = "r-entry-a@1-7-0000beef";
const CASES: u64 = 2_000;

#[actix_rt::test]
async fn request_over_two_daemons() {
    insta::assert_snapshot!(explain(&[REQUEST, LOGS[0], LOGS[1]]).await);
}

/// Removing the call of `sort` in `collect` makes this fail.
#[actix_rt::test]
async fn order_of_logs_has_no_meaning() {
    let one = explain(&[REQUEST, LOGS[0], LOGS[1]]).await;
    let other = explain(&[REQUEST, LOGS[1], LOGS[0]]).await;
    assert_eq!(one, other);
}

#[actix_rt::test]
async fn endpoint() {
    insta::assert_snapshot!(explain(&["engine-3", LOGS[0], LOGS[1]]).await);
}

#[actix_rt::test]
async fn vm_of_a_daemon() {
    insta::assert_snapshot!(explain(&["entry-a", "--json", LOGS[0]]).await);
}

#[actix_rt::test]
async fn unknown_id() {
    let shell = Shell::buffered();
    let arguments = ["explain", "r-nobody@1-1-0", LOGS[0]].map(str::to_owned);
    let exit = run(&arguments, |_| None, &shell).await;
    assert_eq!(exit, Exit::Failed);
    insta::assert_snapshot!(shell.messages());
}

/// A decision is read back from its line, whatever its values hold.
#[test]
fn lines_read_back() {
    let mut rng = fastrand::Rng::with_seed(31);
    for _ in 0..CASES {
        let choice = any_text(&mut rng);
        let reason = any_text(&mut rng);
        let value = any_text(&mut rng);
        let at = Timestamp(rng.u64(..));
        let decision = Decision::new(at, DecisionKind::Route, &format!("c{choice}"), &reason)
            .with("first", &value)
            .with("last", "plain");
        let line = format!("time=x level=info daemon=entry-a@1 {decision}");
        let event = parse_line(&line).unwrap_or_else(|| panic!("{line}"));
        assert_eq!(event.at, at);
        assert_eq!(event.choice, decision.choice.as_str());
        assert_eq!(event.reason, reason.as_str());
        assert_eq!(event.fields, decision.fields);
    }
}

/// No line makes the reader panic.
#[test]
fn damaged_lines() {
    let line = "time=x level=info daemon=a@1 t=1.000000 event=route choice=\"a\\u{e4}\" reason=b";
    let mut rng = fastrand::Rng::with_seed(32);
    for _ in 0..CASES {
        let mut chars: Vec<char> = line.chars().collect();
        for _ in 0..rng.usize(1..5) {
            let at = rng.usize(..chars.len());
            match rng.bool() {
                true => drop(chars.remove(at)),
                false => chars.insert(at, rng.char(..)),
            }
        }
        let damaged: String = chars.into_iter().collect();
        parse_line(&damaged);
        parse_line(&any_text(&mut rng));
    }
}

fn any_text(rng: &mut fastrand::Rng) -> String {
    const CHARS: [char; 12] = [
        'a', ' ', '"', '\\', '=', '\n', '\t', '\0', '\u{e4}', '\u{1b}', '{', '\'',
    ];
    let pick = |rng: &mut fastrand::Rng| match rng.u8(..4) {
        0 => rng.char(..),
        _ => CHARS[rng.usize(..CHARS.len())],
    };
    (0..rng.usize(..12)).map(|_| pick(rng)).collect()
}

async fn explain(words: &[&str]) -> String {
    let shell = Shell::buffered();
    let mut arguments = vec!["explain".to_owned()];
    arguments.extend(words.iter().map(|word| (*word).to_owned()));
    let exit = run(&arguments, |_| None, &shell).await;
    assert_eq!(exit, Exit::Success, "{}", shell.messages());
    shell.results()
}
