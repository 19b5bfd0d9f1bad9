//! Runs one case: `review-case-2 NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held and
//! 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod daemon;
mod descriptors;
mod draining_version;
mod http;
mod json;
mod platform;
mod record;
mod replica;
mod report_history;
mod store;
mod streams;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(117);

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// What each case gets.
pub struct Case {
    pub record: Arc<Record>,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn end(code: i32) -> ! {
    daemon::kill_all();
    std::process::exit(code);
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = args.as_slice() else {
        eprintln!("usage: review-case-2 NAME FOLDER");
        std::process::exit(2);
    };
    let is_built = Path::new("target/release/laburnumstalld").exists();
    if !is_built {
        eprintln!("target/release/laburnumstalld is not built");
        std::process::exit(2);
    }
    let temporary = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        end(2);
    });
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        end(2);
    }));
    let case = Case {
        record: Arc::new(Record::create(Path::new(folder))),
        folder: temporary.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match name.as_str() {
        "report-history" => report_history::run(&case),
        "descriptors" => descriptors::run(&case),
        "draining-version" => draining_version::run(&case),
        other => {
            eprintln!("no case {other}");
            Verdict::CouldNotRun
        }
    };
    daemon::kill_all();
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "THE RULE WAS BROKEN"),
        Verdict::CouldNotRun => (2, "the case could not run"),
    };
    case.record.note(text);
    end(code);
}
