#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are Python modules of the standard
# library only, so it is enough to compile them. Nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
