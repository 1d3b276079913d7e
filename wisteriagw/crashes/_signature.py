"""Prompt parts that explain a set of crashes."""

from __future__ import annotations

from typing import NamedTuple


class Signature(NamedTuple):
    """Parts that were open together at each of some crashes.

    Attributes
    ----------
    parts : frozenset of str
        One of them, or their combination, causes the crashes. Prompts that hold only
        some of them tell which.
    crashes : frozenset of str
        Crashes that the parts explain.
    first_at : float
        Time of the first of the crashes in seconds.
    """

    parts: frozenset[str]
    crashes: frozenset[str]
    first_at: float
