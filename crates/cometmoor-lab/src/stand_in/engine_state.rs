//! The engine stand-in's memory, fence, and running generations.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cometmoor_protocol::engine::{
    Artifact, CompletionChunk, CompletionRequest, Fence, Inventory, Order, OrderAction,
    RefusalReason, Resident, ResidentState,
};
use sha2::{Digest, Sha256};
use tokio::sync::watch;

/// Starts every generated token, so that a prompt can be told from text that
/// was generated earlier.
pub const TOKEN_MARK: char = '§';

/// What kind of engine it is.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// Memory for artifacts, in bytes.
    pub capacity_bytes: u64,
    /// Whether orders are checked against the fence.
    pub checks_fences: bool,
    /// Time to the first token with an empty batch.
    pub first_token: Duration,
    /// Time between tokens with an empty batch.
    pub token_interval: Duration,
    /// Share by which each further request in the batch slows a token.
    pub batch_slowdown: f64,
    /// Requests generated at the same time; more are refused.
    pub max_running: usize,
    /// Time to load an artifact.
    pub load_time: Duration,
}

impl EngineConfig {
    /// An engine that answers and loads fast, for tests.
    pub fn quick(capacity_bytes: u64, checks_fences: bool) -> EngineConfig {
        EngineConfig {
            capacity_bytes,
            checks_fences,
            first_token: Duration::from_millis(5),
            token_interval: Duration::from_millis(1),
            batch_slowdown: 0.0,
            max_running: 64,
            load_time: Duration::from_millis(10),
        }
    }
}

/// How the engine misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineFault {
    /// It does not.
    #[default]
    None,
    /// Orders are dropped without an answer.
    LostOrders,
    /// Orders take effect after a delay; their answers are lost.
    LateOrders(Duration),
    /// Orders take effect twice, the second time after a delay.
    DoubledOrders(Duration),
    /// Streams break after this many tokens; they can be resumed.
    CutStreams(u64),
    /// Pairs of tokens are sent in the wrong order. None is sent twice: the
    /// excess would be noticed before the disorder.
    DisorderedStreams,
    /// Nothing is answered.
    Frozen,
    /// Completions are answered with something else.
    Nonsense,
    /// Completions go on after their last token.
    Endless,
}

/// The running or finished generation of one request.
pub struct Generating {
    /// Parts so far.
    pub chunks: Mutex<Vec<CompletionChunk>>,
    /// Grows with every part.
    pub grown: watch::Sender<usize>,
    /// Set when nobody wants it any more.
    pub cancelled: AtomicBool,
    artifact: Artifact,
}

/// What the engine records, to catch a wrong node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineRecord {
    /// Moments at which more memory was occupied than there is.
    pub overcommits: u64,
    /// Most memory occupied, in bytes.
    pub peak_bytes: u64,
    /// Runs by prompt; a continuation elsewhere counts as a run there.
    pub runs: HashMap<String, u32>,
    /// Requests taken after the engine had been leaving for the grace period.
    pub requests_while_leaving: u64,
    /// Loads that took effect.
    pub loads: u64,
    /// Unloads that took effect.
    pub unloads: u64,
    /// Requests cancelled.
    pub cancelled: u64,
}

struct ResidentArtifact {
    bytes: u64,
    ready_at: Instant,
    unloading: bool,
}

struct Data {
    incarnation: u64,
    fence: Fence,
    resident: BTreeMap<Artifact, ResidentArtifact>,
    generations: HashMap<String, Arc<Generating>>,
    leaving_since: Option<Instant>,
    fault: EngineFault,
    record: EngineRecord,
}

/// State of an engine stand-in.
pub struct EngineState {
    /// Kind of the engine.
    pub config: EngineConfig,
    data: Mutex<Data>,
}

impl EngineState {
    /// An engine that has just started.
    pub fn new(config: EngineConfig) -> EngineState {
        let data = Data {
            incarnation: rand::random(),
            fence: Fence::default(),
            resident: BTreeMap::new(),
            generations: HashMap::new(),
            leaving_since: None,
            fault: EngineFault::None,
            record: EngineRecord::default(),
        };
        EngineState { config, data: Mutex::new(data) }
    }

    fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the engine has recorded.
    pub fn record(&self) -> EngineRecord {
        self.data().record.clone()
    }

    /// How it misbehaves now.
    pub fn fault(&self) -> EngineFault {
        self.data().fault
    }

    /// Makes it misbehave, or behave again.
    pub fn set_fault(&self, fault: EngineFault) {
        self.data().fault = fault;
    }

