//! `primrosemux explain`: lists the routing decisions about a request.

use hyper::Method;
use node::{Candidate, Decision};

use crate::{
    Environment,
    cli::Explain,
    entry::Call,
    input::entry_client,
    output::{Exit, Failure, Output},
    table::Table,
};

pub(crate) async fn run(args: &Explain, env: Environment<'_>) -> Result<Output, Failure> {
    let entry = entry_client(args.entry.as_deref(), env)?;
    let call = Call::quick(Method::GET, format!("/v1/explain/{}", args.id));
    let response = entry.call(call).await.map_err(Failure::failed)?;
    let decisions: Vec<Decision> = serde_json::from_slice(&response.body)
        .map_err(|_| Failure::failed(format!("{}.", response.describe(entry.address()))))?;
    if args.json {
        return Ok(Output::json(&decisions, Exit::Done));
    }
    if decisions.is_empty() {
        let text =
            format!("The entry has no decision about {}; ask the entry that accepted it.", args.id);
        return Ok(Output::text(text, Exit::Failed));
    }
    Ok(Output::text(render(&decisions), Exit::Done))
}

fn render(decisions: &[Decision]) -> String {
    let mut table = Table::new(&["STEP", "NODE", "WAIT", "VERDICT", "DETAIL"]);
    for decision in decisions {
        table.row(vec![
            step_name(&decision.step),
            optional(decision.node),
            String::new(),
            verdict(decision),
            decision.detail.clone(),
        ]);
        for candidate in &decision.candidates {
            table.row(row(candidate));
        }
    }
    table.render()
}

fn row(candidate: &Candidate) -> Vec<String> {
    let detail = match &candidate.excluded {
        Some(reason) => format!("passed over: {reason}"),
        None => String::new(),
    };
    let wait = format!("{:.1} ms", candidate.wait_ms);
    vec![String::new(), format!("  {}", candidate.node), wait, String::new(), detail]
}

fn verdict(decision: &Decision) -> String {
    match (decision.verdict, decision.reason) {
        (Some(verdict), Some(reason)) => format!("{verdict} ({reason})"),
        (Some(verdict), None) => verdict.to_string(),
        (None, Some(reason)) => reason.to_string(),
        (None, None) => "-".to_owned(),
    }
}

/// Name of a step as serialized in JSON.
fn step_name(step: &node::Step) -> String {
    let value = serde_json::to_value(step).unwrap_or_default();
    value.as_str().unwrap_or("-").to_owned()
}

fn optional(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |it| it.to_string())
}
