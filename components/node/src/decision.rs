//! Decisions, as they are logged.

use ident::{NodeId, RequestId};
use serde::{Deserialize, Serialize};
use verdict::{Reason, Refusal, Verdict};

/// A node that could have been chosen.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Candidate {
    /// The node.
    pub node: NodeId,
    /// Predicted wait in milliseconds.
    pub wait_ms: f64,
    /// Why the node was passed over, if it was not eligible.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub excluded: Option<String>,
}

/// What was decided about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// An entry chose an agent.
    Route,
    /// An agent put the request into its queue.
    Queue,
    /// An agent started the request on its endpoint.
    Start,
    /// An owner handed the request on to another agent.
    HandOn,
    /// A second attempt was made.
    Retry,
    /// A copy was sent to a second agent.
    Hedge,
    /// The request attached to a running one with the same id.
    Attach,
    /// An earlier answer was repeated.
    Repeat,
    /// The request was refused.
    Refuse,
    /// The request was cancelled.
    Cancel,
    /// A task was placed on a worker.
    Place,
}

/// One routing or placement decision.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Decision {
    /// Request or job.
    pub id: RequestId,
    /// What was decided.
    pub step: Step,
    /// Node chosen, if one was.
    pub node: Option<NodeId>,
    /// Reason of a refusal.
    pub reason: Option<Reason>,
    /// Verdict given, if the decision ends the request.
    pub verdict: Option<Verdict>,
    /// Figures of the nodes compared.
    pub candidates: Vec<Candidate>,
    /// One sentence for people.
    pub detail: String,
}

impl Decision {
    /// A decision about `id`, told in one sentence.
    pub fn new(id: RequestId, step: Step, detail: impl Into<String>) -> Decision {
        Decision {
            id,
            step,
            node: None,
            reason: None,
            verdict: None,
            candidates: Vec::new(),
            detail: detail.into(),
        }
    }

    /// The decision to refuse `id`.
    pub fn refuse(id: RequestId, refusal: &Refusal) -> Decision {
        Decision {
            reason: Some(refusal.reason),
            verdict: Some(refusal.verdict()),
            ..Decision::new(id, Step::Refuse, &refusal.message)
        }
    }

    /// The same decision with the node that it chose.
    pub fn on(self, node: NodeId) -> Decision {
        Decision { node: Some(node), ..self }
    }
}
