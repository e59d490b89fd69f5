//! State of callers, which resend a job until they get a final answer.

use std::collections::HashMap;

use broker::Submission;
use mesh::JobId;

/// Delay before a job is resent, in ms.
pub(crate) const RESEND_MS: u64 = 1_300;
/// Maximum number of times that a job is sent.
pub(crate) const MAX_SENDS: u32 = 4;

/// A job without a final answer.
#[derive(Debug)]
pub(crate) struct OpenJob {
    pub(crate) submission: Submission,
    pub(crate) first_sent: u64,
    pub(crate) sends: u32,
    /// Entry and number of the request in progress.
    pub(crate) request: Option<(usize, u64)>,
}

/// Jobs without a final answer, and the requests in progress.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    pub(crate) open: HashMap<JobId, OpenJob>,
    pub(crate) requests: HashMap<u64, JobId>,
    /// Times at which the ends of closed connections arrive, by request.
    pub(crate) ends: HashMap<u64, u64>,
    last_request: u64,
}

impl Callers {
    /// Registers a request for the job and returns its number.
    pub(crate) fn add_request(&mut self, job: JobId) -> u64 {
        self.last_request += 1;
        self.requests.insert(self.last_request, job);
        self.last_request
    }

    /// Requests in progress at an entry.
    pub(crate) fn requests_at(&self, entry: usize) -> Vec<(JobId, u64)> {
        let request = |(job, open): (&JobId, &OpenJob)| match open.request {
            Some((at, token)) if at == entry => Some((*job, token)),
            Some(_) | None => None,
        };
        let mut requests: Vec<_> = self.open.iter().filter_map(request).collect();
        requests.sort_unstable();
        requests
    }
}
