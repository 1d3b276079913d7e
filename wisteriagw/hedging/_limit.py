"""Setting of the extra server time that hedged requests may take."""

from __future__ import annotations

import re

# Beyond a fifth of extra work, hedges load the servers more than they help.
MAX_LIMIT_PERCENT = 20.0
NUMBER = re.compile(r"[0-9]+(\.[0-9]+)?")


def parse_limit(text: str) -> float:
    """Return the percentage in a setting; 0 turns hedging off.

    Raises ValueError if the text is not a number from 0 to 20.
    """
    if NUMBER.fullmatch(text) and float(text) <= MAX_LIMIT_PERCENT:
        return float(text)
    raise ValueError(
        f"must be a percentage from 0 to {MAX_LIMIT_PERCENT:g}, not {text!r}"
    )
