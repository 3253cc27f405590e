#!/bin/sh
# Plays the seed of the soak on which its stand-in writes the entry of a server that has left again.
# Exits with the soak's code: 0 if no promise was broken.
root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root" && exec cargo run --release --locked -p cometmoor-lab -- soak --seeds 7009..7009 --seconds 30
