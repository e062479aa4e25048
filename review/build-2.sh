#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/second"
mkdir -p bin
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o bin/ ./cmd/...
