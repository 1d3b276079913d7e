#!/bin/sh
# Builds the stand-ins of review/6 to review/10: Python of the standard library only.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/support2 review/6 review/7 review/8
