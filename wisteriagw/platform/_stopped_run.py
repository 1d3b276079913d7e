"""Answers to orders that stop a run and move its KV cache."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.platform._responses import MISDIRECTED, decode_handle

if TYPE_CHECKING:
    from wisteriagw.outcomes import Done

NOT_FOUND = 404
# The run is stopped in both cases, and the handle names its KV cache.
MOVED = 200
NO_ROOM = 503


def reports_no_run(answer: Done) -> bool:
    """Return whether the answer states that the engine does not run the request."""
    return answer.status in (NOT_FOUND, MISDIRECTED)


def decode_stopped_run(answer: Done) -> tuple[str, bool] | None:
    """Return the handle of a stopped run's KV cache, and whether it was moved.

    None means that the answer does not state that the run was stopped.
    """
    if answer.status not in (MOVED, NO_ROOM):
        return None
    handle = decode_handle(answer.body)
    return None if handle is None else (handle, answer.status == MOVED)
