"""Notices of backend servers, as known to this VM and its peers."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from wisteriagw.gateway.notices._notice_queue import NoticeQueue
from wisteriagw.gateway.notices._request_limiter import RequestLimiter
from wisteriagw.gateway.notices._rows import KINDS, decode_rows, encode_rows
from wisteriagw.notices import NoticeTable, RateLimit, list_notices
from wisteriagw.placement import WorkTable

if TYPE_CHECKING:
    from collections.abc import Callable, Collection
    from typing import Any

    from wisteriagw.fleet import BackendServer
    from wisteriagw.messages import ServerNotices

logger = logging.getLogger(__name__)

# Ages in messages leave out the time on the way through relays, so that a notice seems
# to be given later by this much at most.
MAX_DELAY_SECONDS = 0.5


class NoticeBoard:
    """Tells the other VMs what a server said to this one or to the store.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.
    work : WorkTable or None
        Requests of all VMs at the servers, by which limits are shared.
    vm : str
        This VM.

    Attributes
    ----------
    limiter : RequestLimiter
        Part of this VM in the limits that servers named.
    table : NoticeTable
        What is known of each server.
    reports : NoticeQueue
        Notices of this VM for its peers.
    on_report : callable
        Called without arguments when a notice for the peers was added.
    on_change : callable
        Called with the name of a server when something new is known of it.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        work: WorkTable | None = None,
        vm: str = "",
    ) -> None:
        self.table = NoticeTable()
        self.limiter = RequestLimiter(self.table, work or WorkTable(), vm)
        self.reports = NoticeQueue()
        self.on_report: Callable[[], None] = _ignore
        self.on_change: Callable[[str], None] = _ignore
        self._clock = clock

    def record(self, notice: Any) -> None:
        """Record a notice that a server has just given."""
        now = self._clock()
        if not self.table.record(notice, now):
            return
        self._log(notice)
        self.reports.add(notice, now)
        self.on_report()
        self.on_change(notice.server)

    def find_wait(self, server: BackendServer, now: float) -> float:
        """Return the seconds until a server wants requests of this VM again."""
        return max(
            self.table.find_pause(server, now), self.limiter.find_wait(server, now)
        )

    def apply_reports(self, reports: ServerNotices, now: float) -> ServerNotices:
        """Apply the notices of a peer; return those that are new to this VM."""
        changed = []
        for notice, at in decode_rows(reports, now):
            if self.table.record(notice, at, MAX_DELAY_SECONDS):
                self._log(notice)
                changed.append((notice, at))
                self.on_change(notice.server)
        return encode_rows(changed, now)

    def list_repeated(self, now: float) -> ServerNotices:
        """Return all notices in force, for VMs that missed them."""
        return encode_rows(list_notices(self.table, now), now)

    def count_in_force(self) -> dict[str, int]:
        """Return the notices in force by kind; ended limits do not count."""
        counts = {kind.__name__: 0 for kind in KINDS.values()}
        for notice, _ in list_notices(self.table, self._clock()):
            if not isinstance(notice, RateLimit) or math.isfinite(notice.rate):
                counts[type(notice).__name__] += 1
        return counts

    def expire(self, registered: Collection[str]) -> None:
        """Forget servers that are gone; must be called periodically."""
        self.table.expire(registered, self._clock())

    def _log(self, notice: Any) -> None:
        logger.info("notice of a backend server: %s", notice)


def _ignore(*arguments: str) -> None:
    """Do nothing while nobody listens."""
