#!/usr/bin/env bash
# Regenerates src/peer_capnp.rs. Needs the `capnp` compiler (Debian package
# capnproto) and `cargo install capnpc --version 0.27.0`. The result is
# committed, so that a build needs neither.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -o rust:../src --src-prefix=. peer.capnp
