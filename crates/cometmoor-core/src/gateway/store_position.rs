//! Points in the history of the store, which may come back from an older copy.
//!
//! Revisions count the store's changes. A store that is restored from a copy gives some of
//! them out again, so that a revision tells what was there only together with the era
//! that it was counted in.

use serde::{Deserialize, Serialize};

/// Bits of a fencing token below the era. A restore has to lose fewer changes than they
/// count, or tokens would fall.
const TOKEN_REVISION_BITS: u32 = 32;

/// The span between two restores of the store. Later ones are greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StoreEra {
    /// Number that the store gives with its answers; 0 where it gives none.
    number: u32,
    /// Losses that were noticed since without a new number.
    unannounced: u32,
}

impl StoreEra {
    /// The era that the store numbers so.
    pub fn numbered(number: u32) -> StoreEra {
        StoreEra { number, unannounced: 0 }
    }

    /// The number that the store gives with its answers.
    pub fn number(self) -> u32 {
        self.number
    }

    /// Whether the store counted no other era between an earlier one and this.
    pub fn follows(self, earlier: StoreEra) -> bool {
        self.number == earlier.number + 1
    }

    /// The era after a loss that no new number tells of.
    pub fn after_unannounced_loss(self) -> StoreEra {
        StoreEra { unannounced: self.unannounced + 1, ..self }
    }

    /// Token of orders under a lease that was written at a revision of this era. It is higher
    /// than that of any earlier era.
    pub fn fencing_token(self, revision: u64) -> u64 {
        (u64::from(self.number) << TOKEN_REVISION_BITS).saturating_add(revision)
    }
}

impl std::fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}", self.number, self.unannounced)
    }
}

impl std::str::FromStr for StoreEra {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<StoreEra, Self::Err> {
        let (number, unannounced) = text.split_once('.').unwrap_or((text, "0"));
        Ok(StoreEra { number: number.parse()?, unannounced: unannounced.parse()? })
    }
}

/// What an answer's era is to the eras that a node has heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEra {
    /// It is the newest.
    Newest(StoreEra),
    /// It is newer than all others.
    New {
        /// The new era.
        era: StoreEra,
        /// The newest one until now; none where none was known.
        before: Option<StoreEra>,
    },
    /// It is over: what the answer tells may have been lost since.
    Past(StoreEra),
}

/// The newest era that a node has heard of.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownEra {
    newest: Option<StoreEra>,
}

impl KnownEra {
    /// The newest era; the first of a store that numbers none where none was heard of.
    pub fn newest(&self) -> StoreEra {
        self.newest.unwrap_or_default()
    }

    /// Takes the number that came with an answer of the store, to a call that was made when
    /// `newest_then` was the newest era. Where the number does not tell eras apart, an answer
    /// is of the newest one if that was known then, and may be of an earlier one if not.
    pub fn note_answer(&mut self, number: Option<u32>, newest_then: StoreEra) -> AnswerEra {
        let newest = self.newest();
        match number {
            Some(number) if number != newest.number => self.note(StoreEra::numbered(number)),
            Some(_) if newest.unannounced == 0 => self.note(newest),
            _ if newest_then == newest => self.note(newest),
            _ => AnswerEra::Past(newest_then),
        }
    }

    /// Places what was read of everything, of a point by the answers' numbers, when `known`
    /// was the point of the copy before the question. The store's answers are as new as all
    /// before them: one that is older shows a loss without a new number.
    pub fn classify_read(&mut self, read: StorePosition, known: StorePosition) -> AnswerEra {
        if read.era != known.era || read.revision >= known.revision {
            return AnswerEra::Newest(read.era);
        }
        match self.newest() > read.era {
            true => AnswerEra::Newest(self.newest()),
            false => self.note(read.era.after_unannounced_loss()),
        }
    }

    /// Takes an era that another node has heard of.
    pub fn note(&mut self, era: StoreEra) -> AnswerEra {
        match self.newest {
            Some(newest) if era == newest => AnswerEra::Newest(era),
            Some(newest) if era < newest => AnswerEra::Past(era),
            before => {
                self.newest = Some(era);
                AnswerEra::New { era, before }
            }
        }
    }
}

/// A point in the store's history. Later ones are greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// The era.
    pub era: StoreEra,
    /// The revision, which counts the changes up to here.
    pub revision: u64,
}

impl std::fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}", self.era, self.revision)
    }
}

/// A text names no point in the store's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseStorePositionError;

impl std::str::FromStr for StorePosition {
    type Err = ParseStorePositionError;

    fn from_str(text: &str) -> Result<StorePosition, ParseStorePositionError> {
        let (era, revision) = text.rsplit_once('.').ok_or(ParseStorePositionError)?;
        let era = era.parse().map_err(|_| ParseStorePositionError)?;
        Ok(StorePosition { era, revision: revision.parse().map_err(|_| ParseStorePositionError)? })
    }
}
