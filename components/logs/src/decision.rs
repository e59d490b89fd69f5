//! Log lines of decisions.

use node::Decision;
use serde::Serialize;

/// Log target of decisions.
pub const DECISION_TARGET: &str = "decision";

/// Logs a decision as one line, with its details as attributes.
pub fn log_decision(decision: &Decision) {
    log::info!(
        target: DECISION_TARGET,
        id:% = decision.id,
        step = serialized_name(&decision.step).as_str(),
        node = decision.node.map(|node| node.to_string()).unwrap_or_default().as_str(),
        verdict = decision.verdict.map(|verdict| verdict.to_string()).unwrap_or_default().as_str(),
        reason = decision.reason.map(|reason| reason.to_string()).unwrap_or_default().as_str(),
        candidates = to_json(&decision.candidates).as_str(),
        detail = decision.detail.as_str();
        "decision"
    );
}

/// Serialized name of an enum value, without the quotes.
fn serialized_name<T: Serialize>(value: &T) -> String {
    to_json(value).trim_matches('"').to_owned()
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
