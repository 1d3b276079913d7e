"""Early refusal of requests that would be late."""

from __future__ import annotations

from typing import NamedTuple


class Refusal(NamedTuple):
    """A request that was not run, with the error code and message for the caller."""

    handle: str
    code: str
    message: str
