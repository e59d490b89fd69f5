//! Errors in HTTP requests from callers.

use std::time::Duration;

use ident::RequestId;
use verdict::{Proof, Reason, Refusal};

/// Time after which a caller should retry a request that found the node overloaded.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Id that a caller chose for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChosenId {
    /// The request has no id, so it cannot repeat an earlier submission.
    Absent,
    /// The request may have an id in its body, which was not read.
    Unread,
    /// The request has this id.
    Known(RequestId),
}

/// Error that rejects a request before it reaches the core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestError {
    /// Id that the caller chose.
    pub(crate) chosen_id: ChosenId,
    /// Kind of error.
    pub(crate) reason: Reason,
    /// Header, key or part of the path that is invalid.
    pub(crate) field: String,
    /// Sentence that states the error and what is accepted.
    pub(crate) message: String,
}

impl RequestError {
    /// Error for a field that is missing or has an invalid value.
    pub(crate) fn invalid(field: impl Into<String>, message: impl Into<String>) -> RequestError {
        RequestError {
            chosen_id: ChosenId::Absent,
            reason: Reason::Invalid,
            field: field.into(),
            message: message.into(),
        }
    }

    /// Error for a path or method that is not part of the API.
    pub(crate) fn unknown(field: impl Into<String>, message: impl Into<String>) -> RequestError {
        RequestError { reason: Reason::Unknown, ..RequestError::invalid(field, message) }
    }

    /// Error for a body that exceeds the memory budget at present.
    pub(crate) fn overloaded(message: impl Into<String>) -> RequestError {
        RequestError { reason: Reason::Overloaded, ..RequestError::invalid("body", message) }
    }

    /// Sets the id that the caller chose.
    pub(crate) fn with_id(self, chosen_id: ChosenId) -> RequestError {
        RequestError { chosen_id, ..self }
    }

    /// Id that the caller chose, if it was read.
    pub(crate) fn id(&self) -> Option<RequestId> {
        match self.chosen_id {
            ChosenId::Known(id) => Some(id),
            ChosenId::Absent | ChosenId::Unread => None,
        }
    }

    /// The refusal to answer with.
    ///
    /// A request with a valid id may be a duplicate of one that was accepted before,
    /// so its verdict is `may_have_run`.
    pub(crate) fn refusal(&self) -> Refusal {
        let refusal = match self.chosen_id {
            ChosenId::Absent => {
                let proof = Proof::rejected_by_every_process();
                Refusal::not_run(proof, self.reason, &self.message)
            }
            ChosenId::Unread | ChosenId::Known(_) => {
                Refusal::may_have_run(self.reason, &self.message)
            }
        };
        match self.reason {
            Reason::Overloaded => refusal.with_retry_after(RETRY_AFTER),
            _ => refusal,
        }
    }
}

impl From<Option<RequestId>> for ChosenId {
    fn from(id: Option<RequestId>) -> ChosenId {
        id.map_or(ChosenId::Absent, ChosenId::Known)
    }
}
