//! The story of one request, from log lines of several nodes.

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

/// What a node believed when it last told of it.
#[derive(Clone, Debug)]
struct Belief {
    timestamp: u64,
    text: String,
}

/// Beliefs of one node by what they are about.
type Beliefs = HashMap<String, Belief>;

/// The lines that tell of the request, in order, with the beliefs in force at
/// each: the configuration, what was last told of the server concerned, and what that
/// last reported of itself.
/// Lines of other formats are passed over; what stands before a line's first
/// brace is left out.
pub fn explain(id: &str, text: &str) -> Vec<String> {
    let mut lines: Vec<Line> = text.lines().filter_map(parse).collect();
    lines.sort_by_key(|line| line.timestamp);
    let mut beliefs: HashMap<String, Beliefs> = HashMap::new();
    let mut story = Vec::new();
    for line in &lines {
        let known = beliefs.entry(line.logger.clone()).or_default();
        if line.kv.get("request").and_then(Value::as_str) == Some(id) {
            story.push(told(line));
            story.extend(beliefs_of(line, known));
        } else if let Some(subject) = subject(line) {
            let text = told(line);
            known.insert(subject, Belief { timestamp: line.timestamp, text });
        }
    }
    story
}

fn parse(text: &str) -> Option<Line> {
    let begin = text.find('{')?;
    serde_json::from_str(&text[begin..]).ok()
}

/// What a line that tells no request is about.
fn subject(line: &Line) -> Option<String> {
    if line.kv.contains_key("request") {
        return None;
    }
    let part = line.payload.split(']').next()?.trim_start_matches('[');
    if let Some(server) = line.kv.get("server").and_then(Value::as_str) {
        return Some(if part == "signals" { signals_of(server) } else { server_of(server) });
    }
    matches!(part, "configuration" | "store" | "leader" | "node").then(|| part.to_owned())
}

/// The subject of lines on what a server reports of itself.
fn signals_of(server: &str) -> String {
    format!("signals {server}")
}

/// The subject of all other lines on a server.
fn server_of(server: &str) -> String {
    format!("server {server}")
}

fn told(line: &Line) -> String {
    let fields: Vec<String> =
        line.kv.iter().map(|(name, value)| format!("{name}={}", plain(value))).collect();
    format!("{} {} {} {}", line.timestamp, line.logger, line.payload, fields.join(" "))
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn beliefs_of(line: &Line, known: &Beliefs) -> Vec<String> {
    let server = line.kv.get("server").and_then(Value::as_str);
    let mut subjects = vec!["configuration".to_owned(), "store".to_owned()];
    subjects.extend(server.map(server_of));
    subjects.extend(server.map(signals_of));
    subjects
        .into_iter()
        .filter_map(|subject| {
            let belief = known.get(&subject)?;
            let age = line.timestamp.saturating_sub(belief.timestamp);
            Some(format!("    believed for {age} ms: {}", belief.text))
        })
        .collect()
}
