#!/usr/bin/env bash
# Servers answer one in twenty requests with bytes that are no answer and do not end. TROUBLE=0 spoils no answer.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rosemaryhill ] && [ -x review/bin/switching ] || exit 2
exec review/bin/switching --record review/5/record.txt --root "$PWD"
