//! Clients that send requests to the nodes and note what becomes of them.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cometmoor_gateway::http::events::EventSplitter;
use cometmoor_platform_stand_in::caller::{Call, Caller, ResumedStream, ask_directory, judge};
use cometmoor_platform_stand_in::http::Received;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engines::adapter_name;
use super::history::{Ended, Kind, RequestRecord, StreamRecord};
use super::prompts::CRASHING_PART;
use super::system::SoakSystem;
use super::tenants::{Credential, DESK, LAUNDRY, LIBRARY, MONITOR, UNKNOWN_KEY};

/// Clients of a run.
const CLIENTS: u64 = 12;
/// Longest pause between two requests of a client.
const MOST_PAUSE_MILLIS: u64 = 120;
/// Clients of the tenant that stays within its limit: together they send a quarter of it.
const LIBRARY_CLIENTS: u64 = 2;
const LIBRARY_EACH: Duration = Duration::from_millis(400);
/// Clients of the tenant that at times sends many times its limit, and the shortest pause
/// between two requests of one.
const LAUNDRY_CLIENTS: u64 = 6;
const LAUNDRY_EACH: Duration = Duration::from_millis(15);
/// Pause of those while it does not.
const LAUNDRY_RESTS: Duration = Duration::from_millis(900);
/// Clients that leave before their answer has come, and how soon.
const LEAVING_CLIENTS: u64 = 3;
const LEAVES_AFTER_MILLIS: std::ops::Range<u64> = 5..150;
/// Clients that resume streams, and how soon after one was broken off.
const RESUMING_CLIENTS: u64 = 3;
const RESUMES_AFTER_MILLIS: std::ops::Range<u64> = 0..400;
/// Attempts of such a client at one stream.
const RESUMING_ATTEMPTS: usize = 4;
/// Clients that name adapters of models, and the path of their requests.
const MODEL_CLIENTS: u64 = 2;
const MODEL_PATH: &str = "/model/adapters";
/// Clients whose prompts share parts, the number of parts at each of the two places, and the path
/// of their requests.
const PROMPT_CLIENTS: u64 = 5;
const FIRST_PROMPT_PARTS: u32 = 2;
const PROMPT_PARTS: u32 = 40;
const PROMPT_PATH: &str = "/prompt/events-8";
/// When requests with a part that crashes servers begin, and the time between two of them.
const CRASHING_FROM: Duration = Duration::from_secs(5);
const CRASHING_EACH: Duration = Duration::from_millis(200);
/// Time between two probes of a node.
const PROBE_EACH: Duration = Duration::from_millis(250);
/// Most events that a stream asks for: it ends well within the grace.
const MOST_EVENTS: u64 = 20;
/// One in so many streams is broken off by its server.
const BROKEN_STREAMS: u32 = 6;

