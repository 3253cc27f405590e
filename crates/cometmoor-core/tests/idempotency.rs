//! Tests of idempotency keys: a key runs at most once in any sequence of requests,
//! outcomes, expiries and handovers.

mod schedules;

use std::time::Duration;

use bolero::TypeGenerator;
use cometmoor_core::idempotency::{
    BeginOutcome, IdempotencyLimits, IdempotencyTable, KeyError, KeyPrefix, RunOutcome,
    StoredAnswer,
};
use cometmoor_core::time::Timestamp;
use schedules::for_each_schedule;

const CASES: u64 = 10_000;
const KEYS: u8 = 3;
const LIMITS: IdempotencyLimits =
    IdempotencyLimits { key_lifetime: Duration::from_millis(100), max_entries: 3, max_bytes: 64 };
const FINGERPRINT: u64 = 7;

fn answer() -> StoredAnswer {
    StoredAnswer { status: 200, content_type: "text/plain".to_owned(), body: vec![0; 8] }
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum End {
    Complete,
    NotRun,
    Unknown,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Begin {
        key: u8,
    },
    End {
        key: u8,
        end: End,
    },
    Wait {
        millis: u8,
    },
    Close,
    /// The holder stops and another node adopts the closed table.
    HandOver,
}

#[derive(Clone, Copy, Debug, Default)]
struct Runs {
    /// Runs that may have had an effect.
    effective: u32,
    running: bool,
}

struct World {
    table: IdempotencyTable,
    closed: bool,
    now: Timestamp,
    runs: [Runs; KEYS as usize],
}

impl World {
    fn run(&mut self, step: Step) {
        match step {
            Step::Begin { key } => self.begin(key % KEYS),
            Step::End { key, end } => self.end(key % KEYS, end),
            Step::Wait { millis } => self.now = self.now + Duration::from_millis(millis.into()),
            Step::Close => {
                self.table.close();
                self.closed = true;
            }
            Step::HandOver => {
                let running = self.runs.iter().any(|runs| runs.running);
                if self.closed && !running {
                    self.table = IdempotencyTable::adopt(LIMITS, self.table.finished());
                    self.closed = false;
                }
            }
        }
    }

    /// Expiry of a key; the keys are issued at 0, 50 and 100 milliseconds.
    fn expiry(key: u8) -> Timestamp {
        Timestamp(50 * u64::from(key)) + LIMITS.key_lifetime
    }

    fn begin(&mut self, key: u8) {
        let begin = self.table.begin(&key.to_string(), World::expiry(key), FINGERPRINT, self.now);
        let runs = &mut self.runs[usize::from(key)];
        match begin {
            BeginOutcome::Run => {
                assert_eq!(runs.effective, 0, "key {key} ran before");
                assert!(!runs.running && !self.closed && self.now < World::expiry(key));
                runs.running = true;
            }
            BeginOutcome::Expired { certainly_not_run: true } => {
                assert!(runs.effective == 0 && !runs.running, "key {key} ran");
            }
            BeginOutcome::Replay(_) => assert_eq!(runs.effective, 1),
            BeginOutcome::AlreadyRunning => assert!(runs.running),
            BeginOutcome::Unknown => assert_eq!(runs.effective, 1),
            BeginOutcome::DifferentRequest => unreachable!("all requests are the same"),
            BeginOutcome::Expired { .. } | BeginOutcome::Full | BeginOutcome::Closed => {}
        }
    }

    fn end(&mut self, key: u8, end: End) {
        let runs = &mut self.runs[usize::from(key)];
        if !runs.running {
            return;
        }
        runs.running = false;
        let finish = match end {
            End::Complete => RunOutcome::Complete(answer()),
            End::NotRun => RunOutcome::NotRun,
            End::Unknown => RunOutcome::Unknown,
        };
        runs.effective += u32::from(finish != RunOutcome::NotRun);
        self.table.finish(&key.to_string(), finish);
    }
}

#[test]
fn key_runs_at_most_once_and_certainly_not_run_is_correct() {
    for_each_schedule::<Step>(CASES, |steps| {
        let mut world = World {
            table: IdempotencyTable::new(LIMITS),
            closed: false,
            now: Timestamp(0),
            runs: Default::default(),
        };
        for step in steps {
            world.run(*step);
        }
    });
}

#[test]
fn key_is_bound_to_its_first_request() {
    let mut table = IdempotencyTable::new(LIMITS);
    let expiry = World::expiry(0);
    assert_eq!(table.begin("0", expiry, 1, Timestamp(0)), BeginOutcome::Run);
    assert_eq!(table.begin("0", expiry, 2, Timestamp(0)), BeginOutcome::DifferentRequest);
    table.finish("0", RunOutcome::Complete(answer()));
    assert_eq!(table.begin("0", expiry, 1, Timestamp(1)), BeginOutcome::Replay(answer()));
}

#[test]
fn full_table_rejects_new_keys_until_old_ones_are_removed() {
    let mut table = IdempotencyTable::new(LIMITS);
    for key in 0..3 {
        assert_eq!(
            table.begin(&key.to_string(), Timestamp(100), 1, Timestamp(0)),
            BeginOutcome::Run
        );
    }
    assert_eq!(table.begin("3", Timestamp(100), 1, Timestamp(0)), BeginOutcome::Full);
    let later = Timestamp(200);
    assert_eq!(table.begin("3", Timestamp(300), 1, later), BeginOutcome::Run);
    let removed = BeginOutcome::Expired { certainly_not_run: false };
    assert_eq!(table.begin("0", Timestamp(100), 1, later), removed);
}

#[test]
fn prefixes_round_trip_and_invalid_keys_are_rejected() {
    let prefix = KeyPrefix {
        system: "lab".to_owned(),
        node: "node-1".to_owned(),
        incarnation: 0xabc,
        expires_at: Timestamp(0x1234),
    };
    let key = format!("{prefix}order/17");
    assert_eq!(KeyPrefix::from_key(&key, "lab"), Ok(prefix.clone()));
    assert_eq!(KeyPrefix::from_key(&key, "other"), Err(KeyError::ForeignSystem));
    assert_eq!(KeyPrefix::from_key(&prefix.to_string(), "lab"), Err(KeyError::Malformed));
    assert_eq!(KeyPrefix::from_key("order-17", "lab"), Err(KeyError::Malformed));
    assert_eq!(KeyPrefix::from_key(&"x".repeat(300), "lab"), Err(KeyError::TooLong));
}
