"""How much of a stream the log keeps."""

from __future__ import annotations

from typing import NamedTuple


class Retention(NamedTuple):
    """Bounds after which the log drops records; whichever comes first applies."""

    records: int
    seconds: float
