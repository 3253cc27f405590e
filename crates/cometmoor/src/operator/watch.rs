//! The operators' watch: accepted changes as they come into force here.

use actix::Addr;
use actix_web::{HttpResponse, web};
use bytes::Bytes;
use cometmoor_core::configuration::{Change, Update};
use cometmoor_protocol::resource::{Resource, ResourceKey};
use futures::stream;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::state::OperatorState;
use crate::control::configuration::{ConfigurationActor, UpdateSince};
use crate::traffic::error::RequestError;

/// Query of a watch.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WatchQuery {
    /// Changes after this version are delivered; 0 starts from nothing.
    #[serde(default)]
    from: u64,
}

/// One line of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "type", rename_all = "camelCase")]
pub enum WatchLine {
    /// A resource was written.
    Put {
        /// Generation of the configuration.
        generation: u64,
        /// The resource.
        resource: Resource,
    },
    /// A resource was deleted.
    Delete {
        /// Generation of the configuration.
        generation: u64,
        /// The resource.
        key: ResourceKey,
    },
    /// The requested version is too old to tell single changes: every
    /// resource follows, and those that do not are deleted.
    Reset {
        /// Generation of the configuration.
        generation: u64,
    },
}

/// `GET /api/v1/watch`: JSON lines until the client goes away.
pub async fn watch(
    state: web::Data<OperatorState>,
    query: web::Query<WatchQuery>,
) -> Result<HttpResponse, RequestError> {
    let reader = WatchReader {
        configuration: state.configuration.clone(),
        generations: state.generations.clone(),
        after: query.from,
    };
    let lines = stream::unfold(reader, |mut reader| async move {
        let lines = reader.next().await?;
        Some((Ok::<Bytes, RequestError>(lines), reader))
    });
    Ok(HttpResponse::Ok().content_type("application/x-ndjson").streaming(Box::pin(lines)))
}

struct WatchReader {
    configuration: Addr<ConfigurationActor>,
    generations: tokio::sync::watch::Receiver<u64>,
    after: u64,
}

impl WatchReader {
    async fn next(&mut self) -> Option<Bytes> {
        let after = self.after;
        self.generations.wait_for(|generation| *generation > after).await.ok()?;
        let update = self.configuration.send(UpdateSince(after)).await.ok()??;
        let lines = lines_of(update);
        self.after = lines.iter().map(WatchLine::generation).max().unwrap_or(after);
        let texts = lines.iter().filter_map(|line| serde_json::to_string(line).ok());
        Some(Bytes::from(texts.map(|text| text + "\n").collect::<String>()))
    }
}

impl WatchLine {
    fn generation(&self) -> u64 {
        match self {
            WatchLine::Put { generation, .. }
            | WatchLine::Delete { generation, .. }
            | WatchLine::Reset { generation } => *generation,
        }
    }
}

fn lines_of(update: Update) -> Vec<WatchLine> {
    match update {
        Update::Changes { changes, .. } => changes.into_iter().map(line_of).collect(),
        Update::Full { generation, resources } => {
            let puts = resources
                .iter()
                .map(|resource| WatchLine::Put { generation, resource: resource.as_ref().clone() });
            std::iter::once(WatchLine::Reset { generation }).chain(puts).collect()
        }
    }
}

fn line_of(change: Change) -> WatchLine {
    let Change { generation, key, resource } = change;
    match resource {
        Some(resource) => WatchLine::Put { generation, resource: resource.as_ref().clone() },
        None => WatchLine::Delete { generation, key },
    }
}
