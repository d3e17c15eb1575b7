#!/usr/bin/env bash
# Measures the overhead that a node with one core adds to requests to the stand-in engine.
# Usage: scripts/overhead.sh FIRST_MS TOKEN_MS STREAMS RATE SECONDS
set -euo pipefail
cd "$(dirname "$0")/.."
launch_output=$(mktemp)
trap 'kill "$launch_pid" 2>/dev/null || true; wait 2>/dev/null || true; rm -f "$launch_output"' EXIT
bin/launch -keep -configuration examples/overhead -nodes 1 -cores 1 -first "$1" -token "$2" >"$launch_output" &
launch_pid=$!
# The curl example is the last line that launch prints.
for _ in $(seq 200); do grep -q '^curl' "$launch_output" && break; sleep 0.1; done
node=$(awk '$1=="node"{print $4}' "$launch_output")
operators=$(awk '$1=="node"{print $6}' "$launch_output")
engine=$(awk '$1=="engine"{print $3}' "$launch_output")
# Loads the model before the measurement.
curl -s "http://$node/v1/chat/completions" -d '{"model": "occupations", "messages": [{"role": "user", "content": "warm up"}]}' >/dev/null
bin/loadgen overhead -node "$node" -operators "$operators" -engine "$engine" -route occupations -unit isco-1 -rate "$4" -seconds "$5" -streams "$3"
