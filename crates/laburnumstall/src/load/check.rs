//! Tells whether an answer is whole and the caller's own.

use laburnumstall_core::domain_value;
use laburnumstall_core::request::Dialect;

use super::report::RequestEnd;
use super::workload::SentRequest;

/// An answer as a caller has it at the end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReceivedAnswer {
    /// HTTP status of the last response.
    pub status: u16,
    /// Text of all chunks, or the body of a plain answer.
    pub text: String,
    /// Number of chunks.
    pub chunks: u64,
}

domain_value! {
    /// What a check says of an answer.
    #[serde(rename_all = "kebab-case")]
    pub enum AnswerVerdict {
        /// It is whole and belongs to the request.
        Own,
        /// A part is missing, repeated or changed.
        Damaged,
        /// It belongs to another request.
        Foreign,
    }
}

/// Tells whether an answer is whole and the caller's own.
///
/// An implementation knows how the endpoints answer, such as the stand-ins, whose answers
/// follow from the request.
pub trait AnswerCheck {
    /// Judges the answer to a request that ended without an error.
    fn check(&self, sent: &SentRequest, answer: &ReceivedAnswer) -> AnswerVerdict;

    /// Takes note of how a request ended.
    fn note_end(&self, _sent: &SentRequest, _end: &RequestEnd) {}
}

/// A check for endpoints whose answers are not known: there must be an answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct PresenceCheck;

impl AnswerCheck for PresenceCheck {
    fn check(&self, sent: &SentRequest, answer: &ReceivedAnswer) -> AnswerVerdict {
        let is_present = match sent.part.dialect {
            Dialect::Plain => (200..300).contains(&answer.status),
            Dialect::Chat | Dialect::Completion => answer.chunks > 0,
        };
        match is_present {
            true => AnswerVerdict::Own,
            false => AnswerVerdict::Damaged,
        }
    }
}