    /// Announces that the engine is leaving, or that it stays after all.
    pub fn set_leaving(&self, leaving: bool) {
        self.data().leaving_since = leaving.then(Instant::now);
    }

    /// Restarts it empty, under the same address.
    pub fn restart(&self) {
        let mut data = self.data();
        data.incarnation = rand::random();
        data.fence = Fence::default();
        data.resident.clear();
        for generating in data.generations.values() {
            generating.cancelled.store(true, Ordering::Relaxed);
        }
        data.generations.clear();
    }

    /// Memory occupied, in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.data().used_bytes()
    }

    /// The report.
    pub fn inventory(&self) -> Inventory {
        let mut data = self.data();
        data.finish_unloads();
        let now = Instant::now();
        let resident = data.resident.iter().map(|(artifact, resident)| Resident {
            artifact: artifact.clone(),
            bytes: resident.bytes,
            state: resident.state(now),
        });
        Inventory {
            incarnation: data.incarnation,
            fence: data.fence,
            resident: resident.collect(),
            running: u32::try_from(data.running()).unwrap_or(u32::MAX),
            waiting: 0,
            leaving: data.leaving_since.is_some(),
        }
    }

    /// Raises the fence, where fences are checked.
    pub fn raise_fence(&self, fence: Fence) -> Result<(), RefusalReason> {
        if !self.config.checks_fences {
            return Ok(());
        }
        let mut data = self.data();
        if fence <= data.fence {
            return Err(RefusalReason::StaleFence);
        }
        data.fence = fence;
        Ok(())
    }

    /// Carries out an order.
    pub fn apply(&self, order: &Order) -> Result<(), RefusalReason> {
        let mut data = self.data();
        if self.config.checks_fences {
            if order.incarnation != data.incarnation {
                return Err(RefusalReason::StaleIncarnation);
            }
            if order.fence <= data.fence {
                return Err(RefusalReason::StaleFence);
            }
            data.fence = order.fence;
        }
        data.finish_unloads();
        match &order.action {
            OrderAction::Load { artifact, bytes } => {
                let ready_at = Instant::now() + self.config.load_time;
                data.load(artifact, *bytes, ready_at);
            }
            OrderAction::Unload { artifact } => data.unload(artifact),
        }
        let used = data.used_bytes();
        data.record.peak_bytes = data.record.peak_bytes.max(used);
        if used > self.config.capacity_bytes {
            data.record.overcommits += 1;
        }
        Ok(())
    }

    /// Starts a generation, or finds the one to resume. A new one is to be
    /// driven by [`EngineState::generate`].
    pub fn begin(
        &self,
        request: &CompletionRequest,
        leaving_grace: Duration,
    ) -> Result<(Arc<Generating>, bool), RefusalReason> {
        let mut data = self.data();
        if let Some(generating) = data.generations.get(&request.request_id) {
            return Ok((generating.clone(), false));
        }
        if request.resume_from > 0 {
            return Err(RefusalReason::UnknownRequest);
        }
        if let Some(since) = data.leaving_since {
            if since.elapsed() > leaving_grace {
                data.record.requests_while_leaving += 1;
            }
            return Err(RefusalReason::Leaving);
        }
        data.check_ready(&request.artifact)?;
        if data.running() >= self.config.max_running {
            return Err(RefusalReason::Overloaded);
        }
        let (root, _) = split_prompt(&request.prompt);
        *data.record.runs.entry(root.to_owned()).or_insert(0) += 1;
        let generating = Arc::new(Generating {
            chunks: Mutex::default(),
            grown: watch::Sender::new(0),
            cancelled: AtomicBool::new(false),
            artifact: request.artifact.clone(),
        });
        data.generations.insert(request.request_id.clone(), generating.clone());
        Ok((generating, true))
    }

    /// Generates the answer token by token.
    pub async fn generate(&self, request: CompletionRequest, generating: Arc<Generating>) {
        let (root, generated) = split_prompt(&request.prompt);
        let first = next_token_number(generated);
        actix_rt::time::sleep(self.slowed(self.config.first_token)).await;
        for offset in 0..u64::from(request.max_tokens) {
            if offset > 0 {
                actix_rt::time::sleep(self.slowed(self.config.token_interval)).await;
            }
            if generating.cancelled.load(Ordering::Relaxed) {
                return;
            }
            let is_last = offset + 1 == u64::from(request.max_tokens);
            generating.push(CompletionChunk {
                index: offset,
                text: token_text(root, first + offset),
                finish_reason: is_last.then(|| "length".to_owned()),
            });
        }
    }

    /// The time of a step, slowed by what else is in the batch.
    fn slowed(&self, step: Duration) -> Duration {
        let others = self.data().running().saturating_sub(1);
        step.mul_f64(1.0 + self.config.batch_slowdown * others as f64)
    }

    /// Cancels a generation.
    pub fn cancel(&self, request_id: &str) {
        let mut data = self.data();
        let generating = data.generations.get(request_id);
        let running = generating.filter(|generating| generating.is_running());
        if let Some(generating) = running {
            generating.cancelled.store(true, Ordering::Relaxed);
            data.record.cancelled += 1;
        }
    }
}

