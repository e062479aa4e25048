#!/usr/bin/env bash
# The configuration changes while an entry host starts and the store is slow. TROUBLE=0 keeps the store fast.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rosemaryhill ] && [ -x review/bin/staleconfig ] || exit 2
exec review/bin/staleconfig --record review/1/record.txt --root "$PWD"
