//! Operators that change the configuration at the same time.

use std::time::Duration;

use compact_str::format_compact;
use futures_util::future::join;
use laburnumstall_config::admin::{Applied, STATUS_PATH, Status};
use laburnumstall_core::ids::Revision;
use laburnumstall_site::{Answer, Caller, OPERATOR_KEY, Site, SiteError};

use super::faults::Fault;

/// Races that are run.
const ROUNDS: u64 = 3;

/// Longest wait for all daemons to have a revision in force.
const ADOPTION: Duration = Duration::from_secs(16);

/// Time between two looks at the daemons.
const POLL: Duration = Duration::from_millis(50);

/// Lets two operators race, some times over.
pub(super) async fn race(site: &Site) -> Result<Fault, SiteError> {
    let mut fault = Fault::begin();
    let mut base = Revision(1);
    for round in 0..ROUNDS {
        let weights = [2 + 2 * round, 3 + 2 * round];
        let [first, second] = weights.map(|weight| variant(site, weight));
        let (first, second) = join(
            site.apply(0, base, first, "anna"),
            site.apply(2, base, second, "bert"),
        )
        .await;
        let won = judge(&mut fault, [first?, second?]);
        let Some(won) = won else {
            continue;
        };
        base = won;
        if !is_in_force(site, won).await {
            let seen = format_compact!("revision {won} is not in force everywhere");
            fault.break_promise("a configuration is in force everywhere", seen);
        }
    }
    fault.note(format_compact!("{ROUNDS} races of two operators"));
    Ok(fault)
}

fn variant(site: &Site, weight: u64) -> String {
    site.text()
        .replace("weight = 1\n", &format!("weight = {weight}\n"))
}

/// Checks that exactly one of two operators won; returns the revision in force.
fn judge(fault: &mut Fault, answers: [Answer; 2]) -> Option<Revision> {
    let won: Vec<Revision> = answers.iter().filter_map(revision_of).collect();
    let lost = answers.iter().filter(|answer| answer.status == 409).count();
    if (won.len(), lost) != (1, 1) {
        let [first, second] = answers.map(|answer| answer.status);
        let seen = format_compact!("the answers were {first} and {second}");
        fault.break_promise("one operator wins and the other learns of it", seen);
    }
    won.into_iter().max()
}

fn revision_of(answer: &Answer) -> Option<Revision> {
    let applied: Applied = serde_json::from_str(&answer.body).ok()?;
    (answer.status == 200).then_some(applied.revision)
}

/// Waits until each daemon has the revision, or a later one, in force.
async fn is_in_force(site: &Site, revision: Revision) -> bool {
    let mut waited = Duration::ZERO;
    while waited < ADOPTION {
        let mut all = true;
        for number in 0..site.operators().len() {
            all &= revision_at(site, number).await >= Some(revision);
        }
        if all {
            return true;
        }
        tokio::time::sleep(POLL).await;
        waited += POLL;
    }
    false
}

async fn revision_at(site: &Site, number: usize) -> Option<Revision> {
    let address = *site.operators().get(number)?;
    let answer = Caller::new(OPERATOR_KEY)
        .get(address, STATUS_PATH)
        .await
        .ok()?;
    let status: Status = serde_json::from_str(&answer.body).ok()?;
    status.revision
}
