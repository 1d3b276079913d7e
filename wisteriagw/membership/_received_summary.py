"""Summary of other data centres as a VM received it from a relay."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.membership._remote_summary import RemoteSummary


class ReceivedSummary(NamedTuple):
    """A summary and the time at which everything in it was last known to hold."""

    summary: RemoteSummary
    proved_at: float
