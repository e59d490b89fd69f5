//! The log line of a decision.

use node::Decision;
use serde::Serialize;

/// Target of the log lines of decisions.
pub const DECISION_TARGET: &str = "decision";

/// Writes a decision as one line whose figures are attributes.
pub fn decision(decision: &Decision) {
    log::info!(
        target: DECISION_TARGET,
        id:% = decision.id,
        step = name(&decision.step).as_str(),
        node = decision.node.map(|node| node.to_string()).unwrap_or_default().as_str(),
        verdict = decision.verdict.map(|verdict| verdict.to_string()).unwrap_or_default().as_str(),
        reason = decision.reason.map(|reason| reason.to_string()).unwrap_or_default().as_str(),
        candidates = json(&decision.candidates).as_str(),
        detail = decision.detail.as_str();
        "decision"
    );
}

/// The name under which `value` is serialised.
fn name<T: Serialize>(value: &T) -> String {
    json(value).trim_matches('"').to_owned()
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
