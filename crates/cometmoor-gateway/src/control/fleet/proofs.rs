//! Proofs that the configuration is the newest in the store, requested from other nodes.

use std::time::Duration;

use actix::{Context, Handler, Message, MessageResult};
use cometmoor_core::gateway::proof::{KnownRestore, PeerProof};
use cometmoor_core::gateway::store_position::StoreEra;
use cometmoor_core::time::BootInstant;

use super::FleetState;
use crate::clock;
use crate::membership::{Message as PeerMessage, OutgoingMessage, ProofAnswer, ProofRequest};
use crate::peer::StorePrefix;

impl FleetState {
    /// The latest time at which the configuration in force is known to have been the newest in
    /// the store. `None` if the newest one is invalid, because it may have revoked keys.
    pub(super) fn configuration_proven(&self) -> Option<BootInstant> {
        self.copies[&StorePrefix::Configuration].proven.filter(|_| self.is_configuration_valid)
    }

    /// The request to another node for a proof, if this node's proof is old or missing and a
    /// request is due.
    pub(super) fn proof_request(&mut self) -> Option<OutgoingMessage> {
        if !self.proof_limits.needs_peer_proof(self.copies[&StorePrefix::Configuration].proof_age())
        {
            return None;
        }
        let sources = self.peers.proof_sources();
        let (number, index) = self.proof_requests.next_request(sources.len(), clock::now())?;
        let from = self.context.settings.peer_address;
        let message = PeerMessage::ProofRequest(ProofRequest { from, number });
        Some(OutgoingMessage { message, targets: vec![sources[index]] })
    }

    /// Handles a peer's answer to a request for a proof.
    pub(super) fn handle_proof_answer(&mut self, answer: &ProofAnswer) {
        let proof = PeerProof {
            version: answer.configuration,
            age: answer.age_millis.map(|millis| Duration::from_millis(millis.into())),
        };
        let own_version = self.configuration.version();
        let at = self.proof_requests.handle_answer(answer.number, proof, own_version);
        if let Some(at) = at {
            self.context.store.eras().note_peer_era(answer.era);
            self.record_proof(StorePrefix::Configuration, answer.era, at);
        }
    }

    /// Records that the store held nothing newer than a copy at `at`, by an answer in `era`, and
    /// publishes that to the traffic thread. Only the configuration needs proofs.
    pub(super) fn record_proof(&mut self, prefix: StorePrefix, era: StoreEra, at: BootInstant) {
        if prefix == StorePrefix::Configuration {
            if self.allows_proof(era, at) {
                self.copy(prefix).record_proof(Some(at));
            }
            self.publish();
        }
    }

    /// Whether an answer of the store in `era` proves that the configuration in force was the
    /// newest at `at`.
    fn allows_proof(&self, era: StoreEra, at: BootInstant) -> bool {
        let restore = self.context.store.eras().latest_restore();
        let copy = &self.copies[&StorePrefix::Configuration];
        let Some(item) = copy.mirror.items.get(self.context.dialect.configuration_key()) else {
            return false;
        };
        let allows_proof =
            |restore: KnownRestore| restore.allows_proof(era, at, copy.is_rewritten(item));
        !item.is_lost && restore.is_none_or(allows_proof)
    }

    /// Time left until a new proof has to be requested from the store; `None` if there is no
    /// bound on the revocation of keys, or if an answer of the store could not prove anything
    /// now.
    pub(super) fn time_until_proof_refresh(&self) -> Option<Duration> {
        let era = self.copies[&StorePrefix::Configuration].mirror.position.era;
        if !self.allows_proof(era, clock::now()) {
            return None;
        }
        self.proof_limits.time_until_refresh(self.copies[&StorePrefix::Configuration].proof_age())
    }

    fn proof_answer(&self, number: u64) -> ProofAnswer {
        // Rounded up: a reported age may be too great, but never too small.
        let age_millis = |at| u32::try_from(clock::elapsed(at).as_millis() + 1).ok();
        ProofAnswer {
            number,
            configuration: self.configuration.version(),
            era: self.copies[&StorePrefix::Configuration].mirror.position.era,
            age_millis: self.configuration_proven().and_then(age_millis),
        }
    }
}

/// Requests the answer to another node's request for a proof.
#[derive(Message)]
#[rtype(result = "ProofAnswer")]
pub struct GetProof(pub ProofRequest);

impl Handler<GetProof> for FleetState {
    type Result = MessageResult<GetProof>;

    fn handle(&mut self, get: GetProof, _: &mut Context<FleetState>) -> Self::Result {
        MessageResult(self.proof_answer(get.0.number))
    }
}
