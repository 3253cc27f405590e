//! Streams that clients resume after a broken attempt: they go on only at the software version that
//! began them.

use std::time::Duration;

use cometmoor_core::gateway::configuration::RetryPolicy;
use cometmoor_core::gateway::registry::SoftwareHash;
use cometmoor_core::gateway::stream_origins::{ServiceHash, StreamKey};
use cometmoor_core::time::BootInstant;
use spdlog::info;

use super::outcome::{LocalResponse, Refusal};
use super::{ConnectionAction, ForwardedRequest};
use crate::clock;
use crate::dialect::Resumption;
use crate::metrics::StateLabels;
use crate::stream_origins::{Origin, OriginSource};

/// Retry delay if no server of the version is left: a server may be missing from the registry for
/// about as long.
const VERSION_ENDED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Retry delay if nobody knows the version and some nodes have not answered: another node may reach
/// them.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Retry delay if no node knows the version.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Where a stream that a client resumes goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ResumedStream {
    /// The service whose software began it.
    pub(super) service: String,
    /// The software version that began it.
    pub(super) software: SoftwareHash,
}

/// Why a stream cannot be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResumptionError {
    /// The client does not name one attempt.
    Malformed,
    /// The version is not known, or it has no server.
    Refused(Refusal, Duration),
}

impl ForwardedRequest<'_> {
    /// Finds the version at which a stream that the client resumes goes on; `None` for a new
    /// stream.
    pub(super) async fn find_resumed_stream(
        &self,
        service: &str,
    ) -> Result<Option<ResumedStream>, ResumptionError> {
        let resumption = &self.metadata.resumption;
        let is_resumable = self.route.retry_policy == RetryPolicy::ResumableStream;
        if !is_resumable || *resumption == Resumption::None {
            return Ok(None);
        }
        let started = clock::now();
        if *resumption == Resumption::Malformed {
            self.log_resumption("malformed", None, started);
            return Err(ResumptionError::Malformed);
        }
        match self.find_origin(ServiceHash::of(service)).await {
            Origin::Known(software, source) => match self.service_with(software) {
                Some(stream) => {
                    self.log_resumption(source.name(), Some(&stream), started);
                    Ok(Some(stream))
                }
                None => {
                    self.log_resumption("ended", None, started);
                    let refusal = Refusal::NoVersion;
                    Err(ResumptionError::Refused(refusal, VERSION_ENDED_RETRY_AFTER))
                }
            },
            Origin::Unknown { unanswered } => {
                self.log_resumption("unknown", None, started);
                let retry_after = match unanswered {
                    0 => UNKNOWN_RETRY_AFTER,
                    _ => UNANSWERED_RETRY_AFTER,
                };
                Err(ResumptionError::Refused(Refusal::UnknownVersion, retry_after))
            }
        }
    }

    /// Finds the version that began the stream, which the client may have named or not.
    async fn find_origin(&self, service: ServiceHash) -> Origin {
        let origins = &self.traffic.origins;
        let is_unnamed = self.metadata.resumption == Resumption::Unnamed;
        if is_unnamed && let Some(software) = origins.only_version(service) {
            return Origin::Known(software, OriginSource::OnlyVersion);
        }
        match self.stream_key() {
            // Nobody has a record of an unnamed one, but peers may know that there is one version only.
            Some(key) => origins.find(key, service).await,
            None => Origin::Unknown { unanswered: 0 },
        }
    }

    /// Responds to a client that cannot resume its stream.
    pub(super) async fn reject_resumption(&self, error: ResumptionError) -> ConnectionAction {
        match error {
            ResumptionError::Refused(refusal, retry_after) => {
                self.refuse(refusal, retry_after).await
            }
            ResumptionError::Malformed => {
                self.record_end("rejected", "resumption", "malformed");
                self.respond(LocalResponse::malformed()).await
            }
        }
    }

    /// Has nodes record the version that began this stream. Called before the client receives
    /// anything of it.
    pub(super) fn announce_origin(&self, software: SoftwareHash) {
        if self.route.retry_policy != RetryPolicy::ResumableStream {
            return;
        }
        if let Some(key) = self.stream_key() {
            self.traffic.origins.announce(key, software);
        }
    }

    /// Identifies the stream by the attempt that brought its first event; `None` if that attempt
    /// has no name.
    fn stream_key(&self) -> Option<StreamKey> {
        let attempt = match &self.metadata.resumption {
            Resumption::Of(attempt) => attempt,
            _ => &self.metadata.id,
        };
        let tenant = self.tenant_name();
        (!attempt.is_empty()).then(|| StreamKey::of(attempt, tenant.as_deref()))
    }

    /// The service of the route that has a server of the version.
    fn service_with(&self, software: SoftwareHash) -> Option<ResumedStream> {
        let fleet = self.traffic.board.fleet.load();
        let mut table = self.traffic.servers.borrow_mut();
        table.update(&fleet);
        let runs_software = |service: &str| {
            let mut servers = table.of_service(service).iter();
            servers.any(|server| {
                server.accepts_requests() && server.record().software_hash() == software
            })
        };
        let mut services = self.route.targets.iter().map(|target| &target.service);
        let service = services.find(|service| runs_software(service))?.clone();
        Some(ResumedStream { service, software })
    }

    fn log_resumption(
        &self,
        source: &'static str,
        stream: Option<&ResumedStream>,
        started: BootInstant,
    ) {
        let labels = StateLabels { state: source };
        self.traffic.metrics.resumptions.get_or_create(&labels).inc();
        if stream.is_some() && !crate::log::allow_success_line() {
            return;
        }
        let fleet = self.traffic.board.fleet.load();
        let software = stream.and_then(|stream| {
            let mut servers = fleet.servers.iter();
            servers.find(|server| server.software_hash() == stream.software)
        });
        info!("[forward] a client resumes a stream", kv: {
            request = &*self.metadata.id,
            resumes = self.metadata.resumption.name(),
            route = &*self.route.name,
            service = stream.map_or("-", |stream| &*stream.service),
            software = software.map_or("-", |server| &*server.software),
            source,
            lookup_millis = clock::elapsed(started).as_millis() as u64,
            servers_age_millis = fleet.servers_age_millis(),
        });
    }
}
