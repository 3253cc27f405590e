//! Callers of all kinds, who follow the rules for callers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use cometmoor_protocol::directory::DirectoryAnswer;
use cometmoor_protocol::error::Outcome;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::SharedSystem;
use super::system::{GROUP_KEYS, MODELS, model_name};
use crate::client::{CallEnd, Caller, ChatCall};

/// Callers whose requests may be repeated.
const REPEATABLE_CALLERS: u64 = 10;
/// Callers of completions that must not be repeated.
const MARKED_CALLERS: u64 = 4;
/// Callers of service calls that must not be repeated.
const SERVICE_CALLERS: u64 = 3;
/// Time in which a caller wants its answer, with all its attempts.
const PATIENCE: Duration = Duration::from_secs(25);
/// Longest pause before a caller asks again.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Pause between a caller's requests.
const THINK: Duration = Duration::from_millis(30);

/// A request that must not be repeated, as it ended.
#[derive(Clone, Debug)]
pub struct MarkedRequest {
    /// Prompt or body by which its runs are counted.
    pub counted_by: String,
    /// Whether it is a service call.
    pub is_service: bool,
    /// Whether the whole answer came.
    pub answered: bool,
    /// Whether the system said, at any time, that it was not run.
    pub told_not_run: bool,
    /// Whether the system told the outcome, or the answer came.
    pub told: bool,
}

impl MarkedRequest {
    /// A request of which nothing is known yet.
    fn new(counted_by: String, is_service: bool) -> MarkedRequest {
        MarkedRequest { counted_by, is_service, answered: false, told_not_run: false, told: false }
    }
}

/// An attempt that the system said was not run.
#[derive(Clone, Debug)]
pub struct NotRunAttempt {
    /// Prompt of the attempt, which is its own.
    pub prompt: String,
}

/// What the callers have met.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests that may be repeated.
    pub requests: u64,
    /// Those that were not answered whole in time.
    pub lost: Vec<String>,
    /// Answers that were presented as whole and were not.
    pub wrong: Vec<String>,
    /// Streams that broke at a node in its planned stop.
    pub cut: Vec<String>,
    /// Attempts told to be not run.
    pub not_run: Vec<NotRunAttempt>,
    /// Requests that must not be repeated.
    pub marked: Vec<MarkedRequest>,
    /// Attempts beyond the first.
    pub repeated_attempts: u64,
    /// Times to the first token.
    pub first_tokens: Vec<Duration>,
}

/// All callers of a run.
pub struct Callers {
    /// What they have met.
    pub tally: Rc<RefCell<Tally>>,
    stopping: Rc<Cell<bool>>,
    running: RefCell<Vec<actix_rt::task::JoinHandle<()>>>,
}

/// One caller.
struct OneCaller {
    system: SharedSystem,
    tally: Rc<RefCell<Tally>>,
    caller: Caller,
    random: ChaCha8Rng,
    name: String,
    directory: Option<(Instant, DirectoryAnswer)>,
}

impl Callers {
    /// Starts them.
    pub fn start(system: &SharedSystem, seed: u64) -> Callers {
        let callers =
            Callers { tally: Rc::default(), stopping: Rc::default(), running: RefCell::default() };
        for index in 0..REPEATABLE_CALLERS {
            callers.spawn(system, seed, index, async |caller, request| {
                caller.repeatable_request(request).await;
            });
        }
        for index in 0..MARKED_CALLERS {
            callers.spawn(system, seed, 100 + index, async |caller, request| {
                caller.marked_request(request).await;
            });
        }
        for index in 0..SERVICE_CALLERS {
            callers.spawn(system, seed, 200 + index, async |caller, request| {
                caller.service_request(request).await;
            });
        }
        callers
    }

