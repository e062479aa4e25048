#!/usr/bin/env bash
# All entry hosts are stopped with SIGTERM while callers keep connections open. TROUBLE=0 sends no SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rosemaryhill ] && [ -x review/bin/lateterm ] || exit 2
exec review/bin/lateterm --record review/4/record.txt --root "$PWD"
