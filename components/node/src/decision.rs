//! Routing and placement decisions, as logged and shown by `explain`.

use ident::{NodeId, RequestId};
use serde::{Deserialize, Serialize};
use verdict::{Reason, Refusal, Verdict};

/// A node considered in a decision.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Candidate {
    /// The node.
    pub node: NodeId,
    /// Predicted wait in milliseconds.
    pub wait_ms: f64,
    /// Reason why the node was not eligible, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub excluded: Option<String>,
}

/// Kind of decision.
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
    /// An entry sent the request again.
    Retry,
    /// An entry sent a copy to a second agent.
    Hedge,
    /// The call was attached to a queued or running request with the same id.
    Attach,
    /// The recorded outcome was returned again.
    Repeat,
    /// The request was refused.
    Refuse,
    /// The request was cancelled.
    Cancel,
    /// A task was placed on a worker.
    Place,
}

/// A routing or placement decision.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Decision {
    /// Request or job.
    pub id: RequestId,
    /// Kind of decision.
    pub step: Step,
    /// Chosen node, if any.
    pub node: Option<NodeId>,
    /// Reason of a refusal.
    pub reason: Option<Reason>,
    /// Verdict, if the decision ends the request.
    pub verdict: Option<Verdict>,
    /// Nodes that were compared.
    pub candidates: Vec<Candidate>,
    /// Explanation for operators, in one sentence.
    pub detail: String,
}

impl Decision {
    /// Creates a decision about `id` without a node or candidates.
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

    /// Creates the decision to refuse `id`.
    pub fn refuse(id: RequestId, refusal: &Refusal) -> Decision {
        Decision {
            reason: Some(refusal.reason),
            verdict: Some(refusal.verdict()),
            ..Decision::new(id, Step::Refuse, &refusal.message)
        }
    }

    /// Sets the chosen node.
    pub fn with_node(self, node: NodeId) -> Decision {
        Decision { node: Some(node), ..self }
    }
}
