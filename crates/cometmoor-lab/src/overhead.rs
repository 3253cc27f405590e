//! What a node adds to an engine's answer: the same load straight to a
//! stand-in engine and through a node, in one run.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use cometmoor::engine::http::EngineClient;
use cometmoor_core::catalog::base_artifact;
use cometmoor_protocol::engine::{CompletionRequest, Fence, Order, OrderAction, RaiseFence};
use futures::StreamExt;
use futures::stream;
use serde::Serialize;

use crate::client::{CallEnd, Caller, ChatCall};
use crate::cluster::{Cluster, NodeKind};
use crate::memory::resident_bytes;
use crate::sample::{GIB, engine_for, group, model};
use crate::stand_in::engine::EngineStandIn;
use crate::stand_in::engine_state::EngineConfig;
use crate::summary::Percentiles;

const GROUP_KEY: &str = "key-of-overhead";
const MODEL: &str = "model";
const TOKENS: u32 = 50;
/// Requests of the latency load.
const REQUESTS: usize = 600;
/// Concurrency of the latency load.
const CONCURRENCY: usize = 8;
/// Requests and concurrency of the throughput load, which has no pauses
/// between tokens.
const THROUGHPUT_REQUESTS: usize = 400;
const THROUGHPUT_CONCURRENCY: usize = 32;
const THROUGHPUT_TOKENS: u32 = 400;
/// Streams that are open at the same time when memory is measured.
const OPEN_STREAMS: usize = 1_000;
/// Directory requests.
const DIRECTORY_REQUESTS: usize = 5_000;
/// Time for the first placement.
const PLACEMENT: Duration = Duration::from_secs(30);
/// Time for an order or a completion to be taken.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(5);

/// Figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Overhead {
    /// First token straight from the engine.
    pub direct_first_token: Percentiles,
    /// First token through a node.
    pub node_first_token: Percentiles,
    /// Time between tokens straight from the engine.
    pub direct_token_interval: Percentiles,
    /// Time between tokens through a node.
    pub node_token_interval: Percentiles,
    /// Median added to the first token, in milliseconds.
    pub added_first_token_p50_ms: f64,
    /// 99th percentile added to the first token, in milliseconds.
    pub added_first_token_p99_ms: f64,
    /// 99th percentile added between tokens, in milliseconds.
    pub added_token_interval_p99_ms: f64,
    /// Tokens a second straight from the engine, without pauses.
    pub direct_tokens_per_second: f64,
    /// Tokens a second through one traffic thread, without pauses.
    pub node_tokens_per_second: f64,
    /// The second as a share of the first.
    pub throughput_share: f64,
    /// Memory of the node's process for each open stream, in bytes.
    pub bytes_per_open_stream: f64,
    /// Directory requests a second at one traffic thread.
    pub directory_requests_per_second: f64,
}

