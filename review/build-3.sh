#!/usr/bin/env bash
# Builds the program that runs the scripts of the third review, with its stand-ins. It needs the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/third"
GOWORK=off GOPROXY=off go build -buildvcs=false -o ../../target/review-3/cases .