/// The clients of a run.
pub struct Clients {
    stopping: Rc<Cell<bool>>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Clients {
    /// Lets them finish what they have begun.
    pub async fn stop(self) {
        self.stopping.set(true);
        futures::future::join_all(self.tasks).await;
    }
}

/// Starts clients of each tenant, and one prober for each node.
pub fn start(system: &SoakSystem, seed: u64) -> Clients {
    let stopping: Rc<Cell<bool>> = Rc::default();
    let client = |number: u64| {
        let random = ChaCha8Rng::seed_from_u64(seed ^ (number << 32) ^ 0xc11e);
        Client::new(system, stopping.clone(), number, random)
    };
    let mut tasks = Vec::new();
    for number in 0..CLIENTS {
        tasks.push(actix_rt::spawn(client(number).send_anything()));
    }
    for number in CLIENTS..CLIENTS + LIBRARY_CLIENTS {
        tasks.push(actix_rt::spawn(client(number).send_steadily()));
    }
    let first = CLIENTS + LIBRARY_CLIENTS;
    for number in first..first + LAUNDRY_CLIENTS {
        tasks.push(actix_rt::spawn(client(number).send_in_floods()));
    }
    let first = first + LAUNDRY_CLIENTS;
    for number in first..first + LEAVING_CLIENTS {
        tasks.push(actix_rt::spawn(client(number).send_and_leave()));
    }
    let first = first + LEAVING_CLIENTS;
    for number in first..first + RESUMING_CLIENTS {
        tasks.push(actix_rt::spawn(client(number).send_and_resume()));
    }
    let first = first + RESUMING_CLIENTS;
    for number in first..first + MODEL_CLIENTS {
        tasks.push(actix_rt::spawn(client(number).send_to_models()));
    }
    let first = first + MODEL_CLIENTS;
    for number in first..first + PROMPT_CLIENTS {
        tasks.push(actix_rt::spawn(client(number).send_prompts()));
    }
    tasks.push(actix_rt::spawn(client(first + PROMPT_CLIENTS).send_crashing_prompts()));
    for node in 0..system.node_count() {
        tasks.push(actix_rt::spawn(probe(system.clone(), stopping.clone(), node)));
    }
    Clients { stopping, tasks }
}

/// What a client keeps of the directory's answers.
struct Directory {
    addresses: Vec<SocketAddrV4>,
    asked: Option<Instant>,
    lifetime: Duration,
}

impl Directory {
    /// An address to use; a new answer is asked for when the last one is over.
    async fn pick(&mut self, system: &SoakSystem, random: &mut ChaCha8Rng) -> Option<SocketAddrV4> {
        if self.asked.is_none_or(|asked| asked.elapsed() > self.lifetime) {
            let node = random.random_range(0..system.node_count());
            if let Some(addresses) = ask_directory(system.directory_of(node)).await {
                self.addresses = addresses;
                self.asked = Some(Instant::now());
            }
        }
        self.addresses.choose(random).copied()
    }
}

/// A client of a tenant.
struct Client {
    system: SoakSystem,
    stopping: Rc<Cell<bool>>,
    number: u64,
    /// Requests that it has sent.
    count: u64,
    random: ChaCha8Rng,
    caller: Caller,
    directory: Directory,
}

impl Client {
    fn new(
        system: &SoakSystem,
        stopping: Rc<Cell<bool>>,
        number: u64,
        random: ChaCha8Rng,
    ) -> Client {
        let lifetime = system.directory_lifetime();
        let directory = Directory { addresses: Vec::new(), asked: None, lifetime };
        let (system, caller) = (system.clone(), Caller::default());
        Client { system, stopping, number, count: 0, random, caller, directory }
    }

