//! Stand-ins and scenes for the cases of this review, with the standard library only.
//!
//! `rig serve ADDRESS ID GAP_MS` is a server behind the gateway. `rig SCENE GATEWAY RECORD`
//! plays a scene: it starts the platform's store in its own process, servers and gateway nodes as
//! processes of their own, and clients as threads. It exits with 1 if the rule was broken, 0 if it
//! held, 2 if the scene could not be played.

mod gateways;
mod http;
mod json;
mod record;
mod scenes;
mod server;
mod store;

use std::process::exit;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["serve", address, id, gap] => {
            server::serve(address, id, gap.parse().unwrap_or_else(|_| exit(2)))
        }
        [scene, gateway, record] => exit(scenes::play(scene, gateway, record)),
        _ => {
            eprintln!("usage: rig SCENE GATEWAY RECORD");
            exit(2)
        }
    }
}
