#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -m py_compile review/support_2.py \
    dogwoodtack_standins/site.py review/[6-9]/case.py $(ls review/10/case.py 2>/dev/null || true)