    fn spawn(
        &self,
        system: &SharedSystem,
        seed: u64,
        index: u64,
        request: impl AsyncFn(&mut OneCaller, u64) + 'static,
    ) {
        let key = GROUP_KEYS[usize::try_from(index).unwrap_or(0) % GROUP_KEYS.len()];
        let mut caller = OneCaller {
            system: system.clone(),
            tally: self.tally.clone(),
            caller: Caller::new(key),
            random: ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(index)),
            name: format!("caller-{index}"),
            directory: None,
        };
        let stopping = self.stopping.clone();
        let task = actix_rt::spawn(async move {
            let mut number = 0;
            while !stopping.get() {
                request(&mut caller, number).await;
                number += 1;
                actix_rt::time::sleep(THINK).await;
            }
        });
        self.running.borrow_mut().push(task);
    }

    /// Lets them finish what they have begun.
    pub async fn stop(&self) {
        self.stopping.set(true);
        let running = self.running.take();
        futures::future::join_all(running).await;
    }
}

impl OneCaller {
    /// The addresses to try, in order, by a directory answer that is not kept
    /// for longer than it says.
    async fn addresses(&mut self, model: &str) -> Option<DirectoryAnswer> {
        if let Some((at, answer)) = &self.directory
            && at.elapsed() < Duration::from_secs(answer.lifetime_seconds)
        {
            return Some(answer.clone());
        }
        let mut all = self.system.addresses.clone();
        let start = self.random.random_range(0..all.len());
        all.rotate_left(start);
        let asked_at = Instant::now();
        let answer = self.caller.directory(&all, model).await.ok()?;
        self.directory = Some((asked_at, answer.clone()));
        Some(answer)
    }

    fn pick_model(&mut self) -> String {
        let index = self.random.random_range(0..MODELS + 2);
        if index < MODELS { model_name(index) } else { format!("adapter-{index}") }
    }

    async fn repeatable_request(&mut self, number: u64) {
        let model = self.pick_model();
        let tokens = self.random.random_range(5..60);
        let stream = self.random.random_range(0..4) > 0;
        self.tally.borrow_mut().requests += 1;
        let deadline = Instant::now() + PATIENCE;
        let mut last = String::new();
        for attempt in 0_usize.. {
            if Instant::now() >= deadline {
                let text = format!("{} {number} to {model}: {last}", self.name);
                self.tally.borrow_mut().lost.push(text);
                return;
            }
            let Some(answer) = self.addresses(&model).await else {
                last = "no directory".to_owned();
                actix_rt::time::sleep(LONGEST_PAUSE).await;
                continue;
            };
            let addresses = all_addresses(&answer);
            let address = &addresses[attempt % addresses.len()];
            let message = format!("{} request {number} attempt {attempt}", self.name);
            let call = ChatCall { stream, ..ChatCall::streamed(&model, &message, tokens) };
            let report = self.caller.chat(address, &call).await;
            if attempt > 0 {
                self.tally.borrow_mut().repeated_attempts += 1;
            }
            self.note_cut(address, &report.end);
            match report.end {
                CallEnd::Whole => {
                    self.tally.borrow_mut().first_tokens.extend(report.first_token);
                    return;
                }
                CallEnd::Wrong { text } => {
                    let text = format!("{message} got {text:?}");
                    self.tally.borrow_mut().wrong.push(text);
                    return;
                }
                CallEnd::Told { detail, status } => {
                    last = format!("status {status}: {detail:?}");
                    if detail.outcome == Outcome::NotRun {
                        let attempt = NotRunAttempt { prompt: call.prompt() };
                        self.tally.borrow_mut().not_run.push(attempt);
                    }
                    pause(detail.retry_after_millis).await;
                }
                CallEnd::Unreachable => {
                    last = format!("{address} cannot be reached");
                    self.directory = None;
                }
                CallEnd::Broken { reason } => {
                    last = format!("{address} broke: {reason}");
                    self.directory = None;
                }
            }
        }
    }

    fn note_cut(&self, address: &str, end: &CallEnd) {
        let broken = match end {
            CallEnd::Broken { reason } => reason.clone(),
            CallEnd::Told { status: 200, detail } => detail.message.clone(),
            _ => return,
        };
        let draining = self.system.draining.borrow().iter().any(|draining| draining == address);
        if draining {
            self.tally.borrow_mut().cut.push(format!("{} at {address}: {broken}", self.name));
        }
    }

