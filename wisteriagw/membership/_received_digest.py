"""Summary of a data centre as a relay heard it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.messages import DigestPush


class ReceivedDigest(NamedTuple):
    """A digest and the time since which everything in it was certainly true."""

    digest: DigestPush
    proved_at: float
