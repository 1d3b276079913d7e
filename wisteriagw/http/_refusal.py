"""Parsing of refusals that state that a request was not run."""

from __future__ import annotations

import json

from wisteriagw.outcomes import RefusedNotRun

REFUSAL_STATUSES = (429, 503)
MAX_REFUSAL_BYTES = 64 * 1024


def read_refusal(status: int, body: bytes) -> RefusedNotRun | None:
    """Return the refusal in a response, or None if it does not state ``not_run``.

    A refusal without ``not_run`` can come from a proxy behind which the request ran.
    """
    if status not in REFUSAL_STATUSES or len(body) > MAX_REFUSAL_BYTES:
        return None
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(value, dict):
        return None
    error = value.get("error", value)
    if not isinstance(error, dict) or error.get("not_run") is not True:
        return None
    return RefusedNotRun(str(error.get("code", "")), str(error.get("message", "")))
