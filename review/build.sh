#!/bin/sh
# Builds the stand-ins of the cases with the compiler alone: no packages, no network.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
out="$here/../target/review"
mkdir -p "$out"
for source in "$here"/rig/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] || rustc -O --edition 2024 -o "$out/$name" "$source"
done
