//! The cases.

mod aged_store;
mod config_storm;
mod endless;
mod restored_key;
mod restored_versions;
mod versions;

use std::io;
use std::path::PathBuf;

use crate::record::Record;

/// Runs a case; `None` if it could not run, or whether the rule held.
pub fn run(
    case: &str,
    record: &Record,
    folder: PathBuf,
    has_trouble: bool,
) -> io::Result<Option<bool>> {
    use crate::replica::Spoil;
    match case {
        "endless-event" => endless::run(record, folder, has_trouble, Spoil::EndlessEvent, 1, 1),
        "endless-interim" => endless::run(record, folder, has_trouble, Spoil::EndlessInterim, 2, 3),
        "restored-key" => restored_key::run(record, folder, has_trouble),
        "restored-versions" => restored_versions::run(record, folder, has_trouble),
        "config-storm" => config_storm::run(record, folder, has_trouble),
        "aged-store" => aged_store::run(record, folder, has_trouble),
        "versions" => versions::run(record, folder, has_trouble),
        _ => Ok(None),
    }
}
