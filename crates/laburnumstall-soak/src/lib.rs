//! A randomized soak: the real daemons as processes of their own, with faults from outside.
//!
//! `plan` draws faults from a seed, [`run`] starts the processes and stand-ins, lets
//! callers work while the faults happen, and waits for calm; `checks` compares what
//! callers were told with what endpoints ran. Faults reach the processes only from outside:
//! by signals, and by relays on loopback before callers, endpoints and the key-value service.

mod checks;
mod clients;
pub mod options;
mod plan;
mod process;
mod report;
mod timeline;
mod world;

use std::time::Duration;

use tokio::time::sleep;

pub use options::{Options, SoakSettings};
use report::Figures;
pub use report::Report;
pub use world::SoakError;
use world::World;

/// Time before the first fault in which the daemons start and callers come.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time after the last fault in which the system is to recover.
const RECOVERY: Duration = Duration::from_secs(10);
/// Time after that in which callers have to be served.
const CALM: Duration = Duration::from_secs(4);
/// Time for the last answers.
const LAST_ANSWERS: Duration = Duration::from_secs(5);

/// Runs one soak.
///
/// # Errors
///
/// [`SoakError`] if the processes or the stand-ins cannot be started.
pub async fn run(settings: &SoakSettings) -> Result<Report, SoakError> {
    let (seed, length, shape) = (settings.seed, settings.length, settings.shape());
    let plan = match settings.restarts {
        true => plan::draw_restarts(seed, length, shape),
        false => plan::draw(seed, length, shape),
    };
    let world = World::start(settings).await?;
    clients::start(&world, settings);
    sleep(WARM_UP).await;
    world.play(&plan).await;
    world.heal().await;
    sleep(RECOVERY).await;
    let calm_from = world.elapsed();
    sleep(CALM).await;
    world.end_calls();
    let calm_until = world.elapsed();
    sleep(LAST_ANSWERS).await;
    let violations = checks::all(&world, calm_from, calm_until);
    let figures = Figures::of(&world);
    let report = Report {
        seed: settings.seed,
        faults: world.disturbances(),
        violations,
        figures,
        answers: timeline::answers(&world),
    };
    world.close().await;
    Ok(report)
}
