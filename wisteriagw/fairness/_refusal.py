"""Early refusal of requests that would be late."""

from __future__ import annotations

from typing import NamedTuple


class Refusal(NamedTuple):
    """A request that was truly not run, with the code for the caller and the reason."""

    handle: str
    code: str
    message: str
