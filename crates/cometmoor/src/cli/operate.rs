//! The operators' commands.

use std::io::Read;
use std::path::Path;

use cometmoor_protocol::resource::{Kind, Resource, ResourceKey, ResourceView};
use futures::{StreamExt, TryStreamExt};
use serde::Serialize;
use serde_json::Value;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

use super::client::{ApiClient, ApiError};
use super::exit::Exit;
use super::flags::{Cometmoor, CometmoorCmd};
use super::table::format_table;
use crate::operator::status::NodeStatus;

/// Servers, separated by commas.
const SERVERS_VARIABLE: &str = "COMETMOOR_SERVERS";
/// The operators' bearer key.
const KEY_VARIABLE: &str = "COMETMOOR_OPERATOR_KEY";

/// Why a command ended early.
enum CommandError {
    /// The command line or environment is incomplete or wrong.
    Usage(String),
    /// A file cannot be used.
    File(String),
    /// The system did not do what it was asked.
    Api(ApiError),
}

impl From<ApiError> for CommandError {
    fn from(error: ApiError) -> CommandError {
        CommandError::Api(error)
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Output {
    Table,
    Json,
}

/// Runs one of the operators' commands.
pub fn run(flags: &Cometmoor) -> Exit {
    let result = actix::System::new().block_on(run_command(flags));
    match result {
        Ok(exit) => exit,
        Err(CommandError::Usage(message)) => {
            eprintln!("{message}");
            Exit::Usage
        }
        Err(CommandError::File(message)) => {
            eprintln!("{message}");
            Exit::Failure
        }
        Err(CommandError::Api(error)) => {
            print_error(&error);
            error.exit()
        }
    }
}

fn print_error(error: &ApiError) {
    eprintln!("{error}");
    if let ApiError::Refused { detail, .. } = error
        && !detail.near_names.is_empty()
    {
        eprintln!("near names: {}", detail.near_names.join(", "));
    }
}

async fn run_command(flags: &Cometmoor) -> Result<Exit, CommandError> {
    let client = client(flags)?;
    let output = output(flags)?;
    match &flags.subcommand {
        CometmoorCmd::Apply(apply) => apply_file(&client, &apply.file, apply.dry_run).await,
        CometmoorCmd::Get(get) => {
            let kind = parse_kind(&get.kind)?;
            match &get.name {
                None => list(&client, kind, output).await,
                Some(name) => {
                    let key = ResourceKey { kind, name: name.clone() };
                    print_views(&[client.get(&key).await?], output);
                    Ok(Exit::Success)
                }
            }
        }
        CometmoorCmd::Describe(describe) => {
            let kind = parse_kind(&describe.kind)?;
            let key = ResourceKey { kind, name: describe.name.clone() };
            print_json(&client.get(&key).await?);
            Ok(Exit::Success)
        }
        CometmoorCmd::Delete(delete) => {
            let kind = parse_kind(&delete.kind)?;
            let key = ResourceKey { kind, name: delete.name.clone() };
            client.delete(&key, delete.dry_run).await?;
            println!("{key} deleted{}", dry_run_note(delete.dry_run));
            Ok(Exit::Success)
        }
        CometmoorCmd::Change(change) => {
            print_json(&client.change(&change.id).await?);
            Ok(Exit::Success)
        }
        CometmoorCmd::Watch(watch) => print_watch(&client, watch.from.unwrap_or(0)).await,
        CometmoorCmd::Drain(_) => {
            client.drain().await?;
            println!("the node is draining");
            Ok(Exit::Success)
        }
        CometmoorCmd::Status(_) => {
            print_status(&client.status().await?, output);
            Ok(Exit::Success)
        }
        CometmoorCmd::Node(_)
        | CometmoorCmd::Gateway(_)
        | CometmoorCmd::Explain(_)
        | CometmoorCmd::Check(_)
        | CometmoorCmd::SettingsSchema(_)
        | CometmoorCmd::Version(_) => Err(CommandError::Usage("not a remote command".to_owned())),
    }
}

fn client(flags: &Cometmoor) -> Result<ApiClient, CommandError> {
    let mut servers = flags.server.clone();
    if servers.is_empty() {
        let from_environment = std::env::var(SERVERS_VARIABLE).unwrap_or_default();
        let parts = from_environment.split(',').filter(|server| !server.is_empty());
        servers = parts.map(str::to_owned).collect();
    }
    if servers.is_empty() {
        let message = format!("--server or {SERVERS_VARIABLE} is needed");
        return Err(CommandError::Usage(message));
    }
    let key = match &flags.key_file {
        Some(file) => std::fs::read_to_string(file)
            .map_err(|error| CommandError::File(format!("{}: {error}", file.display())))?,
        None => std::env::var(KEY_VARIABLE)
            .map_err(|_| CommandError::Usage(format!("--key-file or {KEY_VARIABLE} is needed")))?,
    };
    Ok(ApiClient::new(servers, key.trim()))
}

fn output(flags: &Cometmoor) -> Result<Output, CommandError> {
    match flags.output.as_deref() {
        None | Some("table") => Ok(Output::Table),
        Some("json") => Ok(Output::Json),
        Some(other) => {
            Err(CommandError::Usage(format!("the output is table or json, not {other:?}")))
        }
    }
}

fn parse_kind(text: &str) -> Result<Kind, CommandError> {
    Kind::parse(text).ok_or_else(|| {
        let kinds: Vec<&str> = Kind::ALL.iter().map(|kind| kind.plural()).collect();
        CommandError::Usage(format!("there is no kind {text:?}; there are {}", kinds.join(", ")))
    })
}

fn dry_run_note(dry_run: bool) -> &'static str {
    if dry_run { " (dry run)" } else { "" }
}

/// Applies every resource of a file, in the order in which kinds can be
/// created, and ends with the worst result.
async fn apply_file(client: &ApiClient, file: &Path, dry_run: bool) -> Result<Exit, CommandError> {
    let resources = read_resources(file)?;
    let mut worst = Exit::Success;
    for resource in resources {
        let key = resource.key();
        match client.apply(&resource, dry_run).await {
            Ok(view) => {
                let version = view.resource.metadata().resource_version;
                println!("{key} is at version {version}{}", dry_run_note(dry_run));
            }
            Err(error) => {
                eprint!("{key}: ");
                print_error(&error);
                worst = worst.max(error.exit());
            }
        }
    }
    Ok(worst)
}

fn read_resources(file: &Path) -> Result<Vec<Resource>, CommandError> {
    let name = file.display().to_string();
    let in_file = |error: &dyn std::fmt::Display| CommandError::File(format!("{name}: {error}"));
    let text = if name == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(|error| in_file(&error))?;
        text
    } else {
        std::fs::read_to_string(file).map_err(|error| in_file(&error))?
    };
    let value: Value = serde_json::from_str(&text).map_err(|error| in_file(&error))?;
    let values = match value {
        Value::Array(values) => values,
        single => vec![single],
    };
    let mut resources = Vec::new();
    for (index, mut value) in values.into_iter().enumerate() {
        if let Some(object) = value.as_object_mut() {
            object.remove("status");
        }
        let resource: Resource = serde_path_to_error::deserialize(&value).map_err(|error| {
            in_file(&format!("resource {index}: {}: {}", error.path(), error.inner()))
        })?;
        resources.push(resource);
    }
    let position = |resource: &Resource| Kind::ALL.iter().position(|k| *k == resource.kind());
    resources.sort_by_key(position);
    Ok(resources)
}

