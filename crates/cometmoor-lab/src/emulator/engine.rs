//! One emulated model server: a batch that makes a token for each request a
//! step, prompts read in pieces between those tokens, a memory that running
//! requests and kept prompt parts share, and the models that it holds.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::arrivals::Micros;
use super::scenario::{EngineShape, Scenario};

/// Number of a request in the day's list.
pub type RequestIndex = usize;
/// Number of a model.
pub type ModelIndex = usize;

/// A request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request.
    pub request: RequestIndex,
    /// Its model.
    pub model: ModelIndex,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Order of arrival at the server.
    pub arrival: u64,
    /// Subject and tokens of the part that it shares with others.
    pub shared: SharedPart,
    /// Prompt tokens that were not read yet.
    pub unread: u64,
    /// Tokens in memory.
    pub in_memory: u64,
    /// Tokens of the answer that were made.
    pub made: u64,
    /// Tokens of the whole answer.
    pub wanted: u64,
}

/// A leading part of prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPart {
    /// What it is about; the same for the same content.
    pub subject: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// What a step brought a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// An event of the stream.
    Event(RequestIndex),
    /// The last event.
    Last(RequestIndex),
}

/// A load under way.
#[derive(Clone, Copy, Debug)]
pub struct Loading {
    /// The model.
    pub model: ModelIndex,
    /// When it is there.
    pub ready: Micros,
}

/// A model server.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Whether it runs.
    pub alive: bool,
    /// Whether it takes new requests.
    pub takes_work: bool,
    /// Rises when it starts anew, so that what was meant for it before is void.
    pub epoch: u64,
    /// Whether a step is under way.
    pub stepping: bool,
    /// Factor on the time of its steps.
    pub slowness: f64,
    /// Models that it holds.
    pub resident: BTreeSet<ModelIndex>,
    /// A model that is being unloaded, or is about to be.
    pub leaving: Option<ModelIndex>,
    /// Whether the unload was ordered, beyond being announced.
    pub unload_ordered: bool,
    /// A load under way.
    pub loading: Option<Loading>,
    /// A model for which room is being made.
    pub promised: Option<ModelIndex>,
    /// When models came that it has loaded.
    pub loaded: BTreeMap<ModelIndex, Micros>,
    /// Copies in host memory, the latest used last.
    pub in_host_memory: VecDeque<ModelIndex>,
    /// Copies on disk, the latest used last.
    pub on_disk: VecDeque<ModelIndex>,
    /// Requests that wait.
    pub queue: Vec<Run>,
    /// Requests that run.
    pub batch: Vec<Run>,
    /// Prompt tokens read.
    pub tokens_read: u64,
    kept: VecDeque<(ModelIndex, SharedPart)>,
    arrivals: u64,
}

impl Engine {
    /// A server that holds these models, with copies of them on its disk.
    pub fn new(resident: BTreeSet<ModelIndex>) -> Engine {
        Engine {
            alive: true,
            takes_work: true,
            slowness: 1.0,
            on_disk: resident.iter().copied().collect(),
            resident,
            ..Engine::default()
        }
    }

    /// Ends and starts anew, without models in memory; `empty` without copies on
    /// its disk either. Returns the requests that it had.
    pub fn restart(&mut self, empty: bool) -> Vec<RequestIndex> {
        let lost = self.queue.iter().chain(&self.batch).map(|run| run.request).collect();
        let on_disk = if empty { VecDeque::new() } else { std::mem::take(&mut self.on_disk) };
        let epoch = self.epoch + 1;
        *self = Engine { on_disk, epoch, slowness: 1.0, ..Engine::default() };
        lost
    }

    /// Whether it can answer with a model, and will stay able to.
    pub fn serves(&self, model: ModelIndex) -> bool {
        self.alive
            && self.takes_work
            && self.resident.contains(&model)
            && self.leaving != Some(model)
    }

    /// Requests that it has.
    pub fn in_flight(&self) -> usize {
        self.queue.len() + self.batch.len()
    }

