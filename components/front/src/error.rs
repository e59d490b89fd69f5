//! Errors in a caller's HTTP request.

use ident::RequestId;
use verdict::{Proof, Reason, Refusal};

/// Why a request did not reach the core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestError {
    /// Id that the caller chose, if it could be read.
    pub(crate) id: Option<RequestId>,
    /// What is wrong.
    pub(crate) reason: Reason,
    /// Header, key or part of the path that is wrong.
    pub(crate) field: String,
    /// What is wrong and what is accepted, as a sentence.
    pub(crate) message: String,
}

impl RequestError {
    /// A field has a value that is not accepted.
    pub(crate) fn invalid(field: impl Into<String>, message: impl Into<String>) -> RequestError {
        RequestError {
            id: None,
            reason: Reason::Invalid,
            field: field.into(),
            message: message.into(),
        }
    }

    /// The path or method is not part of the API.
    pub(crate) fn unknown(field: impl Into<String>, message: impl Into<String>) -> RequestError {
        RequestError { reason: Reason::Unknown, ..RequestError::invalid(field, message) }
    }

    /// Names the id that the caller chose.
    pub(crate) fn with_id(self, id: Option<RequestId>) -> RequestError {
        RequestError { id, ..self }
    }

    /// The refusal that the caller gets.
    ///
    /// A request with a valid id may be the malformed copy of one that was
    /// accepted before, so nothing is claimed about the id.
    pub(crate) fn refusal(&self) -> Refusal {
        match self.id {
            Some(_) => Refusal::may_have_run(self.reason, &self.message),
            None => {
                let proof = Proof::rejected_by_every_process();
                Refusal::not_run(proof, self.reason, &self.message)
            }
        }
    }
}
