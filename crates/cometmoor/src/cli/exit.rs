//! Exit codes of the command; scripts may rely on them.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// It did what it was asked.
    Success,
    /// It failed.
    Failure,
    /// The command line is wrong.
    Usage,
    /// The system refused the request; it had no effect.
    Refused,
    /// No server could be reached; the request had no effect.
    Unreachable,
    /// The request may have had an effect.
    Unknown,
}

impl Exit {
    /// The code.
    pub fn code(self) -> u8 {
        match self {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::Usage => 2,
            Exit::Refused => 3,
            Exit::Unreachable => 4,
            Exit::Unknown => 5,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit.code())
    }
}
