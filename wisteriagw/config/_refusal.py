"""Why a change of the configuration has no effect."""

from __future__ import annotations

from typing import NamedTuple


class Refusal(NamedTuple):
    """The reason that a record changes nothing.

    Attributes
    ----------
    code : str
        ``conflict`` or ``not_found``.
    message : str
        The reason in words.
    winner : str
        Operator whose sheet won, empty for other reasons.
    revision : int
        Revision of the sheet that won, -1 for other reasons.
    """

    code: str
    message: str
    winner: str = ""
    revision: int = -1
