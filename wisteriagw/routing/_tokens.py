"""Estimate of the number of tokens in a text."""

from __future__ import annotations

CHARACTERS_PER_TOKEN = 4


def estimate_tokens(text: str) -> int:
    """Return the estimated number of tokens; the engine reports the exact one."""
    return len(text) // CHARACTERS_PER_TOKEN + 1
