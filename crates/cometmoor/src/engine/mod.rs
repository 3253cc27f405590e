//! The model engines: placement orders, reports and completions.
//!
//! Everything that depends on how engines are spoken to is in [`http`].

pub mod http;

use cometmoor_protocol::engine::RefusalReason;

/// Why a call to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// No connection: no byte of the call left.
    Unreachable {
        /// Address of the engine.
        peer: String,
        /// What the connection attempt said.
        reason: String,
    },
    /// The engine refused the call by protocol; it was not run.
    Refused {
        /// Address of the engine.
        peer: String,
        /// Why.
        reason: RefusalReason,
    },
    /// The call was sent and its effect is not known.
    Unanswered {
        /// Address of the engine.
        peer: String,
        /// What happened instead of an answer.
        reason: String,
    },
    /// The engine answered something that is not its protocol.
    Malformed {
        /// Address of the engine.
        peer: String,
        /// What was wrong.
        reason: String,
    },
}

impl EngineError {
    /// Whether the call certainly was not run.
    pub fn not_run(&self) -> bool {
        matches!(self, EngineError::Unreachable { .. } | EngineError::Refused { .. })
    }

    /// Address of the engine.
    pub fn peer(&self) -> &str {
        match self {
            EngineError::Unreachable { peer, .. }
            | EngineError::Refused { peer, .. }
            | EngineError::Unanswered { peer, .. }
            | EngineError::Malformed { peer, .. } => peer,
        }
    }
}

impl std::fmt::Display for EngineError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            EngineError::Unreachable { peer, reason } => {
                write!(formatter, "the engine at {peer} cannot be reached: {reason}")
            }
            EngineError::Refused { peer, reason } => {
                write!(formatter, "the engine at {peer} refused: {reason:?}")
            }
            EngineError::Unanswered { peer, reason } => {
                write!(formatter, "the engine at {peer} did not answer: {reason}")
            }
            EngineError::Malformed { peer, reason } => {
                write!(formatter, "the engine at {peer} answered wrongly: {reason}")
            }
        }
    }
}
