//! Property test of retries: no sequence of failures runs a request twice that may run only once,
//! and no client is told "not run" for a request that has run.

mod schedules;

use bolero::TypeGenerator;
use cometmoor_core::gateway::attempts::{Attempts, Progress, SendFailure};
use cometmoor_core::gateway::configuration::RetryPolicy;

use schedules::for_each_schedule;

const CASES: u64 = 20_000;
const MAX_SENDS: u32 = 3;

/// The outcome of one attempt.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Send {
    /// No byte was sent.
    Unreachable,
    /// The server refused the request without running it.
    Refused,
    /// The server ran the request, and the connection was lost.
    RunAndLost,
    /// The connection was lost before the server had received the complete request.
    Lost,
    /// The server ran the request and failed.
    RunAndFailed,
    /// Some events arrived, then the stream was interrupted.
    Interrupted,
    /// The complete response arrived.
    Answered,
}

/// What the client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reported {
    Answer,
    NotRun,
    Unknown,
    Interrupted,
}

struct Outcome {
    reported: Reported,
    runs: u32,
    arrivals: u32,
}

/// Sends the request as the gateway does, until it is finished.
fn run_attempts(retry_policy: RetryPolicy, schedule: &[Send]) -> Outcome {
    let mut attempts = Attempts::new(retry_policy, MAX_SENDS);
    let (mut runs, mut arrivals) = (0, 0);
    for send in schedule {
        attempts.begin_send();
        arrivals += u32::from(!matches!(send, Send::Unreachable));
        let failure = match send {
            Send::Unreachable => {
                attempts.record_not_sent();
                continue;
            }
            Send::Refused => {
                attempts.record_not_run();
                SendFailure::NotRun
            }
            Send::RunAndLost => {
                runs += 1;
                SendFailure::ConnectionLost
            }
            Send::Lost => SendFailure::ConnectionLost,
            Send::RunAndFailed => {
                runs += 1;
                SendFailure::ServerError
            }
            Send::Interrupted => {
                runs += 1;
                attempts.record_response_started();
                SendFailure::StreamInterrupted
            }
            Send::Answered => {
                runs += 1;
                return Outcome { reported: Reported::Answer, runs, arrivals };
            }
        };
        if !attempts.can_retry(failure) {
            return Outcome { reported: reported(&attempts, failure), runs, arrivals };
        }
    }
    let reported = reported(&attempts, SendFailure::NotRun);
    Outcome { reported, runs, arrivals }
}

fn reported(attempts: &Attempts, failure: SendFailure) -> Reported {
    match (attempts.progress(), failure) {
        (Progress::Responding, _) => Reported::Interrupted,
        (_, SendFailure::ServerError) => Reported::Answer,
        _ if attempts.is_known_not_run() => Reported::NotRun,
        _ => Reported::Unknown,
    }
}

#[test]
fn runs_at_most_once_and_reports_not_run_only_if_true() {
    for_each_schedule::<Send>(CASES, |schedule| {
        for retry_policy in [
            RetryPolicy::Once,
            RetryPolicy::Stream,
            RetryPolicy::Idempotent,
            RetryPolicy::ResumableStream,
        ] {
            let outcome = run_attempts(retry_policy, schedule);
            if matches!(retry_policy, RetryPolicy::Once | RetryPolicy::Stream) {
                assert!(outcome.runs <= 1, "{retry_policy:?} ran {} times", outcome.runs);
            }
            if outcome.reported == Reported::NotRun {
                assert_eq!(outcome.runs, 0, "{retry_policy:?} was reported as not run");
            }
            assert!(outcome.arrivals <= MAX_SENDS);
        }
    });
}

#[test]
fn a_response_that_was_started_stays_started_while_it_is_resumed() {
    let mut attempts = Attempts::new(RetryPolicy::ResumableStream, MAX_SENDS);
    attempts.begin_send();
    attempts.record_response_started();
    attempts.begin_send();
    assert_eq!(attempts.progress(), Progress::Responding);
    attempts.record_not_run();
    assert_eq!(attempts.progress(), Progress::Responding);
    attempts.begin_send();
    attempts.record_not_sent();
    assert_eq!(attempts.progress(), Progress::Responding);
}
