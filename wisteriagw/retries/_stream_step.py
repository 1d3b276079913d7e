"""Next step of a lost stream."""

from __future__ import annotations

from enum import Enum


class StreamStep(Enum):
    """Next step of a stream whose engine connection was lost."""

    RESUME = "resume at the same engine"
    RESTART = "start again elsewhere"
    CONTINUE = "continue elsewhere after the tokens that were sent"
    END = "end as incomplete"
