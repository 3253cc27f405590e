//! The quickstart: a whole system on loopback, with requests of every kind.
//!
//! Nodes, engines and the platform run in this one process.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use cometmoor_protocol::resource::Resource;
use futures::StreamExt;
use futures::stream;

use crate::client::{CallEnd, CallReport, Caller, ChatCall};
use crate::cluster::{Cluster, NodeKind, OPERATOR_KEY};
use crate::sample::{GIB, adapter, engine, group, model, service};
use crate::stand_in::engine::EngineStandIn;
use crate::stand_in::engine_state::EngineConfig;
use crate::stand_in::service::ServiceStandIn;
use crate::summary::Percentiles;

const NODES: u8 = 3;
const ENGINES: usize = 4;
const ENGINE_GIB: u64 = 24;
const MODELS: usize = 8;
const ADAPTERS: usize = 10;
const GROUP_KEYS: [&str; 2] = ["key-of-dispatch", "key-of-claims"];
/// Requests of each kind.
const REQUESTS: usize = 120;
/// Requests at the same time.
const CONCURRENCY: usize = 16;
const TOKENS: u32 = 40;
/// Time for the first placement.
const PLACEMENT: Duration = Duration::from_secs(60);

/// Runs the quickstart; fails unless everything holds.
pub fn main(keep: bool) -> ExitCode {
    cometmoor::telemetry::log::start(spdlog::Level::Warn);
    match actix_rt::System::new().block_on(run(keep)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

struct Sample {
    cluster: Cluster,
    engines: Vec<EngineStandIn>,
    service: ServiceStandIn,
}

async fn run(keep: bool) -> Result<bool, String> {
    let sample = start().await?;
    let streamed = send(&sample, |index| ChatCall { stream: true, ..call(index, "streamed") });
    let streamed = streamed.await?;
    let whole = send(&sample, |index| ChatCall { stream: false, ..call(index, "whole") }).await?;
    let marked = send_marked(&sample).await?;
    let holds = print_results(&sample, &streamed, &whole, &marked);
    if keep {
        print_commands(&sample);
        // Ends with the process.
        std::future::pending::<()>().await;
    }
    Ok(holds)
}

async fn start() -> Result<Sample, String> {
    let failed = |error: std::io::Error| error.to_string();
    let engines: Vec<EngineStandIn> = (0..ENGINES)
        .map(|index| EngineStandIn::start(engine_config(index % 2 == 0)))
        .collect::<Result<_, _>>()
        .map_err(failed)?;
    let service = ServiceStandIn::start().map_err(failed)?;
    let cluster = Cluster::start(NODES, &NodeKind::Thread, |_| {}).map_err(failed)?;
    let started = Instant::now();
    let resources = declarations(&engines, &service);
    cluster.apply(&resources).await?;
    cluster.wait_reachable(PLACEMENT).await?;
    println!(
        "{} resources declared, all models and adapters reachable after {:.1} s",
        resources.len(),
        started.elapsed().as_secs_f64()
    );
    Ok(Sample { cluster, engines, service })
}

fn engine_config(checks_fences: bool) -> EngineConfig {
    EngineConfig {
        capacity_bytes: ENGINE_GIB * GIB,
        checks_fences,
        first_token: Duration::from_millis(20),
        token_interval: Duration::from_millis(5),
        batch_slowdown: 0.01,
        max_running: 32,
        load_time: Duration::from_millis(100),
    }
}

fn declarations(engines: &[EngineStandIn], booking: &ServiceStandIn) -> Vec<Resource> {
    let mut all = Vec::new();
    for (index, stand_in) in engines.iter().enumerate() {
        let zone = format!("z{}", index % 3 + 1);
        let name = format!("engine-{index}");
        all.push(engine(&name, stand_in.address(), &zone, ENGINE_GIB, index % 2 == 0));
    }
    for index in 0..MODELS {
        all.push(model(&format!("model-{index}"), "v1", 4, 1 + u32::from(index % 4 == 0)));
    }
    for index in 0..ADAPTERS {
        let base = format!("model-{}", index % MODELS);
        all.push(adapter(&format!("adapter-{index}"), &base, GIB / 4));
    }
    for (index, key) in GROUP_KEYS.iter().enumerate() {
        all.push(group(&format!("group-{index}"), 1 + index as u32, key));
    }
    all.push(service("booking", booking.address()));
    all
}

fn call(index: usize, kind: &str) -> ChatCall {
    let target = index % (MODELS + ADAPTERS);
    let model = if target < MODELS {
        format!("model-{target}")
    } else {
        format!("adapter-{}", target - MODELS)
    };
    ChatCall::streamed(&model, &format!("{kind} request {index}"), TOKENS)
}

/// Sends requests through the directory, some at the same time.
async fn send(
    sample: &Sample,
    make: impl Fn(usize) -> ChatCall,
) -> Result<Vec<CallReport>, String> {
    let addresses = sample.cluster.client_addresses();
    let callers = GROUP_KEYS.map(Caller::new);
    let requests = (0..REQUESTS).map(|index| {
        let call = make(index);
        let caller = callers[index % callers.len()].clone();
        let addresses = &addresses;
        async move {
            let answer = caller.directory(addresses, &call.model).await?;
            let target = &answer.addresses[index % answer.addresses.len()];
            Ok(caller.chat(&target.address, &call).await)
        }
    });
    let results: Vec<Result<CallReport, String>> =
        stream::iter(requests).buffer_unordered(CONCURRENCY).collect().await;
    results.into_iter().collect()
}

/// A request with a key, sent twice at once: to its issuer and to another.
struct MarkedResult {
    both_whole: bool,
    runs: u32,
}

async fn send_marked(sample: &Sample) -> Result<Vec<MarkedResult>, String> {
    let addresses = sample.cluster.client_addresses();
    let caller = Caller::new(GROUP_KEYS[0]);
    let mut results = Vec::new();
    for index in 0..REQUESTS / 4 {
        let mut call = call(index, "marked");
        let answer = caller.directory(&addresses, &call.model).await?;
        let prefix = answer.idempotency_key_prefix.ok_or("the directory gave no key prefix")?;
        call.key = Some(format!("{prefix}quickstart-{index}"));
        let other = addresses.iter().find(|address| **address != answer.idempotency_address);
        let other = other.ok_or("there is only one node")?;
        let (first, second) = futures::join!(
            caller.chat(&answer.idempotency_address, &call),
            caller.chat(other, &call)
        );
        results.push(MarkedResult {
            both_whole: first.end == CallEnd::Whole && second.end == CallEnd::Whole,
            runs: runs(sample, &call.prompt()),
        });
        let body = format!("ride {index}");
        let key = format!("{prefix}ride-{index}");
        let path = "booking/rides";
        let (first, second) = futures::join!(
            caller.service(&answer.idempotency_address, path, &body, Some(&key)),
            caller.service(other, path, &body, Some(&key))
        );
        results.push(MarkedResult {
            both_whole: first.is_ok() && second.is_ok(),
            runs: sample.service.runs().get(&body).copied().unwrap_or(0),
        });
    }
    Ok(results)
}

fn runs(sample: &Sample, prompt: &str) -> u32 {
    let records = sample.engines.iter().map(|engine| engine.state.record());
    records.filter_map(|record| record.runs.get(prompt).copied()).sum()
}

fn print_results(
    sample: &Sample,
    streamed: &[CallReport],
    whole: &[CallReport],
    marked: &[MarkedResult],
) -> bool {
    let count_whole =
        |reports: &[CallReport]| reports.iter().filter(|r| r.end == CallEnd::Whole).count();
    let first_tokens = Percentiles::of(streamed.iter().filter_map(|r| r.first_token));
    let gaps = Percentiles::of(streamed.iter().flat_map(|r| r.token_gaps.iter().copied()));
    let once = marked.iter().filter(|result| result.runs == 1 && result.both_whole).count();
    println!("streamed: {} requests, {} whole", streamed.len(), count_whole(streamed));
    println!("  first token: {first_tokens}");
    println!("  between tokens: {gaps}");
    println!("not streamed: {} requests, {} whole", whole.len(), count_whole(whole));
    println!(
        "marked, each sent to two nodes at once: {}, answered twice and run once: {once}",
        marked.len()
    );
    let mut within = true;
    for (index, engine) in sample.engines.iter().enumerate() {
        let record = engine.state.record();
        within &= record.overcommits == 0;
        println!(
            "engine-{index}: at most {:.2} of {ENGINE_GIB} GiB, {} overcommits, {} loads",
            record.peak_bytes as f64 / GIB as f64,
            record.overcommits,
            record.loads
        );
    }
    let holds = within
        && count_whole(streamed) == streamed.len()
        && count_whole(whole) == whole.len()
        && once == marked.len();
    println!("{}", if holds { "all holds" } else { "something does not hold" });
    holds
}

fn print_commands(sample: &Sample) {
    let client = &sample.cluster.client_addresses()[0];
    let servers = sample.cluster.operator_addresses().join(",");
    println!("\nThe system stays up until you stop this process. Try:\n");
    println!(
        "curl -N http://{client}/v1/chat/completions -H 'authorization: Bearer {}' \\\n  \
         -d '{{\"model\":\"model-0\",\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}],\
         \"max_tokens\":20,\"stream\":true}}'",
        GROUP_KEYS[0]
    );
    println!(
        "COMETMOOR_SERVERS={servers} COMETMOOR_OPERATOR_KEY={OPERATOR_KEY} \
         cargo run --release -p cometmoor -- get models"
    );
}
