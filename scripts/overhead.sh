#!/usr/bin/env bash
# Measures what one node on one core adds, against the stand-in engine.
# Usage: scripts/overhead.sh FIRST_MS TOKEN_MS STREAMS RATE SECONDS
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'kill "$launch" 2>/dev/null || true; wait 2>/dev/null || true; rm -f "$out"' EXIT
bin/launch -keep -configuration examples/overhead -nodes 1 -cores 1 -first "$1" -token "$2" >"$out" &
launch=$!
for _ in $(seq 200); do grep -q '^curl' "$out" && break; sleep 0.1; done
node=$(awk '$1=="node"{print $4}' "$out")
operators=$(awk '$1=="node"{print $6}' "$out")
engine=$(awk '$1=="engine"{print $3}' "$out")
curl -s "http://$node/v1/chat/completions" -d '{"model": "occupations", "messages": [{"role": "user", "content": "warm up"}]}' >/dev/null
bin/loadgen overhead -node "$node" -operators "$operators" -engine "$engine" -route occupations -unit isco-1 -rate "$4" -seconds "$5" -streams "$3"
