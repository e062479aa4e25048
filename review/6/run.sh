#!/usr/bin/env bash
# Starts three entry hosts and lets the operator change the configuration. TROUBLE=0 leaves out the changes.
set -u
cd "$(dirname "$0")"
exec ../second/bin/configgrowth --daemon ../../target/rosemaryhill --record record.txt
