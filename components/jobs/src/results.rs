//! Joins the answers of tasks to the answer of their job, a JSON array.

use serde::Serialize;
use verdict::Answer;

/// Largest body of a job's answer, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = wire::MAX_FRAME_BYTES / 2;

/// Answer of one task.
#[derive(Debug)]
#[derive(Serialize)]
struct TaskAnswer<'a> {
    status: u16,
    #[serde(flatten)]
    body: Body<'a>,
}

#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum Body<'a> {
    /// A body that is valid UTF-8.
    Body(&'a str),
    /// Any other body, as an array of byte values.
    Bytes(&'a [u8]),
}

/// Joins answers in task order; `None` if the result exceeds [`MAX_ANSWER_BYTES`].
pub(crate) fn join(answers: &[&Answer]) -> Option<Answer> {
    let results = answers.iter().map(|answer| TaskAnswer {
        status: answer.status,
        body: match std::str::from_utf8(&answer.body) {
            Ok(text) => Body::Body(text),
            Err(_) => Body::Bytes(&answer.body),
        },
    });
    let results: Vec<TaskAnswer<'_>> = results.collect();
    let body = serde_json::to_vec(&results).expect("task results serialize to JSON");
    (body.len() <= MAX_ANSWER_BYTES).then_some(Answer { status: 200, body })
}
