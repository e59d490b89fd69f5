//! Log lines of decisions.

use std::fs;

use ident::{NodeId, RequestId};
use insta::assert_snapshot;
use log::LevelFilter;
use node::{Candidate, Decision, Step};
use serde_json::Value;
use verdict::{Reason, Verdict};

#[test]
fn writes_a_decision_as_one_line_with_its_details_as_attributes() {
    let path = std::env::temp_dir().join(format!("decision-{}.jsonl", std::process::id()));
    let _ = fs::remove_file(&path);
    logs::init_file(&path, LevelFilter::Info).unwrap();

    logs::log_decision(&routed());
    logs::log_decision(&refused());
    log::logger().flush();
    let text = fs::read_to_string(&path).unwrap();
    fs::remove_file(&path).unwrap();

    let lines: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    let attributes: Vec<&Value> = lines.iter().map(|line| &line["attributes"]).collect();
    assert!(lines.iter().all(|line| line["message"] == "decision"));
    assert!(lines.iter().all(|line| line["target"] == logs::DECISION_TARGET));
    assert_snapshot!(serde_json::to_string_pretty(&attributes).unwrap());
}

fn routed() -> Decision {
    Decision {
        id: id(),
        step: Step::HandOn,
        node: Some(node("127.0.0.1:7401")),
        reason: None,
        verdict: None,
        candidates: vec![
            Candidate { node: node("127.0.0.1:7401"), wait_ms: 1.5, excluded: None },
            Candidate {
                node: node("127.0.0.1:7402"),
                wait_ms: 0.0,
                excluded: Some("ejected".to_owned()),
            },
        ],
        detail: "The shortest wait of two.".to_owned(),
    }
}

fn refused() -> Decision {
    Decision {
        id: id(),
        step: Step::Refuse,
        node: None,
        reason: Some(Reason::Overloaded),
        verdict: Some(Verdict::NotRun),
        candidates: Vec::new(),
        detail: "The queue is \"full\".".to_owned(),
    }
}

fn id() -> RequestId {
    "018f0000-0000-7000-8000-000000000001".parse().unwrap()
}

fn node(text: &str) -> NodeId {
    text.parse().unwrap()
}
