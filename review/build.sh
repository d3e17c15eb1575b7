#!/usr/bin/env bash
# Builds the program that plays the cases, with all stand-ins, into target/review/. It needs the Go toolchain and no network.
set -euo pipefail
cd "$(dirname "$0")/platform"
mkdir -p ../../target/review
GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review/player .
