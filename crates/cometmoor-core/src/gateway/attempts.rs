//! How far a request has come, and whether it may be sent to another server.

use super::configuration::RetryPolicy;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No server can have run it.
    Waiting,
    /// A server may have run it.
    Sent,
    /// The client has a part of its answer.
    Responding,
}

impl Progress {
    /// The step, for log lines.
    pub fn step(self) -> &'static str {
        match self {
            Progress::Waiting => "queue",
            Progress::Sent => "server",
            Progress::Responding => "stream",
        }
    }
}

/// Why a send did not bring a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// The server said that it did not run the request.
    NotRun,
    /// The connection broke after the request was written.
    ConnectionLost,
    /// The server answered with a failure of its own.
    ServerError,
    /// The stream broke off after events went to the client.
    StreamInterrupted,
}

/// The sends of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    retry_policy: RetryPolicy,
    most: u32,
    sends: u32,
    progress: Progress,
    before_send: Progress,
}

impl Attempts {
    /// A request that was not sent yet, which may go to `most` servers.
    pub fn new(retry_policy: RetryPolicy, most: u32) -> Attempts {
        let progress = Progress::Waiting;
        Attempts { retry_policy, most, sends: 0, progress, before_send: progress }
    }

    /// How far the request has come.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Servers that it was sent to.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Notes that the request is about to be written.
    pub fn begin_send(&mut self) {
        self.before_send = self.progress;
        self.progress = Progress::Sent;
        self.sends += 1;
    }

    /// Notes that no byte of it left.
    pub fn record_not_sent(&mut self) {
        self.progress = self.before_send;
        self.sends -= 1;
    }

    /// Notes that the server said that it did not run it.
    pub fn record_not_run(&mut self) {
        self.progress = self.before_send;
    }

    /// Notes that a part of the answer goes to the client.
    pub fn record_response_started(&mut self) {
        self.progress = Progress::Responding;
    }

    /// Whether it may be sent to another server after the failure, as far as
    /// its route is concerned.
    pub fn can_retry(&self, failure: SendFailure) -> bool {
        let repeatable = match failure {
            SendFailure::NotRun => true,
            SendFailure::ConnectionLost | SendFailure::ServerError => {
                self.retry_policy.allows_rerun()
            }
            SendFailure::StreamInterrupted => self.retry_policy == RetryPolicy::ResumableStream,
        };
        repeatable && self.sends < self.most
    }

    /// Whether the client may be told that it has not run and will not.
    pub fn is_known_not_run(&self) -> bool {
        self.progress == Progress::Waiting
    }
}
