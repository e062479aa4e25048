#!/usr/bin/env bash
# Builds the programs that the scripts under review/ start. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOWORK=off go build -o bin/ ./cmd/...
