//! Traces: a span for each hop of a request, in the W3C trace context.
//!
//! Spans are handed to a batch processor on a thread of its own, which drops
//! them when it falls behind; requests never wait for it.

mod file;

use actix_web::http::header::HeaderMap;
use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry::trace::{SpanKind, Status, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{Protocol, SpanExporter as OtlpExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};

use self::file::FileExporter;
use crate::settings::Settings;

/// Header of the W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Why traces cannot be exported.
#[derive(Debug)]
pub enum TraceError {
    /// The file cannot be opened.
    File(std::io::Error),
    /// The exporter to the collector cannot be made.
    Collector(String),
}

impl std::fmt::Display for TraceError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            TraceError::File(error) => write!(formatter, "the trace file: {error}"),
            TraceError::Collector(error) => write!(formatter, "the trace collector: {error}"),
        }
    }
}

/// Makes spans, or passes the context on where no exporter is set.
pub struct Tracing {
    provider: Option<SdkTracerProvider>,
    tracer: Option<SdkTracer>,
}

impl Tracing {
    /// Starts the exporters of the settings.
    pub fn start(settings: &Settings) -> Result<Tracing, TraceError> {
        let traces = &settings.traces;
        if traces.collector_url.is_none() && traces.file.is_none() {
            return Ok(Tracing { provider: None, tracer: None });
        }
        let resource = Resource::builder()
            .with_service_name("cometmoor")
            .with_attribute(KeyValue::new("service.instance.id", settings.node.clone()))
            .build();
        let mut builder = SdkTracerProvider::builder().with_resource(resource);
        if let Some(path) = &traces.file {
            let exporter = FileExporter::open(path).map_err(TraceError::File)?;
            builder = builder.with_batch_exporter(exporter);
        }
        if let Some(url) = &traces.collector_url {
            let exporter = OtlpExporter::builder()
                .with_http()
                .with_protocol(Protocol::HttpBinary)
                .with_endpoint(url)
                .build()
                .map_err(|error| TraceError::Collector(error.to_string()))?;
            builder = builder.with_batch_exporter(exporter);
        }
        let provider = builder.build();
        let tracer = provider.tracer("cometmoor");
        Ok(Tracing { provider: Some(provider), tracer: Some(tracer) })
    }

    /// Starts the span of a request that came with these headers.
    pub fn begin(&self, name: &'static str, headers: &HeaderMap) -> Hop {
        let parent = TraceContextPropagator::new().extract(&Headers(headers));
        self.hop(name, SpanKind::Server, &parent)
    }

    /// Starts the span of a hop within a request.
    pub fn child(&self, name: &'static str, parent: &Hop) -> Hop {
        self.hop(name, SpanKind::Client, &parent.context)
    }

    fn hop(&self, name: &'static str, kind: SpanKind, parent: &Context) -> Hop {
        let Some(tracer) = &self.tracer else {
            return Hop { context: parent.clone(), is_own: false };
        };
        let span = tracer.span_builder(name).with_kind(kind).start_with_context(tracer, parent);
        Hop { context: parent.with_span(span), is_own: true }
    }

    /// Hands over what has not been exported yet.
    pub fn stop(&self) {
        if let Some(provider) = &self.provider {
            // What the collector does not take now is lost; nothing waits.
            let _ = provider.shutdown();
        }
    }
}

/// A hop of a request; its span ends when it is dropped.
#[derive(Clone)]
pub struct Hop {
    context: Context,
    is_own: bool,
}

impl Hop {
    /// Adds what the hop is about.
    pub fn attribute(&self, key: &'static str, value: impl Into<String>) {
        if self.is_own {
            self.context.span().set_attribute(KeyValue::new(key, value.into()));
        }
    }

    /// Notes that the hop failed.
    pub fn fail(&self, reason: &str) {
        if self.is_own {
            self.context.span().set_status(Status::error(reason.to_owned()));
        }
    }

    /// Value of the header that passes the context on.
    pub fn traceparent(&self) -> Option<String> {
        let mut carrier = Carrier(None);
        TraceContextPropagator::new().inject_context(&self.context, &mut carrier);
        carrier.0
    }
}

struct Headers<'a>(&'a HeaderMap);

impl Extractor for Headers<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|value| value.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(|name| name.as_str()).collect()
    }
}

struct Carrier(Option<String>);

impl Injector for Carrier {
    fn set(&mut self, key: &str, value: String) {
        if key == TRACEPARENT {
            self.0 = Some(value);
        }
    }
}
