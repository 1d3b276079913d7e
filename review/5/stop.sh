#!/usr/bin/env bash
# The same cause at a planned stop. Exits with 1 if the process did not end by itself.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
PYTHONPATH=. exec python3 -m review.5.stop