    /// Asks with one key, at one address after another, until the answer or a
    /// final word is there.
    async fn marked_request(&mut self, number: u64) {
        let model = self.pick_model();
        let tokens = self.random.random_range(5..30);
        let Some(answer) = self.addresses(&model).await else { return };
        let Some(prefix) = &answer.idempotency_key_prefix else { return };
        let message = format!("{} marked {number}", self.name);
        let key = format!("{prefix}{}-{number}", self.name);
        let call = ChatCall {
            key: Some(key),
            stream: number.is_multiple_of(2),
            ..ChatCall::streamed(&model, &message, tokens)
        };
        let mut request = MarkedRequest::new(call.prompt(), false);
        let addresses = marked_addresses(&answer);
        let deadline = Instant::now() + PATIENCE;
        for attempt in 0_usize.. {
            let address = &addresses[attempt % addresses.len()];
            let report = self.caller.chat(address, &call).await;
            self.note_cut(address, &report.end);
            if let CallEnd::Wrong { text } = &report.end {
                let text = format!("{message} got {text:?}");
                self.tally.borrow_mut().wrong.push(text);
            }
            let final_word = note_marked_end(&mut request, &report.end, attempt);
            if final_word || Instant::now() >= deadline {
                break;
            }
            pause(retry_after(&report.end)).await;
        }
        self.tally.borrow_mut().marked.push(request);
    }

    async fn service_request(&mut self, number: u64) {
        let Some(answer) = self.addresses("booking").await else { return };
        let Some(prefix) = &answer.idempotency_key_prefix else { return };
        let body = format!("{} booking {number}", self.name);
        let key = format!("{prefix}{}-{number}", self.name);
        let mut request = MarkedRequest::new(body.clone(), true);
        let addresses = marked_addresses(&answer);
        let deadline = Instant::now() + PATIENCE;
        for attempt in 0_usize.. {
            let address = &addresses[attempt % addresses.len()];
            let result = self.caller.service(address, "booking/rides", &body, Some(&key)).await;
            let end = match result {
                Ok(_) => CallEnd::Whole,
                Err(end) => end,
            };
            let final_word = note_marked_end(&mut request, &end, attempt);
            if final_word || Instant::now() >= deadline {
                break;
            }
            pause(retry_after(&end)).await;
        }
        self.tally.borrow_mut().marked.push(request);
    }
}

/// Attempts after which a caller takes "unknown" for the final word.
const UNKNOWN_ATTEMPTS: usize = 6;

/// Notes an attempt at a marked request; true when nothing more is to be
/// learnt by asking again.
fn note_marked_end(request: &mut MarkedRequest, end: &CallEnd, attempt: usize) -> bool {
    match end {
        CallEnd::Whole => {
            request.answered = true;
            request.told = true;
            true
        }
        CallEnd::Wrong { .. } => true,
        CallEnd::Told { detail, .. } => {
            request.told = true;
            if detail.outcome == Outcome::NotRun {
                request.told_not_run = true;
                return true;
            }
            attempt >= UNKNOWN_ATTEMPTS
        }
        CallEnd::Unreachable | CallEnd::Broken { .. } => false,
    }
}

fn retry_after(end: &CallEnd) -> Option<u64> {
    match end {
        CallEnd::Told { detail, .. } => detail.retry_after_millis,
        _ => None,
    }
}

async fn pause(retry_after_millis: Option<u64>) {
    let asked = retry_after_millis.map_or(LONGEST_PAUSE / 5, Duration::from_millis);
    actix_rt::time::sleep(asked.min(LONGEST_PAUSE)).await;
}

fn all_addresses(answer: &DirectoryAnswer) -> Vec<String> {
    let mut addresses: Vec<String> =
        answer.addresses.iter().map(|target| target.address.clone()).collect();
    addresses.extend(answer.fallbacks.iter().cloned());
    addresses
}

/// The issuer first, then the others.
fn marked_addresses(answer: &DirectoryAnswer) -> Vec<String> {
    let mut addresses = vec![answer.idempotency_address.clone()];
    let others = all_addresses(answer);
    addresses.extend(others.into_iter().filter(|other| *other != answer.idempotency_address));
    addresses
}
