//! The error table is complete, ordered by kind and equal to the reference page.

use laburnumstall_core::error::{ERROR_TABLE, ErrorKind, Execution};

const PAGE: &str = include_str!("../../../docs/reference/errors.md");

#[test]
fn rows_are_indexed_by_kind() {
    for row in ERROR_TABLE {
        assert_eq!(row.kind.response(), row);
        assert_eq!(ErrorKind::from_name(row.kind.name()), Some(row.kind));
        assert!((400..600).contains(&row.status), "{}", row.kind);
    }
}

#[test]
fn requests_that_ran_have_no_retry_time() {
    for row in ERROR_TABLE {
        if row.retry_after.is_some() {
            assert_ne!(row.execution, Execution::RanFailed, "{}", row.kind);
        }
    }
}

#[test]
fn page_lists_every_kind() {
    for row in ERROR_TABLE {
        let wait = row
            .retry_after
            .map_or("-".to_owned(), |wait| format!("{} s", wait.as_secs()));
        let line = format!(
            "| {} | {} | {} | {wait} | {} | {} |",
            row.kind, row.status, row.execution, row.text, row.hint
        );
        assert!(
            PAGE.contains(&line),
            "the reference page lacks the row: {line}"
        );
    }
}
