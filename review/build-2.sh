#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 and later start. Needs only rustc.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig-2/rig.rs