impl ResidentArtifact {
    fn state(&self, now: Instant) -> ResidentState {
        if self.unloading {
            ResidentState::Unloading
        } else if now < self.ready_at {
            ResidentState::Loading
        } else {
            ResidentState::Ready
        }
    }
}

impl Data {
    fn used_bytes(&self) -> u64 {
        self.resident.values().map(|resident| resident.bytes).sum()
    }

    fn running(&self) -> usize {
        self.generations.values().filter(|generating| generating.is_running()).count()
    }

    fn load(&mut self, artifact: &Artifact, bytes: u64, ready_at: Instant) {
        if let Some(resident) = self.resident.get_mut(artifact) {
            if resident.unloading {
                resident.unloading = false;
            }
            return;
        }
        let resident = ResidentArtifact { bytes, ready_at, unloading: false };
        self.resident.insert(artifact.clone(), resident);
        self.record.loads += 1;
    }

    fn unload(&mut self, artifact: &Artifact) {
        if let Some(resident) = self.resident.get_mut(artifact) {
            resident.unloading = true;
            self.record.unloads += 1;
        }
        self.finish_unloads();
    }

    /// Frees what is being unloaded and no longer used.
    fn finish_unloads(&mut self) {
        let generations = &self.generations;
        self.resident.retain(|artifact, resident| {
            let used = generations
                .values()
                .any(|generating| generating.is_running() && generating.artifact == *artifact);
            !resident.unloading || used
        });
    }

    fn check_ready(&self, artifact: &Artifact) -> Result<(), RefusalReason> {
        let now = Instant::now();
        let is_ready = |artifact: &Artifact| {
            self.resident
                .get(artifact)
                .is_some_and(|resident| resident.state(now) == ResidentState::Ready)
        };
        if is_ready(artifact) && is_ready(&artifact.base()) {
            return Ok(());
        }
        Err(RefusalReason::NotResident)
    }
}

impl Generating {
    fn push(&self, chunk: CompletionChunk) {
        self.chunks.lock().unwrap_or_else(PoisonError::into_inner).push(chunk);
        self.grown.send_modify(|version| *version += 1);
    }

    fn is_finished(&self) -> bool {
        let chunks = self.chunks.lock().unwrap_or_else(PoisonError::into_inner);
        chunks.last().is_some_and(|chunk| chunk.finish_reason.is_some())
    }

    fn is_running(&self) -> bool {
        !self.cancelled.load(Ordering::Relaxed) && !self.is_finished()
    }

    /// The part at a position, once it is there; none after the last, or when
    /// the generation was cancelled.
    pub async fn get(&self, position: usize) -> Option<CompletionChunk> {
        let mut grown = self.grown.subscribe();
        loop {
            {
                let chunks = self.chunks.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(chunk) = chunks.get(position) {
                    return Some(chunk.clone());
                }
            }
            if !self.is_running() {
                return None;
            }
            // A cancelled generation does not grow: look again now and then.
            let _ = tokio::time::timeout(Duration::from_millis(100), grown.changed()).await;
        }
    }
}

/// Splits a prompt into what the caller wrote and what was generated before.
pub fn split_prompt(prompt: &str) -> (&str, &str) {
    let at = prompt.find(TOKEN_MARK).unwrap_or(prompt.len());
    prompt.split_at(at)
}

/// The token at a position of the answer to a prompt.
pub fn token_text(root: &str, number: u64) -> String {
    let hash = hex::encode(&Sha256::digest(root.as_bytes())[..4]);
    format!("{TOKEN_MARK}{hash}.{number} ")
}

/// The whole answer to a prompt.
pub fn whole_text(root: &str, tokens: u64) -> String {
    (0..tokens).map(|number| token_text(root, number)).collect()
}

fn next_token_number(generated: &str) -> u64 {
    let last = generated.trim_end().rsplit('.').next().unwrap_or_default();
    last.parse::<u64>().map_or(0, |number| number + 1)
}
