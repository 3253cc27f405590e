//! Reconstructs the history of one request from the log lines of several nodes.

use std::collections::HashMap;

use serde::Deserialize;
use serde_json::{Map, Value};

/// A log line as `log.rs` writes it.
#[derive(Clone, Debug, Deserialize)]
struct Line {
    timestamp: u64,
    #[serde(default)]
    logger: String,
    payload: String,
    #[serde(default)]
    kv: Map<String, Value>,
}

/// The last log line of a node about a subject.
#[derive(Clone, Debug)]
struct KnownState {
    timestamp: u64,
    text: String,
}

/// The state that a node knew, by subject.
type NodeState = HashMap<String, KnownState>;

/// Returns the log lines of the request in the order of time. Each is followed by the state that
/// its node knew then: the last lines about the configuration, the store, the server concerned, the
/// signals of that server, and the part of its prompt for which it was refused. Lines of other
/// formats are skipped, and text before the first brace of a line is ignored.
pub fn explain(id: &str, text: &str) -> Vec<String> {
    let mut lines: Vec<Line> = text.lines().filter_map(parse).collect();
    lines.sort_by_key(|line| line.timestamp);
    let mut states: HashMap<String, NodeState> = HashMap::new();
    let mut history = Vec::new();
    for line in &lines {
        let known = states.entry(line.logger.clone()).or_default();
        if line.kv.get("request").and_then(Value::as_str) == Some(id) {
            history.push(format_line(line));
            history.extend(known_state_at(line, known));
        } else if let Some(subject) = subject(line) {
            let text = format_line(line);
            known.insert(subject, KnownState { timestamp: line.timestamp, text });
        }
    }
    history
}

fn parse(text: &str) -> Option<Line> {
    let start = text.find('{')?;
    serde_json::from_str(&text[start..]).ok()
}

/// The subject of a line that does not belong to a request; `None` if it is not of interest.
fn subject(line: &Line) -> Option<String> {
    if line.kv.contains_key("request") {
        return None;
    }
    let component = line.payload.split(']').next()?.trim_start_matches('[');
    if let Some(part) = line.kv.get("part").and_then(Value::as_str) {
        return Some(part_subject(part));
    }
    if let Some(server) = line.kv.get("server").and_then(Value::as_str) {
        return Some(if component == "signals" {
            signals_subject(server)
        } else {
            server_subject(server)
        });
    }
    matches!(component, "configuration" | "store" | "leader" | "node").then(|| component.to_owned())
}

/// Subject of the lines about the signals that a server sends.
fn signals_subject(server: &str) -> String {
    format!("signals {server}")
}

/// Subject of the lines about a part of prompts.
fn part_subject(part: &str) -> String {
    format!("part {part}")
}

/// Subject of all other lines about a server.
fn server_subject(server: &str) -> String {
    format!("server {server}")
}

fn format_line(line: &Line) -> String {
    let fields: Vec<String> =
        line.kv.iter().map(|(name, value)| format!("{name}={}", plain_text(value))).collect();
    format!("{} {} {} {}", line.timestamp, line.logger, line.payload, fields.join(" "))
}

fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn known_state_at(line: &Line, known: &NodeState) -> Vec<String> {
    let server = line.kv.get("server").and_then(Value::as_str);
    let mut subjects = vec!["configuration".to_owned(), "store".to_owned()];
    subjects.extend(server.map(server_subject));
    subjects.extend(server.map(signals_subject));
    subjects.extend(line.kv.get("part").and_then(Value::as_str).map(part_subject));
    subjects
        .into_iter()
        .filter_map(|subject| {
            let state = known.get(&subject)?;
            let age = line.timestamp.saturating_sub(state.timestamp);
            Some(format!("    known for {age} ms: {}", state.text))
        })
        .collect()
}