    /// Takes a request.
    pub fn admit(&mut self, mut run: Run) {
        run.arrival = self.arrivals;
        self.arrivals += 1;
        self.queue.push(run);
    }

    /// Takes a request out, wherever it is.
    pub fn remove(&mut self, request: RequestIndex) -> Option<Run> {
        let of_request = |run: &Run| run.request == request;
        if let Some(place) = self.queue.iter().position(of_request) {
            return Some(self.queue.remove(place));
        }
        let place = self.batch.iter().position(of_request)?;
        Some(self.batch.remove(place))
    }

    /// Whether a run, with its memory, finds a place at once.
    pub fn has_room_for(&self, run: &Run, shape: &EngineShape) -> bool {
        self.batch.len() < shape.slots && self.memory() + run.in_memory <= shape.cache_tokens
    }

    /// Takes over a run with its memory.
    pub fn take_over(&mut self, mut run: Run) {
        run.arrival = self.arrivals;
        self.arrivals += 1;
        self.batch.push(run);
    }

    /// Tokens in memory that cannot give way.
    pub fn memory(&self) -> u64 {
        self.batch.iter().map(|run| run.in_memory).sum()
    }

    /// Begins a step; returns how long it takes, none where there is nothing to
    /// do.
    pub fn begin_step(&mut self, scenario: &Scenario) -> Option<Micros> {
        if !self.alive || self.stepping {
            return None;
        }
        let shape = &scenario.engines;
        self.fill_batch(shape);
        if self.batch.is_empty() {
            return None;
        }
        let read = self.read_prompts(shape.chunk_tokens);
        let decoding = self.batch.iter().filter(|run| run.unread == 0).count();
        let per_request = shape.step_millis_per_request * decoding as f64;
        let reading = read as f64 / shape.prompt_tokens_per_milli;
        let millis = shape.step_millis + per_request + reading;
        let paces: f64 = self.batch.iter().map(|run| scenario.model(run.model).pace).sum();
        let pace = paces / self.batch.len() as f64;
        self.stepping = true;
        Some((millis * pace * self.slowness * 1000.0).max(100.0) as Micros)
    }

    /// Ends a step: each request whose prompt is read has one more token.
    pub fn end_step(&mut self, shape: &EngineShape) -> Vec<Progress> {
        self.stepping = false;
        let mut progress = Vec::new();
        for run in self.batch.iter_mut().filter(|run| run.unread == 0) {
            run.made += 1;
            run.in_memory += 1;
            if run.made >= run.wanted {
                progress.push(Progress::Last(run.request));
            } else if run.made == 1 || run.made.is_multiple_of(shape.tokens_per_event) {
                progress.push(Progress::Event(run.request));
            }
        }
        for run in self.batch.iter().filter(|run| run.made >= run.wanted) {
            self.kept.retain(|known| *known != (run.model, run.shared));
            self.kept.push_back((run.model, run.shared));
        }
        self.batch.retain(|run| run.made < run.wanted);
        self.preempt(shape);
        self.forget(shape);
        progress
    }

    /// The more urgent of those that wait run first, and displace less urgent
    /// ones where all slots are taken.
    fn fill_batch(&mut self, shape: &EngineShape) {
        self.queue.sort_by_key(|run| (run.priority, run.arrival));
        while let Some(first) = self.queue.first() {
            let memory = self.memory() + first.unread + first.in_memory;
            let fits = memory <= shape.cache_tokens || self.batch.is_empty();
            if fits && self.batch.len() >= shape.slots {
                let urgency = first.priority;
                let Some(place) = self.displaceable(urgency) else { return };
                let displaced = self.batch.remove(place);
                self.queue.push(put_back(displaced));
            }
            if !fits {
                return;
            }
            let mut run = self.queue.remove(0);
            self.use_kept_part(&mut run);
            self.batch.push(run);
            self.queue.sort_by_key(|run| (run.priority, run.arrival));
        }
    }

