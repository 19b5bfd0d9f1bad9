//! `load FILE`: drives callers at a live system and checks their answers.

use std::time::Duration;

use laburnumstall_core::resources::System;
use snafu::{OptionExt, ensure};

use super::read_text;
use crate::cli::LoadOptions;
use crate::context::Context;
use crate::error::{BadArgumentSnafu, CommandError, NotGivenSnafu, PromiseBrokenSnafu};
use crate::load::{CallerKey, LoadPlan, LoadReport, MixPart, PresenceCheck, drive};

/// Longest time that load is driven.
const MAX_DURATION: Duration = Duration::from_secs(3_600);

/// Time without a byte after which a caller takes a connection for dead. Entries send a
/// comment every 2 s.
const SILENCE: Duration = Duration::from_secs(8);

/// Time that a caller waits beyond a request's deadline.
const GRACE: Duration = Duration::from_secs(5);

/// Beginning of the keys of the examples' customers.
const DEMO_KEY: &str = "demo-key-";

/// Runs the command.
///
/// # Errors
///
/// Returns [`CommandError`] if the text or an argument is wrong, or a promise was broken.
pub async fn run(cx: &Context<'_>, options: LoadOptions) -> Result<(), CommandError> {
    let system = read_text(&options.file)?.system;
    let plan = plan_of(&options, &system)?;
    cx.status(
        "Driving",
        format_args!("{} for {}", plan.rate, options.duration),
    );
    let progress = |report: &LoadReport| {
        let LoadReport { sent, whole, .. } = report;
        cx.shell()
            .progress(format_args!("{sent} sent, {whole} answered whole"));
    };
    let report = drive(&plan, PresenceCheck, progress).await;
    cx.shell().end_progress();
    cx.present(&report)?;
    ensure!(
        report.is_kept(),
        PromiseBrokenSnafu {
            lost: report.lost,
            damaged: report.damaged,
            foreign: report.foreign,
        }
    );
    Ok(())
}

/// Builds the plan from the options and the services and customers of the text.
fn plan_of(options: &LoadOptions, system: &System) -> Result<LoadPlan, CommandError> {
    let duration = humantime::parse_duration(&options.duration).ok();
    let duration = duration.filter(|duration| *duration <= MAX_DURATION);
    Ok(LoadPlan {
        entries: options.entry.clone(),
        callers: callers_of(options, system)?,
        mix: mix_of(options, system)?,
        rate: options.rate,
        duration: duration.context(BadArgumentSnafu {
            argument: &options.duration,
            expected: "a time of at most an hour, such as 30s",
        })?,
        concurrency: options.concurrency,
        seed: options.seed,
        silence: SILENCE,
        grace: GRACE,
    })
}

/// Takes the given keys, or the demonstration keys of all customers.
fn callers_of(options: &LoadOptions, system: &System) -> Result<Vec<CallerKey>, CommandError> {
    let demo = system.customers.iter().map(|customer| CallerKey {
        customer: customer.name.clone(),
        key: format!("{DEMO_KEY}{}", customer.name),
    });
    let callers: Vec<CallerKey> = match options.caller.is_empty() {
        true => demo.collect(),
        false => options
            .caller
            .iter()
            .map(|text| caller_of(text))
            .collect::<Result<_, _>>()?,
    };
    ensure!(
        !callers.is_empty(),
        NotGivenSnafu {
            what: "a customer",
            hint: "give --caller NAME=KEY or a text with customers",
        }
    );
    Ok(callers)
}

fn caller_of(text: &str) -> Result<CallerKey, CommandError> {
    let parts = text.split_once('=');
    let caller = parts.and_then(|(customer, key)| {
        Some(CallerKey {
            customer: customer.parse().ok()?,
            key: key.to_owned(),
        })
    });
    caller.context(BadArgumentSnafu {
        argument: parts.map_or(text, |(customer, _)| customer),
        expected: "NAME=KEY",
    })
}

/// Takes the shares of the text's targets, or the given ones alone.
fn mix_of(options: &LoadOptions, system: &System) -> Result<Vec<MixPart>, CommandError> {
    let all = MixPart::of_system(system);
    if options.mix.is_empty() {
        return Ok(all);
    }
    let mut mix = Vec::new();
    for text in &options.mix {
        let share = text
            .split_once('=')
            .and_then(|(service, weight)| Some((service, weight.parse::<u32>().ok()?)));
        let (service, weight) = share.context(BadArgumentSnafu {
            argument: text,
            expected: "SERVICE=N",
        })?;
        let parts = all.iter().filter(|part| part.service.as_str() == service);
        let before = mix.len();
        mix.extend(parts.cloned().map(|part| MixPart { weight, ..part }));
        ensure!(
            mix.len() > before,
            BadArgumentSnafu {
                argument: text,
                expected: "a service of the text",
            }
        );
    }
    Ok(mix)
}
