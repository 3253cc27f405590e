//! Tracks the attempts of one request and decides whether it may be sent to another server.

use super::configuration::RetryPolicy;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No server can have run it.
    Waiting,
    /// A server may have run it.
    Sent,
    /// The client has received part of the response.
    Responding,
}

impl Progress {
    /// Value of the `step` field of log lines.
    pub fn step(self) -> &'static str {
        match self {
            Progress::Waiting => "queue",
            Progress::Sent => "server",
            Progress::Responding => "stream",
        }
    }
}

/// Why an attempt did not return a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// The server reported that it did not run the request.
    NotRun,
    /// The connection was lost after the request was written.
    ConnectionLost,
    /// The server responded with a server error.
    ServerError,
    /// The stream ended early, after events had been sent to the client.
    StreamInterrupted,
}

/// The attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    retry_policy: RetryPolicy,
    max_sends: u32,
    sends: u32,
    progress: Progress,
    /// Restored if it turns out that the server did not run the request.
    progress_before_send: Progress,
}

impl Attempts {
    /// A request that has not been sent and may be sent to at most `max_sends` servers.
    pub fn new(retry_policy: RetryPolicy, max_sends: u32) -> Attempts {
        let progress = Progress::Waiting;
        Attempts { retry_policy, max_sends, sends: 0, progress, progress_before_send: progress }
    }

    /// How far the request has come.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Number of servers that it was sent to, without those that received no byte of it.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Records that the request is about to be written to a server.
    pub fn begin_send(&mut self) {
        self.progress_before_send = self.progress;
        // A response that was started cannot be replaced by another one.
        if self.progress != Progress::Responding {
            self.progress = Progress::Sent;
        }
        self.sends += 1;
    }

    /// Records that no byte of the request was sent. The attempt does not count.
    pub fn record_not_sent(&mut self) {
        self.progress = self.progress_before_send;
        self.sends -= 1;
    }

    /// Records that the server reported not to have run the request. The attempt counts.
    pub fn record_not_run(&mut self) {
        self.progress = self.progress_before_send;
    }

    /// Records that part of the response is sent to the client.
    pub fn record_response_started(&mut self) {
        self.progress = Progress::Responding;
    }

    /// Whether the retry policy and the maximum of attempts allow the request to be sent to
    /// another server after this failure. The retry budget is not considered.
    pub fn can_retry(&self, failure: SendFailure) -> bool {
        let retryable = match failure {
            SendFailure::NotRun => true,
            SendFailure::ConnectionLost | SendFailure::ServerError => {
                self.retry_policy.allows_rerun()
            }
            SendFailure::StreamInterrupted => self.retry_policy == RetryPolicy::ResumableStream,
        };
        retryable && self.sends < self.max_sends
    }

    /// Whether it is certain that no server has run the request, so that the client may be
    /// told so.
    pub fn is_known_not_run(&self) -> bool {
        self.progress == Progress::Waiting
    }
}
