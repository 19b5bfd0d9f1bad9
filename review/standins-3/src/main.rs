//! Cases of the third review; the first argument is the number of the case, the second its folder.

mod case11;
mod case12;
mod case13;
mod case14;
mod case15;
mod engine;
mod fleet;
mod fragile;
mod http;
mod json;
mod replica;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Longest time that a case takes.
const LONGEST: Duration = Duration::from_secs(116);

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
    CannotRun(String),
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let number = args.next().unwrap_or_default();
    let folder = PathBuf::from(args.next().unwrap_or_else(|| format!("review/{number}")));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let pid = std::process::id();
    let temporary = std::env::temp_dir().join(format!("review-3-{number}-{pid}"));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("no temporary folder: {error}");
        return ExitCode::from(2);
    }
    let run = match number.as_str() {
        "11" => case11::run,
        "12" => case12::run,
        "13" => case13::run,
        "14" => case14::run,
        "15" => case15::run,
        _ => {
            eprintln!("no case {number:?}");
            return ExitCode::from(2);
        }
    };
    http::spawn(|| {
        std::thread::sleep(LONGEST);
        fleet::end_processes();
        eprintln!("the case cannot run: it takes too long");
        std::process::exit(2);
    });
    let outcome = run(&folder, &temporary, has_trouble);
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        eprintln!("logs are in {}", temporary.display());
    }
    match outcome {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::from(1),
        Ok(Outcome::CannotRun(cause)) => {
            eprintln!("the case cannot run: {cause}");
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!("the case cannot run: {error}");
            ExitCode::from(2)
        }
    }
}
