//! Positions in the history of the store, which may be restored from an older backup.
//!
//! Revisions count the store's changes. A store that is restored from a backup assigns some
//! revisions again, so that a revision identifies a state only together with its era.

use serde::{Deserialize, Serialize};

/// Number of bits of a fencing token below the era number. Tokens keep increasing as long as
/// a restore loses fewer changes than these bits can count.
const TOKEN_REVISION_BITS: u32 = 32;

/// The period between two restores of the store. Later eras compare as greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StoreEra {
    /// Number that the store sends with its answers; 0 if it sends none.
    number: u32,
    /// Number of losses detected since then without a new number.
    unannounced: u32,
}

impl StoreEra {
    /// The era with the number that the store sends.
    pub fn numbered(number: u32) -> StoreEra {
        StoreEra { number, unannounced: 0 }
    }

    /// The number that the store sends with its answers; 0 if it sends none.
    pub fn number(self) -> u32 {
        self.number
    }

    /// Whether this era is the next one after `earlier` by the store's numbers.
    pub fn follows(self, earlier: StoreEra) -> bool {
        self.number == earlier.number + 1
    }

    /// The era after a loss that the store did not announce with a new number.
    pub fn after_unannounced_loss(self) -> StoreEra {
        StoreEra { unannounced: self.unannounced + 1, ..self }
    }

    /// Fencing token of orders under a lease that was written at `revision` of this era. It is
    /// greater than the tokens of all earlier era numbers.
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

/// How the era of an answer relates to the eras that a node knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEra {
    /// It is the newest known era.
    Newest(StoreEra),
    /// It is newer than all known eras.
    New {
        /// The new era.
        era: StoreEra,
        /// The newest known era before it; `None` if none was known.
        before: Option<StoreEra>,
    },
    /// It has ended: the content of the answer may have been lost since.
    Past(StoreEra),
}

/// The newest era that a node knows of.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownEra {
    newest: Option<StoreEra>,
}

impl KnownEra {
    /// The newest known era; the first era of a store without numbers if none is known.
    pub fn newest(&self) -> StoreEra {
        self.newest.unwrap_or_default()
    }

    /// Records the number that came with an answer of the store to a call that was made when
    /// `newest_at_call` was the newest known era. If the number does not distinguish eras, the
    /// answer belongs to the newest era if that was known at the call, and otherwise may belong
    /// to an earlier one.
    pub fn note_answer(&mut self, number: Option<u32>, newest_at_call: StoreEra) -> AnswerEra {
        let newest = self.newest();
        match number {
            Some(number) if number != newest.number => self.note(StoreEra::numbered(number)),
            Some(_) if newest.unannounced == 0 => self.note(newest),
            _ if newest_at_call == newest => self.note(newest),
            _ => AnswerEra::Past(newest_at_call),
        }
    }

    /// Determines the era of a full read at position `read`, as numbered by the store's answers,
    /// where `known` was the position of the copy before the call. The store never answers with
    /// an older state than before, so that a lower revision shows a loss without a new number.
    pub fn classify_read(&mut self, read: StorePosition, known: StorePosition) -> AnswerEra {
        if read.era != known.era || read.revision >= known.revision {
            return AnswerEra::Newest(read.era);
        }
        match self.newest() > read.era {
            true => AnswerEra::Newest(self.newest()),
            false => self.note(read.era.after_unannounced_loss()),
        }
    }

    /// Records an era that another node reports.
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

/// A position in the store's history. Later positions compare as greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Era in which the revision was counted.
    pub era: StoreEra,
    /// Revision, which counts the changes up to this position.
    pub revision: u64,
}

impl std::fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}", self.era, self.revision)
    }
}

/// The text is not a valid [`StorePosition`].
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
