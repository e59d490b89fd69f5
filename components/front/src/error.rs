//! Errors in a caller's HTTP request.

use std::time::Duration;

use ident::RequestId;
use verdict::{Proof, Reason, Refusal};

/// Time after which a caller that was turned away should come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a request names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Naming {
    /// It names no id, so that no earlier submission can have used it.
    Nothing,
    /// It may name an id in a body that was not read.
    Unread,
    /// It names an id that the caller chose.
    Id(RequestId),
}

/// Why a request did not reach the core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestError {
    /// What the request names.
    pub(crate) naming: Naming,
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
            naming: Naming::Nothing,
            reason: Reason::Invalid,
            field: field.into(),
            message: message.into(),
        }
    }

    /// The path or method is not part of the API.
    pub(crate) fn unknown(field: impl Into<String>, message: impl Into<String>) -> RequestError {
        RequestError { reason: Reason::Unknown, ..RequestError::invalid(field, message) }
    }

    /// The node has no room for the body at present.
    pub(crate) fn overloaded(message: impl Into<String>) -> RequestError {
        RequestError { reason: Reason::Overloaded, ..RequestError::invalid("body", message) }
    }

    /// Says what the request names.
    pub(crate) fn naming(self, naming: Naming) -> RequestError {
        RequestError { naming, ..self }
    }

    /// Id that the caller chose, if it could be read.
    pub(crate) fn id(&self) -> Option<RequestId> {
        match self.naming {
            Naming::Id(id) => Some(id),
            Naming::Nothing | Naming::Unread => None,
        }
    }

    /// The refusal that the caller gets.
    ///
    /// A request with a valid id may be a second copy of one that was accepted
    /// before, so nothing is claimed about the id.
    pub(crate) fn refusal(&self) -> Refusal {
        let refusal = match self.naming {
            Naming::Nothing => {
                let proof = Proof::rejected_by_every_process();
                Refusal::not_run(proof, self.reason, &self.message)
            }
            Naming::Unread | Naming::Id(_) => Refusal::may_have_run(self.reason, &self.message),
        };
        match self.reason {
            Reason::Overloaded => refusal.with_retry_after(RETRY_AFTER),
            _ => refusal,
        }
    }
}

impl From<Option<RequestId>> for Naming {
    fn from(id: Option<RequestId>) -> Naming {
        id.map_or(Naming::Nothing, Naming::Id)
    }
}
