//! Goes over the logs for the events of one story.

use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};

use laburnumstall_core::units::Timestamp;
use snafu::ResultExt;

use super::event::{LogEvent, parse_line};
use super::references::References;
use super::story::{Story, StoryEvent};
use crate::error::{CommandError, ReadLogSnafu};

/// Longest line that is read, in bytes; the rest of a longer one is read as another line.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// Most times that new names of the subject are looked for.
const MAX_PASSES: usize = 4;

/// A line with its place.
struct Line<'l> {
    log: &'l Path,
    number: u64,
    event: Option<LogEvent>,
}

/// Reads the story of `id` from logs.
///
/// # Errors
///
/// Returns [`CommandError`] if a log cannot be read.
pub fn search(id: &str, logs: &[PathBuf]) -> Result<Story, CommandError> {
    let mut references = References::new(id);
    for _ in 0..MAX_PASSES {
        let mut has_new_subject = false;
        read_logs(logs, |line| {
            if let Some(event) = line.event.filter(|event| references.is_direct(event)) {
                has_new_subject |= references.follow(&event);
            }
        })?;
        if !has_new_subject {
            break;
        }
    }
    collect(id, logs, &references)
}

fn collect(id: &str, logs: &[PathBuf], references: &References) -> Result<Story, CommandError> {
    let mut story = Story::new(id);
    read_logs(logs, |line| {
        story.lines_read += 1;
        let Some(event) = line.event else {
            story.lines_skipped += 1;
            return;
        };
        let is_direct = references.is_direct(&event);
        if is_direct || references.is_context(&event) {
            story.events.push(StoryEvent {
                log: line.log.display().to_string(),
                line: line.number,
                is_direct,
                event,
            });
        }
    })?;
    if let Some((start, end)) = span(&story) {
        let in_span = |at: Timestamp| (start..=end).contains(&at);
        story
            .events
            .retain(|event| event.is_direct || in_span(event.event.at));
    }
    story.sort();
    Ok(story)
}

/// Returns the time of the first and of the last event that names the subject.
fn span(story: &Story) -> Option<(Timestamp, Timestamp)> {
    let times = || {
        let direct = story.events.iter().filter(|event| event.is_direct);
        direct.map(|event| event.event.at)
    };
    Some((times().min()?, times().max()?))
}

fn read_logs(logs: &[PathBuf], mut each: impl FnMut(Line<'_>)) -> Result<(), CommandError> {
    for log in logs {
        let file = File::open(log).context(ReadLogSnafu { path: log })?;
        read_log(log, BufReader::new(file), &mut each)?;
    }
    Ok(())
}

fn read_log(
    log: &Path,
    mut reader: impl BufRead,
    each: &mut impl FnMut(Line<'_>),
) -> Result<(), CommandError> {
    let mut buf = Vec::new();
    for number in 1.. {
        buf.clear();
        let mut limited = reader.by_ref().take(MAX_LINE_BYTES);
        let read = limited.read_until(b'\n', &mut buf);
        if read.context(ReadLogSnafu { path: log })? == 0 {
            break;
        }
        let event = parse_line(&String::from_utf8_lossy(&buf));
        each(Line { log, number, event });
    }
    Ok(())
}
