"""Reason why a change of the configuration is refused."""

from __future__ import annotations

from typing import NamedTuple


class Refusal(NamedTuple):
    """Reason why a configuration record has no effect.

    Attributes
    ----------
    code : str
        ``conflict`` or ``not_found``.
    message : str
        Human-readable reason.
    winner : str
        Operator whose sheet is in force; empty unless two sheets conflict.
    revision : int
        Revision of the sheet in force; -1 unless two sheets conflict.
    """

    code: str
    message: str
    winner: str = ""
    revision: int = -1
