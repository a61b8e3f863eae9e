#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the daemon of the
# deploy file. Their stand-ins are Python: compiling them shows that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/standins_2.py tests/harness.py tests/jobs_platform.py