    /// Requests of all kinds: most with the newest key of a tenant without a limit, some with
    /// one that was taken away, or with none that holds, some that need none.
    async fn send_anything(mut self) {
        while !self.stopping.get() {
            let pause = self.random.random_range(0..MOST_PAUSE_MILLIS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let (kind, path) = draw_request(&mut self.random, self.count);
            match self.random.random_range(0..10) {
                0 => self.send(Kind::Once, "/open/any", Credential::Public).await,
                1 => {
                    let is_missing = self.random.random_bool(0.5);
                    let credential =
                        if is_missing { Credential::Missing } else { Credential::Unknown };
                    self.send(kind, &path, credential).await;
                }
                2 | 3 => {
                    let taken = self.system.tenants().newest_taken();
                    let credential = taken.map_or(Credential::Unknown, Credential::Key);
                    self.send(kind, &path, credential).await;
                }
                _ => {
                    let credential = Credential::Key(self.system.tenants().key_of(DESK));
                    self.send(kind, &path, credential).await;
                }
            }
        }
    }

    /// Requests for adapters, of which the servers hold only some.
    async fn send_to_models(mut self) {
        while !self.stopping.get() {
            let pause = self.random.random_range(0..MOST_PAUSE_MILLIS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let credential = Credential::Key(self.system.tenants().key_of(DESK));
            self.send(Kind::Once, MODEL_PATH, credential).await;
        }
    }

    /// Requests of a tenant that stays within its limit.
    async fn send_steadily(mut self) {
        let credential = Credential::Key(self.system.tenants().key_of(LIBRARY));
        while !self.stopping.get() {
            tokio::time::sleep(LIBRARY_EACH).await;
            self.send(Kind::Once, "/once/steady", credential).await;
        }
    }

    /// Requests of a tenant that at times sends many times its limit.
    async fn send_in_floods(mut self) {
        let credential = Credential::Key(self.system.tenants().key_of(LAUNDRY));
        while !self.stopping.get() {
            let pause = if self.system.is_flooded() { LAUNDRY_EACH } else { LAUNDRY_RESTS };
            tokio::time::sleep(pause).await;
            let (kind, path) = match self.random.random_bool(0.5) {
                true => (Kind::Once, "/once/flood"),
                false => (Kind::Safe, "/safe/flood"),
            };
            self.send(kind, path, credential).await;
        }
    }

    /// Requests whose client does not wait for the answer.
    async fn send_and_leave(mut self) {
        while !self.stopping.get() {
            let pause = self.random.random_range(0..MOST_PAUSE_MILLIS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let (kind, path) = draw_request(&mut self.random, self.count);
            let patience = self.random.random_range(LEAVES_AFTER_MILLIS);
            let credential = Credential::Key(self.system.tenants().key_of(DESK));
            let leaves_after = Some(Duration::from_millis(patience));
            self.send_within(kind, &path, credential, leaves_after).await;
        }
    }

    /// Streams that servers break off, which the client resumes at any node.
    async fn send_and_resume(mut self) {
        while !self.stopping.get() {
            let pause = self.random.random_range(0..MOST_PAUSE_MILLIS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let broken = self.random.random_range(1..MOST_EVENTS / 2);
            let whole = broken + self.random.random_range(1..MOST_EVENTS / 2);
            let path = format!("/resume/resume-{broken}-{whole}");
            let mut stream = StreamRecord { whole, ..StreamRecord::default() };
            let mut first: Option<String> = None;
            for _ in 0..RESUMING_ATTEMPTS {
                let attempt = self.attempt_stream(&path, &mut stream, first.as_deref()).await;
                if first.is_none() && !stream.events.is_empty() {
                    first = attempt;
                }
                if stream.is_complete {
                    break;
                }
                let pause = self.random.random_range(RESUMES_AFTER_MILLIS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
            self.system.note_stream(stream);
        }
    }

    /// Sends one attempt at a stream, of which `first` brought the first event; returns its
    /// identifier.
    async fn attempt_stream(
        &mut self,
        path: &str,
        stream: &mut StreamRecord,
        first: Option<&str>,
    ) -> Option<String> {
        let address = self.directory.pick(&self.system, &mut self.random).await?;
        let node = self.system.node_at(address)?;
        let id = format!("c{}-{}", self.number, self.count);
        self.count += 1;
        let last_event = stream.events.last().map_or(0, |(number, _)| *number);
        let resumes = first.map(|attempt| ResumedStream { attempt, last_event });
        let place = self.system.tenants().key_of(DESK);
        let credential = Credential::Key(place);
        let key = self.system.tenants().keys[place].text.clone();
        let call = Call {
            path,
            id: &id,
            key: Some(&key),
            claims: None,
            model: None,
            prompt: None,
            resumes,
        };
        let sent = self.system.elapsed();
        let received = Caller::default().receive(address, call).await;
        let done = self.system.elapsed();
        stream.attempts.push(id.clone());
        let ended = match &received {
            Ok(received) if received.status() == 200 => {
                stream.events.extend(events_by_version(received));
                stream.is_complete = received.whole;
                if received.whole { Ended::Whole } else { Ended::Cut }
            }
            Ok(received) => judge(received, path, &id),
            Err(ended) => ended.clone(),
        };
        let kind = Kind::ResumableStream;
        let record = RequestRecord { id: id.clone(), kind, credential, node, sent, done, ended };
        self.system.note_request(record);
        Some(id)
    }

    async fn send(&mut self, kind: Kind, path: &str, credential: Credential) {
        self.send_within(kind, path, credential, None).await;
    }

    async fn send_within(
        &mut self,
        kind: Kind,
        path: &str,
        credential: Credential,
        leaves_after: Option<Duration>,
    ) {
        let picked = self.directory.pick(&self.system, &mut self.random).await;
        // A connection is kept until the node ends it.
        let Some(address) = self.caller.connected_to().or(picked) else { return };
        let id = format!("c{}-{}", self.number, self.count);
        self.count += 1;
        let model = path.starts_with(MODEL_PATH).then(|| adapter_name(self.random.random()));
        let prompt = None;
        let request = Request { kind, path, id, credential, model, prompt, leaves_after };
        send(&self.system, &mut self.caller, address, request).await;
    }

    /// Requests that share parts of their prompts with one another and with those of
    /// [`Client::send_crashing_prompts`].
    async fn send_prompts(mut self) {
        while !self.stopping.get() {
            let pause = self.random.random_range(0..MOST_PAUSE_MILLIS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let second = format!("b{:x}", self.random.random_range(0..PROMPT_PARTS));
            self.send_prompt(&second, Kind::Prompt { crashes: false }).await;
        }
    }

    /// Requests with a part that crashes the servers.
    async fn send_crashing_prompts(mut self) {
        while self.system.elapsed() < CRASHING_FROM && !self.stopping.get() {
            tokio::time::sleep(CRASHING_EACH).await;
        }
        while !self.stopping.get() {
            tokio::time::sleep(CRASHING_EACH).await;
            self.send_prompt(CRASHING_PART, Kind::Prompt { crashes: true }).await;
        }
    }

    async fn send_prompt(&mut self, second_part: &str, kind: Kind) {
        let Some(address) = self.directory.pick(&self.system, &mut self.random).await else {
            return;
        };
        let id = format!("c{}-{}", self.number, self.count);
        self.count += 1;
        let first = self.random.random_range(0..FIRST_PROMPT_PARTS);
        let own: u32 = self.random.random();
        let request = Request {
            kind,
            path: PROMPT_PATH,
            id,
            credential: Credential::Public,
            model: None,
            prompt: Some(format!("a{first:x}:100,{second_part}:100,{own:x}:100")),
            leaves_after: None,
        };
        send(&self.system, &mut self.caller, address, request).await;
    }
}

/// Numbers of the complete events that were received, and the versions that made them.
fn events_by_version(received: &Received) -> Vec<(u64, String)> {
    let mut splitter = EventSplitter::default();
    splitter.push(&received.body);
    let mut events = Vec::new();
    while let Some(block) = splitter.next_block() {
        let text = String::from_utf8_lossy(&block.bytes);
        let version = text.trim().rsplit(' ').next().unwrap_or_default().to_owned();
        events.extend(block.id().and_then(|id| id.parse().ok()).map(|number| (number, version)));
    }
    events
}

fn draw_request(random: &mut ChaCha8Rng, count: u64) -> (Kind, String) {
    match random.random_range(0..3) {
        0 => (Kind::Once, format!("/once/{count}")),
        1 => (Kind::Safe, format!("/safe/{count}")),
        _ => {
            let events = random.random_range(1..=MOST_EVENTS);
            match random.random_ratio(1, BROKEN_STREAMS) {
                true => (Kind::BrokenStream, format!("/stream/broken-{events}")),
                false => (Kind::Stream, format!("/stream/events-{events}")),
            }
        }
    }
}

/// Asks one node again and again for the newest route.
async fn probe(system: SoakSystem, stopping: Rc<Cell<bool>>, node: usize) {
    let mut caller = Caller::default();
    let credential = Credential::Key(system.tenants().key_of(MONITOR));
    for count in 0_u64.. {
        if stopping.get() {
            return;
        }
        tokio::time::sleep(PROBE_EACH).await;
        let version = system.newest_configuration();
        let (path, id) = (format!("/v{version}/{count}"), format!("p{node}-{count}"));
        let address = system.address_of(node);
        let kind = Kind::Probe(version);
        let request = Request {
            kind,
            path: &path,
            id,
            credential,
            model: None,
            prompt: None,
            leaves_after: None,
        };
        send(&system, &mut caller, address, request).await;
    }
}

/// A request to send.
struct Request<'a> {
    kind: Kind,
    path: &'a str,
    id: String,
    credential: Credential,
    /// The model and adapter that it names.
    model: Option<String>,
    /// The parts of its prompt.
    prompt: Option<String>,
    /// When its client closes the connection, if it does not wait for the answer.
    leaves_after: Option<Duration>,
}

async fn send(
    system: &SoakSystem,
    caller: &mut Caller,
    address: SocketAddrV4,
    request: Request<'_>,
) {
    let Request { kind, path, id, credential, model, prompt, leaves_after } = request;
    let Some(node) = system.node_at(address) else { return };
    let text = match credential {
        Credential::Key(place) => Some(system.tenants().keys[place].text.clone()),
        Credential::Unknown => Some(UNKNOWN_KEY.to_owned()),
        Credential::Missing | Credential::Public => None,
    };
    // Whatever a client says of tenants is dropped.
    let (key, model, prompt) = (text.as_deref(), model.as_deref(), prompt.as_deref());
    let call = Call { path, id: &id, key, claims: Some(LAUNDRY), model, prompt, resumes: None };
    let sent = system.elapsed();
    let ended = match leaves_after {
        Some(after) => caller.call_and_leave(address, call, after).await,
        None => caller.call(address, call).await,
    };
    let done = system.elapsed();
    system.note_request(RequestRecord { id, kind, credential, node, sent, done, ended });
}
