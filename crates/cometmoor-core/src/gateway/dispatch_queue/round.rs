//! A round in which waiting requests try to get a server, one at a time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};

use super::{ClassKey, Place, Ticket};

/// Order of requests over all tenants and classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderKey {
    priority: u8,
    start_tag: u64,
    place: Place,
}

impl OrderKey {
    pub(super) fn new(priority: u8, start_tag: u64, place: Place) -> OrderKey {
        OrderKey { priority, start_tag, place }
    }

    pub(super) fn ticket(&self) -> Ticket {
        self.place.ticket
    }
}

/// The turn of a request to select a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The request.
    pub ticket: Ticket,
    /// Whether its wait ends before it is certain to get another turn.
    pub is_final: bool,
}

/// Why a request has its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TurnKind {
    /// It is the head of its class.
    Head,
    /// Its wait is about to end.
    Final,
}

/// State of the round.
#[derive(Clone, Debug, Default)]
pub(super) struct Round {
    /// Classes of the round whose head has not declined.
    open: HashSet<ClassKey>,
    /// The open classes, by a key that is at most the present one of their head. A class may be
    /// listed more than once, and classes that are no longer open are.
    order: BinaryHeap<Reverse<(OrderKey, ClassKey)>>,
    is_active: bool,
    has_final_turns: bool,
    turn: Option<(Ticket, TurnKind)>,
}

impl Round {
    pub(super) fn is_active(&self) -> bool {
        self.is_active
    }

    pub(super) fn start(&mut self, has_final_turns: bool) {
        self.end();
        self.is_active = true;
        self.has_final_turns = has_final_turns;
    }

    pub(super) fn end(&mut self) {
        self.open.clear();
        self.order.clear();
        self.is_active = false;
    }

    pub(super) fn has_final_turns(&self) -> bool {
        self.has_final_turns
    }

    pub(super) fn is_open(&self, class: ClassKey) -> bool {
        self.open.contains(&class)
    }

    pub(super) fn open(&mut self, head: OrderKey, class: ClassKey) {
        self.open.insert(class);
        self.order.push(Reverse((head, class)));
    }

    pub(super) fn close(&mut self, class: ClassKey) {
        self.open.remove(&class);
    }

    /// Removes and returns the first of the open classes.
    pub(super) fn pop(&mut self) -> Option<(OrderKey, ClassKey)> {
        while let Some(Reverse((head, class))) = self.order.pop() {
            if self.is_open(class) {
                return Some((head, class));
            }
        }
        None
    }

    pub(super) fn has_turn(&self) -> bool {
        self.turn.is_some()
    }

    pub(super) fn is_turn_of(&self, ticket: Ticket) -> bool {
        self.turn.is_some_and(|(holder, _)| holder == ticket)
    }

    pub(super) fn set_turn(&mut self, ticket: Ticket, kind: TurnKind) {
        self.turn = Some((ticket, kind));
    }

    /// Ends the turn of a request; `None` if it had none.
    pub(super) fn release_turn(&mut self, ticket: Ticket) -> Option<TurnKind> {
        let (_, kind) = self.turn.take_if(|(holder, _)| *holder == ticket)?;
        Some(kind)
    }
}
