//! Stand-ins and checks of the cases of the review.
//!
//! `review-standins CASE RECORD FOLDER` exits with 1 if the rule of the case was broken, 0 if it
//! held, and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod client;
mod duties;
mod fleet;
mod http;
mod json;
mod record;
mod replica;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, record, folder] = &args[..] else {
        eprintln!("usage: review-standins CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = record::Record::create(&PathBuf::from(record)) else {
        eprintln!("cannot create {record}");
        return ExitCode::from(2);
    };
    let result = cases::run(case, &record, PathBuf::from(folder), has_trouble);
    let code = match result {
        Ok(Some(true)) => {
            record.say("result: the rule held");
            0
        }
        Ok(Some(false)) => {
            record.say("result: the rule was broken");
            1
        }
        Ok(None) => {
            record.say("result: the case could not run");
            2
        }
        Err(error) => {
            record.say(format!("result: the case could not run: {error}"));
            2
        }
    };
    record.flush();
    ExitCode::from(code)
}
