//! Exports spans to a file, a JSON object a line.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::trace::{SpanData, SpanExporter};
use serde_json::{Map, Value, json};

/// Appends spans to a file.
#[derive(Debug)]
pub struct FileExporter {
    file: Mutex<File>,
}

impl FileExporter {
    /// Opens the file, or creates it.
    pub fn open(path: &str) -> std::io::Result<FileExporter> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(FileExporter { file: Mutex::new(file) })
    }

    fn write(&self, batch: &[SpanData]) -> std::io::Result<()> {
        let lines: String = batch.iter().map(|span| format!("{}\n", line(span))).collect();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(lines.as_bytes())
    }
}

impl SpanExporter for FileExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.write(&batch).map_err(|error| OTelSdkError::InternalFailure(error.to_string()))
    }
}

fn line(span: &SpanData) -> Value {
    let attributes: Map<String, Value> = span
        .attributes
        .iter()
        .map(|attribute| (attribute.key.to_string(), attribute.value.to_string().into()))
        .collect();
    json!({
        "traceId": span.span_context.trace_id().to_string(),
        "spanId": span.span_context.span_id().to_string(),
        "parentSpanId": span.parent_span_id.to_string(),
        "name": span.name,
        "startUnixMicros": unix_micros(span.start_time),
        "endUnixMicros": unix_micros(span.end_time),
        "status": format!("{:?}", span.status),
        "attributes": attributes,
    })
}

fn unix_micros(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
