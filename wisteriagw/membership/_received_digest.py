"""Digest of a data centre as a relay received it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.messages import DigestPush


class ReceivedDigest(NamedTuple):
    """A digest and the time at which everything in it was last known to hold."""

    digest: DigestPush
    proved_at: float
