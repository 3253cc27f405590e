//! Outcomes of a request, and responses that the gateway generates itself.

use std::time::Duration;

use crate::dialect::Dialect;
use crate::http_server::reason_phrase;

/// What happens to the client's connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// It is kept open for the next request.
    KeepAlive,
    /// It is closed after a complete response.
    Close,
    /// It is closed before the response is complete.
    Abort,
}

/// Why a request was refused without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No server holds its model.
    NoModel,
    /// Servers hold its model, but not the adapter.
    NoAdapter,
    /// The service has no server that accepts requests.
    NoServer,
    /// No server of the software version that began the stream accepts requests.
    NoVersion,
    /// No node knows the software version that began the stream.
    UnknownVersion,
    /// None of the servers that could run it was reached, directly or through a peer.
    NotReached,
    /// Every server is expected to respond too late.
    Overloaded,
    /// Too many requests already wait for servers.
    QueueFull,
    /// Every server that could run it is on hold: leaving, resting or at its limit.
    ServersOnHold,
    /// A server reported that it did not run it, and no other one may or can be tried.
    ServerRefused,
    /// Its deadline passed before a server could have run it.
    DeadlineExceeded,
    /// It was in flight while several servers crashed.
    Quarantined,
    /// A part of its prompt was in flight while several servers crashed.
    PartQuarantined,
    /// Its key was revoked while it waited.
    KeyRevoked,
    /// The node's copy of the keys is too old to decide whether its key is still valid.
    KeyUndecided,
    /// It exceeds its tenant's limit.
    OverLimit,
    /// No node could decide whether it is within its tenant's limit.
    LimitUndecided,
}

impl Refusal {
    /// Step at which the request was refused, for log lines and metrics.
    pub fn step(self) -> &'static str {
        match self {
            Refusal::KeyRevoked | Refusal::KeyUndecided => "key",
            Refusal::UnknownVersion | Refusal::NoVersion => "resumption",
            Refusal::OverLimit | Refusal::LimitUndecided => "quota",
            _ => "queue",
        }
    }

    /// Whether the request would have been sent if more servers could have taken it.
    pub fn is_for_lack_of_servers(self) -> bool {
        matches!(
            self,
            Refusal::NoModel
                | Refusal::NoAdapter
                | Refusal::NoServer
                | Refusal::Overloaded
                | Refusal::QueueFull
                | Refusal::ServersOnHold
                | Refusal::ServerRefused
        )
    }

    /// Reason for log lines, and `cause` label of metrics.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::NoModel => "no server holds the model",
            Refusal::NoAdapter => "no server holds the adapter",
            Refusal::NoServer => "no server takes work",
            Refusal::NoVersion => "no server of the stream's software version takes work",
            Refusal::UnknownVersion => "no node knows the software version of the stream",
            Refusal::NotReached => "no server was reached",
            Refusal::Overloaded => "every server would answer too late",
            Refusal::QueueFull => "too many requests wait",
            Refusal::ServersOnHold => "every server rests or is at its limit",
            Refusal::ServerRefused => "the server refused it",
            Refusal::DeadlineExceeded => "the time was over",
            Refusal::Quarantined => "servers have crashed under it",
            Refusal::PartQuarantined => "servers have crashed under a part of its prompt",
            Refusal::KeyRevoked => "its key was taken away",
            Refusal::OverLimit => "it lies beyond the tenant's limit",
            Refusal::LimitUndecided => "no node lends for the tenant",
            Refusal::KeyUndecided => "the keys are not known to be the newest",
        }
    }
}

/// A response that the gateway generates itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalResponse {
    status: u16,
    outcome: &'static str,
    retry_after: Option<Duration>,
    close: bool,
}

impl LocalResponse {
    /// 503: the request has not run and will not.
    pub fn not_run(retry_after: Duration) -> LocalResponse {
        LocalResponse {
            status: 503,
            outcome: "not_run",
            retry_after: Some(retry_after),
            close: false,
        }
    }

    /// 502: the request may have run.
    pub fn bad_gateway() -> LocalResponse {
        LocalResponse { status: 502, outcome: "unknown", retry_after: None, close: false }
    }

    /// 504: the request may have run, and its deadline has passed.
    pub fn gateway_timeout() -> LocalResponse {
        LocalResponse { status: 504, outcome: "unknown", retry_after: None, close: false }
    }

    /// 401: the key is not valid; the request has not run and will not.
    pub fn unauthorized() -> LocalResponse {
        LocalResponse { status: 401, outcome: "unauthorized", retry_after: None, close: false }
    }

    /// 429: the tenant's limit is used up; the request has not run and will not.
    pub fn over_limit(retry_after: Duration) -> LocalResponse {
        LocalResponse {
            status: 429,
            outcome: "not_run",
            retry_after: Some(retry_after),
            close: false,
        }
    }

    /// 404: no route matches.
    pub fn no_route() -> LocalResponse {
        LocalResponse { status: 404, outcome: "no_route", retry_after: None, close: false }
    }

    /// 400: the request was read, and a header is malformed; it has not run and will not.
    pub fn malformed() -> LocalResponse {
        LocalResponse { status: 400, outcome: "rejected", retry_after: None, close: false }
    }

    /// The request cannot be read; the connection is closed.
    pub fn rejected(status: u16) -> LocalResponse {
        LocalResponse { status, outcome: "rejected", retry_after: None, close: true }
    }

    /// Status code.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Encodes the response. `request` is the identifier of the request; empty if unknown.
    pub fn encode(&self, dialect: &dyn Dialect, request: &str, keep: bool) -> Vec<u8> {
        let body = format!("{{\"outcome\":\"{}\"}}", self.outcome);
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        if !request.is_empty() {
            head.push_str(&format!("{}: {request}\r\n", dialect.request_id_header()));
        }
        if let Some(after) = self.retry_after {
            let (name, value) = dialect.retry_after_header(after);
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.close || !keep {
            head.push_str("Connection: close\r\n");
        }
        let length = body.len();
        head.push_str(&format!(
            "Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
        ));
        head.into_bytes()
    }
}
