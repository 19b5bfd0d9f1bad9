//! Sends the requests of a workload at their times, a bounded number at once.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use awc::{Client, Connector};
use laburnumstall_core::units::Timestamp;
use tokio::sync::Semaphore;

use super::caller::Caller;
use super::check::AnswerCheck;
use super::directory::Directory;
use super::plan::LoadPlan;
use super::report::{Durations, Ending, LoadReport};
use super::workload::{SentRequest, Workload};

/// Time between two reports of progress.
const PROGRESS_PERIOD: Duration = Duration::from_millis(500);

/// What all callers of a run share.
pub(crate) struct LoadRun {
    /// Client of all connections.
    pub(crate) client: Client,
    /// Time without a byte after which a connection counts as dead.
    pub(crate) silence: Duration,
    /// Time that a caller waits beyond a request's deadline.
    pub(crate) grace: Duration,
    /// Entries that are known.
    pub(crate) directory: RefCell<Directory>,
    /// Counts and times so far.
    pub(crate) tally: RefCell<Tally>,
}

/// Counts and times so far.
pub(crate) struct Tally {
    pub(crate) report: LoadReport,
    pub(crate) first_token: Durations,
    pub(crate) between_tokens: Durations,
    pub(crate) total: Durations,
}

impl Tally {
    fn new() -> Self {
        Self {
            report: LoadReport::default(),
            first_token: Durations::new(),
            between_tokens: Durations::new(),
            total: Durations::new(),
        }
    }

    fn read(&self) -> LoadReport {
        LoadReport {
            first_token: self.first_token.quantiles(),
            between_tokens: self.between_tokens.quantiles(),
            total: self.total.quantiles(),
            ..self.report
        }
    }
}

/// Drives the load of a plan and returns what happened.
///
/// `progress` is called now and then with the report so far. The run ends when the last
/// request has ended, at the latest a while after the last deadline.
pub async fn drive<C: AnswerCheck + 'static>(
    plan: &LoadPlan,
    check: C,
    mut progress: impl FnMut(&LoadReport),
) -> LoadReport {
    let run = Rc::new(LoadRun::new(plan));
    let check = Rc::new(check);
    let places = Arc::new(Semaphore::new(plan.concurrency.max(1) as usize));
    let start = Instant::now();
    let mut next_progress = start;
    let mut tasks = Vec::new();
    for sent in Workload::starting_at(plan, unix_now()) {
        tokio::time::sleep_until((start + sent.at).into()).await;
        if places.available_permits() == 0 {
            run.tally.borrow_mut().report.delayed += 1;
        }
        let place = Arc::clone(&places).acquire_owned().await;
        let task = carry(Rc::clone(&run), Rc::clone(&check), sent);
        tasks.push(actix_rt::spawn(async move {
            task.await;
            drop(place);
        }));
        if Instant::now() >= next_progress {
            next_progress = Instant::now() + PROGRESS_PERIOD;
            progress(&run.tally.borrow().read());
        }
    }
    for task in tasks {
        // A task that panicked has counted no ending, which the counts show.
        let _ = task.await;
        if Instant::now() >= next_progress {
            next_progress = Instant::now() + PROGRESS_PERIOD;
            progress(&run.tally.borrow().read());
        }
    }
    run.tally.borrow().read()
}

async fn carry<C: AnswerCheck>(run: Rc<LoadRun>, check: Rc<C>, sent: SentRequest) {
    run.tally.borrow_mut().report.sent += 1;
    let begun = Instant::now();
    let end = Caller::new(&run, &sent).carry(check.as_ref()).await;
    check.note_end(&sent, &end);
    let mut tally = run.tally.borrow_mut();
    if matches!(end.ending, Ending::Answered(_)) {
        tally.total.record(begun.elapsed());
    }
    tally.report.count(&end.ending);
}

/// Returns the time since the Unix epoch.
pub(crate) fn unix_now() -> Timestamp {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Timestamp(since.unwrap_or_default().as_micros() as u64)
}

impl LoadRun {
    fn new(plan: &LoadPlan) -> Self {
        // The callers time out themselves, and more connections than requests are not needed.
        let connector = Connector::new().limit(2 * plan.concurrency.max(1) as usize);
        Self {
            client: Client::builder()
                .connector(connector)
                .disable_timeout()
                .finish(),
            silence: plan.silence,
            grace: plan.grace,
            directory: RefCell::new(Directory::new(&plan.entries)),
            tally: RefCell::new(Tally::new()),
        }
    }
}
