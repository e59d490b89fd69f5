//! Label sets of the metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of the counter of answered requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct RequestLabels {
    /// Requested service.
    pub(crate) service: String,
    /// Kind of the request.
    pub(crate) kind: String,
    /// Verdict of the answer.
    pub(crate) verdict: String,
    /// Reason of the refusal, empty for a result.
    pub(crate) reason: String,
}

/// Labels of the response time histogram.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct KindLabels {
    /// Requested service.
    pub(crate) service: String,
    /// Kind of the request.
    pub(crate) kind: String,
}

/// Labels of the counter of messages.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct MessageLabels {
    /// Type of the message.
    pub(crate) r#type: String,
}

/// Labels of the counter of excluded candidates.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct ExclusionLabels {
    /// Why the candidate was excluded.
    pub(crate) reason: String,
}

impl KindLabels {
    /// Creates the labels of a kind of a service.
    pub(crate) fn new(service: &str, kind: &str) -> KindLabels {
        KindLabels { service: service.to_owned(), kind: kind.to_owned() }
    }
}
