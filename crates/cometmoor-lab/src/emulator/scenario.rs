//! Scenario files: what an emulated day is made of.

use std::fmt;
use std::path::Path;

use serde::Deserialize;

/// A day.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Scenario {
    /// Name in reports.
    pub name: String,
    /// Time in which requests arrive, in seconds.
    pub length_seconds: f64,
    /// Time before the first request in which models can be placed, in seconds.
    pub lead_seconds: f64,
    /// Nodes that take requests.
    pub nodes: usize,
    /// Pause between two heartbeats of a node, in milliseconds.
    pub heartbeat_millis: u64,
    /// Way between a node and a server, in milliseconds.
    pub hop_millis: f64,
    /// Way between a client and a node, in milliseconds.
    pub client_millis: f64,
    /// Requests that come together, on average.
    pub clump: f64,
    /// What counts in the worth of a day.
    pub weights: Weights,
    /// The model servers.
    pub engines: EngineShape,
    /// Groups of models that are alike; models are numbered through them.
    pub models: Vec<ModelGroup>,
    /// Kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// Moments at which demand moves to other models.
    #[serde(default)]
    pub shifts: Vec<Shift>,
    /// Disruptions.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Parts of a day's worth; they add up to 1.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Weights {
    /// The whole day.
    pub day: f64,
    /// The two worst spans of two seconds.
    pub worst_seconds: f64,
    /// The worst-served kind of requests.
    pub worst_kind: f64,
}

/// What the model servers are like.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct EngineShape {
    /// Servers.
    pub servers: usize,
    /// Requests that run at once on a server.
    pub slots: usize,
    /// Time of a step that makes a token for each request, in milliseconds.
    pub step_millis: f64,
    /// Added for each request that runs, in milliseconds.
    pub step_millis_per_request: f64,
    /// Prompt tokens that are read in a millisecond.
    pub prompt_tokens_per_milli: f64,
    /// Most prompt tokens that are read in one step.
    pub chunk_tokens: u64,
    /// Tokens that a server's memory holds.
    pub cache_tokens: u64,
    /// Tokens of an answer in one event.
    pub tokens_per_event: u64,
    /// Memory for weights, in gigabytes.
    pub weights_gigabytes: f64,
    /// Host memory for copies of weights, in gigabytes.
    pub host_gigabytes: f64,
    /// Disk for copies of weights, in gigabytes.
    pub disk_gigabytes: f64,
    /// Loads a second that the weight store allows.
    pub loads_per_second: f64,
    /// Loads at once beyond which each takes longer in proportion.
    pub loads_at_full_speed: usize,
    /// Whether servers copy the memory of a run to one another.
    pub moves_runs: bool,
}

/// Models that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ModelGroup {
    /// Models in the group.
    pub count: usize,
    /// Weights of one, in gigabytes.
    pub gigabytes: f64,
    /// Load from the weight store, in seconds.
    pub load_seconds: f64,
    /// Load from the server's disk, in seconds.
    pub disk_seconds: f64,
    /// Load from the server's memory, in seconds.
    pub memory_seconds: f64,
    /// Time of a step against that of the servers' sheet.
    pub pace: f64,
}

/// A figure that varies: log-normal, cut at the most.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Standard deviation against the mean.
    pub deviation: f64,
    /// Largest value.
    pub most: f64,
}

/// A kind of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct RequestKind {
    /// Name in reports.
    pub name: String,
    /// Requests a second.
    pub per_second: f64,
    /// Tokens of the prompt that are the request's own.
    pub prompt_tokens: Spread,
    /// Tokens of the leading part that requests on one subject share.
    pub shared_tokens: f64,
    /// Subjects.
    pub subjects: u64,
    /// Tokens of the answer.
    pub output_tokens: Spread,
    /// Time within which the first event is wanted, in milliseconds.
    pub objective_millis: u64,
    /// Longest pause between two events that keeps a stream in time.
    pub pause_millis: u64,
    /// Time after which the client leaves, in milliseconds.
    pub deadline_millis: u64,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Worth of a late answer.
    pub late_worth: f64,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// First of the models that it asks for.
    pub first_model: usize,
    /// Models that it may ask for.
    pub models: usize,
    /// Shares of the models that are asked for at one time; empty for all alike.
    #[serde(default)]
    pub shares: Vec<f64>,
}

/// Demand moves on among the models.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Shift {
    /// When, in seconds from the first request.
    pub at_seconds: f64,
    /// By how many models.
    pub places: usize,
}

/// A disruption.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Fault {
    /// When, in seconds from the first request.
    pub at_seconds: f64,
    /// For how long, in seconds.
    pub for_seconds: f64,
    /// What.
    pub what: FaultKind,
}

/// What a disruption does.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub enum FaultKind {
    /// Servers end at once and come back without models in memory.
    ServersCrash(usize),
    /// Servers are told to go and end after two seconds; empty ones come back.
    ServersLeave(usize),
    /// Servers are slower by a factor.
    #[serde(rename_all = "camelCase")]
    ServersSlow {
        /// Servers.
        servers: usize,
        /// Factor.
        factor: f64,
    },
    /// More requests come, of one kind or of all.
    #[serde(rename_all = "camelCase")]
    Burst {
        /// Name of the kind; all where it is missing.
        kind: Option<String>,
        /// Factor.
        factor: f64,
    },
}

/// Why a scenario cannot be used.
#[derive(Debug)]
pub enum ScenarioError {
    /// The file cannot be read.
    Unreadable(String),
    /// It is not a scenario.
    Invalid(String),
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScenarioError::Unreadable(reason) => write!(formatter, "cannot be read: {reason}"),
            ScenarioError::Invalid(reason) => write!(formatter, "is no scenario: {reason}"),
        }
    }
}

impl Scenario {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ScenarioError::Unreadable(error.to_string()))?;
        Scenario::parse(&text)
    }

    /// Reads and checks a text.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = serde_json::from_str(text)
            .map_err(|error| ScenarioError::Invalid(error.to_string()))?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let models = self.model_count();
        let fail = |reason: String| Err(ScenarioError::Invalid(reason));
        if self.nodes == 0 || self.engines.servers == 0 || self.engines.slots == 0 {
            return fail("it needs a node, a server and a slot".to_owned());
        }
        for kind in &self.kinds {
            if kind.models == 0 || kind.first_model + kind.models > models {
                return fail(format!("{} asks for models that there are not", kind.name));
            }
            if kind.shares.len() > kind.models {
                return fail(format!("{} has more shares than models", kind.name));
            }
        }
        let largest = self.models.iter().map(|group| group.gigabytes).fold(0.0, f64::max);
        let places = (self.engines.weights_gigabytes / largest) as usize * self.engines.servers;
        if places < models {
            return fail(format!("{models} models do not fit into {places} places"));
        }
        Ok(())
    }

    /// Models of all groups.
    pub fn model_count(&self) -> usize {
        self.models.iter().map(|group| group.count).sum()
    }

    /// The group of a model by its number.
    pub fn model(&self, index: usize) -> &ModelGroup {
        let mut left = index;
        for group in &self.models {
            if left < group.count {
                return group;
            }
            left -= group.count;
        }
        &self.models[self.models.len() - 1]
    }
}