    /// The newest of the least urgent requests that are less urgent than this.
    fn displaceable(&self, urgency: u8) -> Option<usize> {
        let less_urgent = self.batch.iter().enumerate().filter(|(_, run)| run.priority > urgency);
        less_urgent.max_by_key(|(_, run)| (run.priority, run.arrival)).map(|(place, _)| place)
    }

    fn use_kept_part(&mut self, run: &mut Run) {
        let fresh = run.made == 0 && run.in_memory == 0;
        if fresh && self.kept.contains(&(run.model, run.shared)) {
            let kept = run.shared.tokens.min(run.unread.saturating_sub(1));
            run.unread -= kept;
            run.in_memory += kept;
        }
    }

    fn read_prompts(&mut self, chunk: u64) -> u64 {
        let mut left = chunk;
        for run in &mut self.batch {
            let piece = run.unread.min(left);
            run.unread -= piece;
            run.in_memory += piece;
            left -= piece;
        }
        self.tokens_read += chunk - left;
        chunk - left
    }

    /// Puts back the newest of the least urgent requests while memory is over.
    fn preempt(&mut self, shape: &EngineShape) {
        while self.memory() > shape.cache_tokens && self.batch.len() > 1 {
            let newest = self.batch.iter().enumerate();
            let Some((place, _)) = newest.max_by_key(|(_, run)| (run.priority, run.arrival)) else {
                return;
            };
            let displaced = self.batch.remove(place);
            self.queue.push(put_back(displaced));
        }
    }

    /// Drops the parts unused longest until the rest fits beside what runs.
    fn forget(&mut self, shape: &EngineShape) {
        let running = self.memory();
        let kept: u64 = self.kept.iter().map(|(_, part)| part.tokens).sum();
        let mut over = (running + kept).saturating_sub(shape.cache_tokens);
        while over > 0 {
            let Some((_, part)) = self.kept.pop_front() else { return };
            over = over.saturating_sub(part.tokens);
        }
    }

    /// Ends an unload that waits for no run any more.
    pub fn finish_unload(&mut self) {
        let Some(model) = self.leaving.filter(|_| self.unload_ordered) else { return };
        if self.batch.iter().any(|run| run.model == model) {
            return;
        }
        self.resident.remove(&model);
        self.loaded.remove(&model);
        self.kept.retain(|(of, _)| *of != model);
        self.leaving = None;
        self.unload_ordered = false;
    }

    /// Ends a load: the model is there, with copies in host memory and on disk.
    pub fn finish_load(&mut self, scenario: &Scenario) {
        let Some(loading) = self.loading.take() else { return };
        let shape = &scenario.engines;
        self.resident.insert(loading.model);
        self.loaded.insert(loading.model, loading.ready);
        note_copy(scenario, &mut self.in_host_memory, loading.model, shape.host_gigabytes);
        note_copy(scenario, &mut self.on_disk, loading.model, shape.disk_gigabytes);
    }

    /// Weights that it holds, may come to hold, or has not given up yet.
    pub fn weights_gigabytes(&self, scenario: &Scenario) -> f64 {
        let loading = self.loading.map(|loading| loading.model);
        let models = self.resident.iter().copied().chain(loading);
        models.map(|model| scenario.model(model).gigabytes).sum()
    }
}

/// A request that lost its place: what it had in memory is read anew.
fn put_back(mut run: Run) -> Run {
    run.unread += run.in_memory;
    run.in_memory = 0;
    run
}

/// Notes the latest used copy and drops those unused longest.
fn note_copy(
    scenario: &Scenario,
    copies: &mut VecDeque<ModelIndex>,
    model: ModelIndex,
    gigabytes: f64,
) {
    copies.retain(|known| *known != model);
    copies.push_back(model);
    let size = |copies: &VecDeque<ModelIndex>| -> f64 {
        copies.iter().map(|model| scenario.model(*model).gigabytes).sum()
    };
    while size(copies) > gigabytes && copies.len() > 1 {
        copies.pop_front();
    }
}