async fn list(client: &ApiClient, kind: Kind, output: Output) -> Result<Exit, CommandError> {
    let list = client.list(kind).await?;
    if output == Output::Json {
        print_json(&list);
    } else {
        print_views(&list.items, output);
    }
    Ok(Exit::Success)
}

fn print_json(value: &impl Serialize) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

fn print_views(views: &[ResourceView], output: Output) {
    if output == Output::Json {
        print_json(&views);
        return;
    }
    let rows: Vec<Vec<String>> = views.iter().map(view_row).collect();
    println!("{}", format_table(&["NAME", "VERSION", "GENERATION", "STATE", "DETAIL"], &rows));
}

fn view_row(view: &ResourceView) -> Vec<String> {
    let metadata = view.resource.metadata();
    let conditions = &view.status.conditions;
    let shown = conditions.iter().find(|condition| !condition.status).or(conditions.first());
    vec![
        metadata.name.clone(),
        metadata.resource_version.to_string(),
        metadata.generation.to_string(),
        shown.map(|condition| condition.reason.clone()).unwrap_or_default(),
        shown.map(|condition| condition.message.clone()).unwrap_or_default(),
    ]
}

fn print_status(status: &NodeStatus, output: Output) {
    if output == Output::Json {
        print_json(status);
        return;
    }
    println!(
        "node {} (incarnation {}): generation {}, {}{}, {} requests in progress, {} waiting",
        status.node,
        status.incarnation,
        status.generation,
        status.freshness,
        if status.draining { ", draining" } else { "" },
        status.in_progress,
        status.waiting
    );
    let members: Vec<Vec<String>> = status
        .members
        .iter()
        .map(|m| vec![m.name.clone(), m.zone.clone(), m.state.clone(), m.client_address.clone()])
        .collect();
    println!("\n{}", format_table(&["NODE", "ZONE", "STATE", "ADDRESS"], &members));
    let engines: Vec<Vec<String>> = status
        .engines
        .iter()
        .map(|engine| {
            let state = if engine.leaving { "leaving" } else { "ready" };
            vec![
                engine.name.clone(),
                state.to_owned(),
                engine.load.to_string(),
                engine.ready.join(" "),
            ]
        })
        .collect();
    println!("\n{}", format_table(&["ENGINE", "STATE", "LOAD", "READY"], &engines));
}

/// Prints changes until the server ends the watch.
async fn print_watch(client: &ApiClient, from: u64) -> Result<Exit, CommandError> {
    let response = client.watch(from).await?;
    let reader = StreamReader::new(response.map_err(std::io::Error::other));
    let mut lines = FramedRead::new(reader, LinesCodec::new());
    while let Some(line) = lines.next().await {
        match line {
            Ok(line) => println!("{line}"),
            Err(error) => return Err(CommandError::File(format!("the watch broke: {error}"))),
        }
    }
    Ok(Exit::Success)
}