/// Measures and prints.
pub fn main(json: bool) -> ExitCode {
    cometmoor::telemetry::log::start(spdlog::Level::Warn);
    let measured = actix_rt::System::new().block_on(measure());
    match measured {
        Ok(overhead) => {
            if json {
                println!("{}", serde_json::to_string_pretty(&overhead).unwrap_or_default());
            } else {
                println!("{overhead:#?}");
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn engine_config(first_token: Duration, token_interval: Duration) -> EngineConfig {
    EngineConfig {
        capacity_bytes: 16 * GIB,
        checks_fences: true,
        first_token,
        token_interval,
        batch_slowdown: 0.0,
        max_running: 4 * OPEN_STREAMS,
        load_time: Duration::ZERO,
    }
}

/// An engine with and one without a node before it.
struct Pair {
    cluster: Cluster,
    behind_node: EngineStandIn,
    direct: EngineStandIn,
}

async fn measure() -> Result<Overhead, String> {
    let paced = start(Duration::from_millis(20), Duration::from_millis(5)).await?;
    let (direct_first, direct_gaps) = latency_direct(&paced).await?;
    let (node_first, node_gaps) = latency_through_node(&paced).await?;
    let bytes_per_open_stream = memory_of_streams(&paced).await?;
    let directory_requests_per_second = directory_rate(&paced).await?;
    drop(paced);
    let unpaced = start(Duration::ZERO, Duration::ZERO).await?;
    let direct_tokens_per_second = throughput_direct(&unpaced).await?;
    let node_tokens_per_second = throughput_through_node(&unpaced).await?;
    Ok(Overhead {
        added_first_token_p50_ms: node_first.p50_ms - direct_first.p50_ms,
        added_first_token_p99_ms: node_first.p99_ms - direct_first.p99_ms,
        added_token_interval_p99_ms: node_gaps.p99_ms - direct_gaps.p99_ms,
        direct_first_token: direct_first,
        node_first_token: node_first,
        direct_token_interval: direct_gaps,
        node_token_interval: node_gaps,
        throughput_share: node_tokens_per_second / direct_tokens_per_second,
        direct_tokens_per_second,
        node_tokens_per_second,
        bytes_per_open_stream,
        directory_requests_per_second,
    })
}

async fn start(first_token: Duration, token_interval: Duration) -> Result<Pair, String> {
    let failed = |error: std::io::Error| error.to_string();
    let config = engine_config(first_token, token_interval);
    let behind_node = EngineStandIn::start(config).map_err(failed)?;
    let direct = EngineStandIn::start(config).map_err(failed)?;
    load_directly(&direct).await?;
    let program = std::env::current_exe().map_err(failed)?;
    let cluster = Cluster::start(1, &NodeKind::Process(program), |settings| {
        settings.limits.waiting_per_model = 2 * OPEN_STREAMS;
        settings.limits.waiting_per_group = 2 * OPEN_STREAMS;
    })
    .map_err(failed)?;
    let engine = engine_for("engine", behind_node.address(), 4 * OPEN_STREAMS as u32);
    let declarations = [engine, model(MODEL, "v1", 4, 1), group("group", 1, GROUP_KEY)];
    cluster.apply(&declarations).await?;
    cluster.wait_reachable(PLACEMENT).await?;
    Ok(Pair { cluster, behind_node, direct })
}

async fn load_directly(engine: &EngineStandIn) -> Result<(), String> {
    let client = EngineClient::new(ENGINE_TIMEOUT);
    let address = engine.address().to_string();
    let fence = Fence { epoch: 1, sequence: 1 };
    let inventory = client
        .raise_fence(&address, &RaiseFence { fence }, ENGINE_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    let order = Order {
        incarnation: inventory.incarnation,
        fence: Fence { epoch: 1, sequence: 2 },
        action: OrderAction::Load { artifact: base_artifact(MODEL, "v1"), bytes: 4 * GIB },
    };
    client.order(&address, &order, ENGINE_TIMEOUT).await.map_err(|error| error.to_string())?;
    Ok(())
}

/// Times of one stream.
#[derive(Default)]
struct StreamTimes {
    first_token: Option<Duration>,
    gaps: Vec<Duration>,
    tokens: u64,
}

async fn stream_direct(
    engine: &EngineStandIn,
    index: usize,
    tokens: u32,
) -> Result<StreamTimes, String> {
    let client = EngineClient::new(ENGINE_TIMEOUT);
    let request = CompletionRequest {
        request_id: format!("direct-{index}-{tokens}"),
        artifact: base_artifact(MODEL, "v1"),
        prompt: format!("direct request {index}"),
        max_tokens: tokens,
        priority: 0,
        resume_from: 0,
        parameters: serde_json::Map::new(),
    };
    let started = Instant::now();
    let address = engine.address().to_string();
    let mut parts = client
        .complete(&address, &request, None, ENGINE_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    let mut times = StreamTimes::default();
    let mut last = started;
    while let Some(part) = parts.next().await {
        part.map_err(|error| error.to_string())?;
        let now = Instant::now();
        match times.first_token {
            None => times.first_token = Some(now - started),
            Some(_) => times.gaps.push(now - last),
        }
        last = now;
        times.tokens += 1;
    }
    Ok(times)
}

async fn stream_through_node(
    pair: &Pair,
    caller: &Caller,
    index: usize,
    tokens: u32,
) -> Result<StreamTimes, String> {
    let address = pair.cluster.nodes[0].settings.client_address.to_string();
    let call = ChatCall::streamed(MODEL, &format!("request {index} of {tokens}"), tokens);
    let report = caller.chat(&address, &call).await;
    if report.end != CallEnd::Whole {
        return Err(format!("{:?}", report.end));
    }
    Ok(StreamTimes {
        tokens: 1 + report.token_gaps.len() as u64,
        first_token: report.first_token,
        gaps: report.token_gaps,
    })
}

fn percentiles(times: &[StreamTimes]) -> (Percentiles, Percentiles) {
    let first = Percentiles::of(times.iter().filter_map(|times| times.first_token));
    let gaps = Percentiles::of(times.iter().flat_map(|times| times.gaps.iter().copied()));
    (first, gaps)
}

async fn collect<Streams>(streams: Streams, concurrency: usize) -> Result<Vec<StreamTimes>, String>
where
    Streams: IntoIterator,
    Streams::Item: Future<Output = Result<StreamTimes, String>>,
{
    let results: Vec<Result<StreamTimes, String>> =
        stream::iter(streams).buffer_unordered(concurrency).collect().await;
    results.into_iter().collect()
}

async fn latency_direct(pair: &Pair) -> Result<(Percentiles, Percentiles), String> {
    let streams = (0..REQUESTS).map(|index| stream_direct(&pair.direct, index, TOKENS));
    Ok(percentiles(&collect(streams, CONCURRENCY).await?))
}

async fn latency_through_node(pair: &Pair) -> Result<(Percentiles, Percentiles), String> {
    let caller = Caller::new(GROUP_KEY);
    let streams = (0..REQUESTS).map(|index| stream_through_node(pair, &caller, index, TOKENS));
    Ok(percentiles(&collect(streams, CONCURRENCY).await?))
}

fn tokens_per_second(times: &[StreamTimes], elapsed: Duration) -> f64 {
    let tokens: u64 = times.iter().map(|times| times.tokens).sum();
    tokens as f64 / elapsed.as_secs_f64()
}

async fn throughput_direct(pair: &Pair) -> Result<f64, String> {
    let started = Instant::now();
    let streams =
        (0..THROUGHPUT_REQUESTS).map(|index| stream_direct(&pair.direct, index, THROUGHPUT_TOKENS));
    let times = collect(streams, THROUGHPUT_CONCURRENCY).await?;
    Ok(tokens_per_second(&times, started.elapsed()))
}

async fn throughput_through_node(pair: &Pair) -> Result<f64, String> {
    let caller = Caller::new(GROUP_KEY);
    let started = Instant::now();
    let streams = (0..THROUGHPUT_REQUESTS)
        .map(|index| stream_through_node(pair, &caller, index, THROUGHPUT_TOKENS));
    let times = collect(streams, THROUGHPUT_CONCURRENCY).await?;
    Ok(tokens_per_second(&times, started.elapsed()))
}

/// Memory of the node while many streams are open, over that with none.
async fn memory_of_streams(pair: &Pair) -> Result<f64, String> {
    let node = pair.cluster.nodes[0].process_id().ok_or("the node is no process")?;
    let caller = Caller::new(GROUP_KEY);
    let before = resident_bytes(node)?;
    let streams = (0..OPEN_STREAMS)
        .map(|index| stream_through_node(pair, &caller, REQUESTS + index, 10 * TOKENS));
    let open = collect(streams, OPEN_STREAMS);
    let sample = async {
        let mut most = before;
        let mut running = 0;
        for _ in 0..40 {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            running = running.max(pair.behind_node.state.inventory().running);
            most = most.max(resident_bytes(node).unwrap_or(0));
        }
        (most, running)
    };
    let (streams, (most, running)) = futures::join!(open, sample);
    streams?;
    if running == 0 {
        return Err("no stream was open".to_owned());
    }
    Ok(most.saturating_sub(before) as f64 / f64::from(running))
}

async fn directory_rate(pair: &Pair) -> Result<f64, String> {
    let caller = Caller::new(GROUP_KEY);
    let addresses = pair.cluster.client_addresses();
    let started = Instant::now();
    let requests = (0..DIRECTORY_REQUESTS).map(|_| caller.directory(&addresses, MODEL));
    let answers: Vec<_> = stream::iter(requests).buffer_unordered(CONCURRENCY).collect().await;
    for answer in answers {
        answer?;
    }
    Ok(DIRECTORY_REQUESTS as f64 / started.elapsed().as_secs_f64())
}
