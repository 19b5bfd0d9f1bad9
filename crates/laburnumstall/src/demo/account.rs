//! What callers saw of each request, to be compared with what the endpoints did.

use std::cell::{Ref, RefCell};
use std::rc::Rc;
use std::time::Instant;

use laburnumstall_core::error::Execution;
use laburnumstall_core::request::Dialect;
use laburnumstall_standins::engine::expected_answer;
use laburnumstall_standins::plain::expected_plain_answer;

use crate::load::{AnswerCheck, AnswerVerdict, Ending, ReceivedAnswer, RequestEnd, SentRequest};

/// The end of one request, as far as the account needs it.
#[derive(Debug, Clone)]
pub(super) struct Entered {
    /// Body, which no other request has.
    pub(super) body: String,
    /// Interface by which it was called.
    pub(super) dialect: Dialect,
    /// How it ended.
    pub(super) end: RequestEnd,
}

impl Entered {
    /// Tells whether the caller was told that the request did not run.
    pub(super) fn is_refused(&self) -> bool {
        matches!(&self.end.ending, Ending::Error { body, .. } if body.execution == Execution::NotRun)
    }

    /// Tells whether the system had accepted the request.
    pub(super) fn is_accepted(&self) -> bool {
        match self.end.ending {
            Ending::Answered(_) => true,
            Ending::Error { was_accepted, .. } | Ending::Nothing { was_accepted } => was_accepted,
        }
    }
}

/// Judges answers by what the stand-ins must give, and keeps the ends; clones share them.
#[derive(Debug, Clone, Default)]
pub(super) struct Account {
    entered: Rc<RefCell<Vec<Entered>>>,
}

impl Account {
    /// Returns the ends so far.
    pub(super) fn read(&self) -> Ref<'_, Vec<Entered>> {
        self.entered.borrow()
    }

    /// Returns the last time after `since` at which a caller was cut off.
    pub(super) fn last_return(&self, since: Instant) -> Option<Instant> {
        let entered = self.entered.borrow();
        let returns = entered.iter().filter_map(|entered| entered.end.last_return);
        returns.filter(|at| *at >= since).max()
    }
}

impl AnswerCheck for Account {
    fn check(&self, sent: &SentRequest, answer: &ReceivedAnswer) -> AnswerVerdict {
        let Some(expected) = expected_text(sent) else {
            return AnswerVerdict::Damaged;
        };
        if answer.text == expected {
            return AnswerVerdict::Own;
        }
        // The beginning of an answer names its conversation.
        match common_prefix(&expected, &answer.text) >= own_part(sent, &expected) {
            true => AnswerVerdict::Damaged,
            false => AnswerVerdict::Foreign,
        }
    }

    fn note_end(&self, sent: &SentRequest, end: &RequestEnd) {
        self.entered.borrow_mut().push(Entered {
            body: String::from_utf8_lossy(&sent.body).into_owned(),
            dialect: sent.part.dialect,
            end: end.clone(),
        });
    }
}

fn expected_text(sent: &SentRequest) -> Option<String> {
    match sent.part.dialect {
        Dialect::Plain => {
            let body = String::from_utf8_lossy(&sent.body);
            let method = &sent.part.method;
            Some(expected_plain_answer(method, &sent.part.path, &body))
        }
        dialect => expected_answer(dialect, &sent.body),
    }
}

/// Returns the length of the part of an answer by which it is recognised, in bytes.
fn own_part(sent: &SentRequest, expected: &str) -> usize {
    match sent.part.dialect {
        Dialect::Plain => expected.len(),
        _ => expected
            .match_indices(' ')
            .nth(1)
            .map_or(expected.len(), |(at, _)| at),
    }
}

fn common_prefix(a: &str, b: &str) -> usize {
    let pairs = a.bytes().zip(b.bytes());
    pairs.take_while(|(a, b)| a == b).count()
}
