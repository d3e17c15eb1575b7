#!/bin/sh
# Builds the stand-ins of the second review's scripts. They use the standard library only and need no network.
set -eu
cd "$(dirname "$0")/rig2/platform"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../../target/review/rig2 .
