"""Error of a stream whose engine cannot be reached."""

from __future__ import annotations

from wisteriagw.connections import ResponseLostError


class EngineUnreachableError(ResponseLostError):
    """An engine was silent and accepted no connection either."""
