//! Proofs that the configuration is the store's newest, asked of other nodes.

use std::time::Duration;

use actix::{Context, Handler, Message, MessageResult};
use cometmoor_core::gateway::proof::{KnownRestore, PeerProof};
use cometmoor_core::gateway::store_position::StoreEra;
use cometmoor_core::time::BootInstant;

use super::FleetState;
use crate::clock;
use crate::membership::{Message as PeerMessage, Outgoing, ProofAnswer, ProofRequest};
use crate::peer::Subject;

impl FleetState {
    /// The latest point at which the configuration in force is known to have been the
    /// store's newest. Where the newest one cannot be read, none is known: it may have
    /// taken keys away.
    pub(super) fn configuration_proven(&self) -> Option<BootInstant> {
        self.copies[&Subject::Configuration].proven.filter(|_| self.is_readable)
    }

    /// Asks another node for a proof, where this node's is getting old.
    pub(super) fn proof_request(&mut self) -> Option<Outgoing> {
        if !self.proof_limits.needs_peer_proof(self.copies[&Subject::Configuration].proof_age()) {
            return None;
        }
        let sources = self.peers.proof_sources();
        let (number, source) = self.proof_requests.next_request(sources.len(), clock::now())?;
        let from = self.context.settings.peer_address;
        let message = PeerMessage::ProofRequest(ProofRequest { from, number });
        Some(Outgoing { message, targets: vec![sources[source]] })
    }

    /// Takes a peer's answer.
    pub(super) fn take_proof(&mut self, answer: &ProofAnswer) {
        let proof = PeerProof {
            version: answer.configuration,
            age: answer.age_millis.map(|millis| Duration::from_millis(millis.into())),
        };
        let own_version = self.configuration.version();
        let at = self.proof_requests.handle_answer(answer.number, proof, own_version);
        if let Some(at) = at {
            self.context.store.eras().note_peer(answer.era);
            self.prove(Subject::Configuration, answer.era, at);
        }
    }

    /// Notes a point at which the store told, in an era, that it held nothing newer than a
    /// copy, and lets the traffic thread know of it.
    pub(super) fn prove(&mut self, subject: Subject, era: StoreEra, at: BootInstant) {
        if subject == Subject::Configuration {
            if self.proof_counts(era, at) {
                self.copy(subject).prove(Some(at));
            }
            self.publish();
        }
    }

    /// Whether the store proves by an answer that the configuration in force is the newest.
    fn proof_counts(&self, era: StoreEra, at: BootInstant) -> bool {
        let restored = self.context.store.eras().restored();
        let copy = &self.copies[&Subject::Configuration];
        let Some(item) = copy.mirror.items.get(self.context.dialect.configuration_key()) else {
            return false;
        };
        let allows_proof =
            |restored: KnownRestore| restored.allows_proof(era, at, copy.is_rewritten(item));
        !item.is_lost && restored.is_none_or(allows_proof)
    }

    /// Time left until the store is to be asked for a proof; none where no key depends on it,
    /// or where the store cannot prove anything now.
    pub(super) fn time_until_proof_refresh(&self) -> Option<Duration> {
        let era = self.copies[&Subject::Configuration].mirror.at.era;
        if !self.proof_counts(era, clock::now()) {
            return None;
        }
        self.proof_limits.time_until_refresh(self.copies[&Subject::Configuration].proof_age())
    }

    fn proof_answer(&self, number: u64) -> ProofAnswer {
        // Rounded up: an age may be told too old, never too young.
        let millis = |at| u32::try_from(clock::elapsed(at).as_millis() + 1).ok();
        ProofAnswer {
            number,
            configuration: self.configuration.version(),
            era: self.copies[&Subject::Configuration].mirror.at.era,
            age_millis: self.configuration_proven().and_then(millis),
        }
    }
}

/// Asks for the answer to another node's request for a proof.
#[derive(Message)]
#[rtype(result = "ProofAnswer")]
pub struct GetProof(pub ProofRequest);

impl Handler<GetProof> for FleetState {
    type Result = MessageResult<GetProof>;

    fn handle(&mut self, get: GetProof, _: &mut Context<FleetState>) -> Self::Result {
        MessageResult(self.proof_answer(get.0.number))
    }
}
