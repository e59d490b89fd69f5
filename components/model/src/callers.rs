//! Callers: they send jobs, and send a job again when they get no answer.

use std::collections::HashMap;

use broker::Submission;
use mesh::JobId;

/// Time after which a job without an answer is sent again, in ms.
pub(crate) const RESEND_MS: u64 = 1_300;
/// Times that a job is sent at most.
pub(crate) const MAX_SENDS: u32 = 4;

/// A job that has no final answer yet.
#[derive(Debug)]
pub(crate) struct Open {
    pub(crate) submission: Submission,
    pub(crate) first: u64,
    pub(crate) sends: u32,
    /// Entry and request of the try in progress.
    pub(crate) request: Option<(usize, u64)>,
}

/// Jobs without a final answer, and who sent which request.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    pub(crate) open: HashMap<JobId, Open>,
    pub(crate) requests: HashMap<u64, JobId>,
    next: u64,
}

impl Callers {
    /// A number for a request.
    pub(crate) fn next_request(&mut self, job: JobId) -> u64 {
        self.next += 1;
        self.requests.insert(self.next, job);
        self.next
    }

    /// Requests that an entry has.
    pub(crate) fn at(&self, entry: usize) -> Vec<(JobId, u64)> {
        let request = |(job, open): (&JobId, &Open)| match open.request {
            Some((at, token)) if at == entry => Some((*job, token)),
            Some(_) | None => None,
        };
        let mut requests: Vec<_> = self.open.iter().filter_map(request).collect();
        requests.sort_unstable();
        requests
    }
}
