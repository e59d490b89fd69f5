//! Label sets of the metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of answered requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct Request {
    /// Service that was asked.
    pub(crate) service: String,
    /// Kind of the request.
    pub(crate) kind: String,
    /// Verdict given.
    pub(crate) verdict: String,
    /// Reason given, empty for a result.
    pub(crate) reason: String,
}

/// Labels of response times.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct Kind {
    /// Service that was asked.
    pub(crate) service: String,
    /// Kind of the request.
    pub(crate) kind: String,
}

/// Labels of messages.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct Message {
    /// Type of the message.
    pub(crate) r#type: String,
}

/// Labels of candidates that were passed over.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct Excluded {
    /// Why the candidate was passed over.
    pub(crate) reason: String,
}

impl Kind {
    /// Names a kind of a service.
    pub(crate) fn new(service: &str, kind: &str) -> Kind {
        Kind { service: service.to_owned(), kind: kind.to_owned() }
    }
}
