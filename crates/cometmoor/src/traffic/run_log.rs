//! The answer to a request that runs apart from its callers.
//!
//! A request that must not be repeated goes on when its caller goes away, and
//! a caller that asks again reads the same answer from its start.

use std::sync::{Mutex, PoisonError};

use cometmoor_core::idempotency::StoredAnswer;
use cometmoor_protocol::engine::CompletionChunk;
use tokio::sync::watch;

use super::error::RequestError;

/// A part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum RunPart {
    /// A part of a model's answer.
    Chunk(CompletionChunk),
    /// The whole answer of a plain service.
    Answer(StoredAnswer),
}

#[derive(Default)]
struct State {
    parts: Vec<RunPart>,
    end: Option<Result<(), RequestError>>,
}

/// An answer that grows, with any number of readers.
pub struct RunLog {
    state: Mutex<State>,
    grown: watch::Sender<usize>,
}

impl Default for RunLog {
    fn default() -> Self {
        RunLog { state: Mutex::default(), grown: watch::Sender::new(0) }
    }
}

impl RunLog {
    /// Adds the next part.
    pub fn push(&self, part: RunPart) {
        self.lock().parts.push(part);
        self.grown.send_modify(|version| *version += 1);
    }

    /// Notes the end of the run.
    pub fn end(&self, end: Result<(), RequestError>) {
        self.lock().end = Some(end);
        self.grown.send_modify(|version| *version += 1);
    }

    /// The part at a position, once it is there; none after the last.
    pub async fn get(&self, position: usize) -> Option<Result<RunPart, RequestError>> {
        let mut grown = self.grown.subscribe();
        loop {
            {
                let state = self.lock();
                if let Some(part) = state.parts.get(position) {
                    return Some(Ok(part.clone()));
                }
                match &state.end {
                    Some(Ok(())) => return None,
                    Some(Err(error)) => return Some(Err(error.clone())),
                    None => {}
                }
            }
            if grown.changed().await.is_err() {
                return None;
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
