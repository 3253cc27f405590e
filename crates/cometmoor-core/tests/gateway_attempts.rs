//! No course of failures runs a request twice that may run once, or says "not
//! run" of one that has run.

mod schedules;

use bolero::TypeGenerator;
use cometmoor_core::gateway::attempts::{Attempts, Progress, SendFailure};
use cometmoor_core::gateway::configuration::RetryPolicy;

use schedules::for_each_schedule;

const CASES: u64 = 20_000;
const MOST_SENDS: u32 = 3;

/// What becomes of one send.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Send {
    /// No byte left.
    Unreachable,
    /// The server refused it.
    Refused,
    /// The server has run it, and the connection broke.
    RunAndBroken,
    /// The connection broke before the server had the request whole.
    Broken,
    /// The server has run it and failed.
    RunAndFailed,
    /// Some events came, then the stream broke off.
    BrokenOff,
    /// The whole answer came.
    Answered,
}

/// What the client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Answer,
    NotRun,
    Unknown,
    Cut,
}

struct Outcome {
    told: Told,
    runs: u32,
    arrivals: u32,
}

/// Sends the request as the gateway does, until it has an end.
fn play(retry_policy: RetryPolicy, schedule: &[Send]) -> Outcome {
    let mut attempts = Attempts::new(retry_policy, MOST_SENDS);
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
            Send::RunAndBroken => {
                runs += 1;
                SendFailure::ConnectionLost
            }
            Send::Broken => SendFailure::ConnectionLost,
            Send::RunAndFailed => {
                runs += 1;
                SendFailure::ServerError
            }
            Send::BrokenOff => {
                runs += 1;
                attempts.record_response_started();
                SendFailure::StreamInterrupted
            }
            Send::Answered => {
                runs += 1;
                return Outcome { told: Told::Answer, runs, arrivals };
            }
        };
        if !attempts.can_retry(failure) {
            return Outcome { told: told(&attempts, failure), runs, arrivals };
        }
    }
    let told = told(&attempts, SendFailure::NotRun);
    Outcome { told, runs, arrivals }
}

fn told(attempts: &Attempts, failure: SendFailure) -> Told {
    match (attempts.progress(), failure) {
        (Progress::Responding, _) => Told::Cut,
        (_, SendFailure::ServerError) => Told::Answer,
        _ if attempts.is_known_not_run() => Told::NotRun,
        _ => Told::Unknown,
    }
}

#[test]
fn one_run_at_most_and_not_run_is_true() {
    for_each_schedule::<Send>(CASES, |schedule| {
        for repeat in [
            RetryPolicy::Once,
            RetryPolicy::Stream,
            RetryPolicy::Idempotent,
            RetryPolicy::ResumableStream,
        ] {
            let outcome = play(repeat, schedule);
            if matches!(repeat, RetryPolicy::Once | RetryPolicy::Stream) {
                assert!(outcome.runs <= 1, "{repeat:?} ran {} times", outcome.runs);
            }
            if outcome.told == Told::NotRun {
                assert_eq!(outcome.runs, 0, "{repeat:?} was told not to have run");
            }
            assert!(outcome.arrivals <= MOST_SENDS);
        }
    });
}
