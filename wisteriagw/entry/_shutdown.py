"""Graceful shutdown that aborts no request."""

from __future__ import annotations

import logging
from typing import Any

from twisted.internet.task import LoopingCall

logger = logging.getLogger(__name__)

CHECK_SECONDS = 0.1
# Results of calls are appended to the log within this time after their response.
FLUSH_SECONDS = 0.5


class Shutdown:
    """Announces the shutdown, then refuses new requests, then stops the process.

    Attributes
    ----------
    leaving : bool
        Callers are told to use other VMs. They are still served, because addresses
        that were sent to them stay valid for some time.
    refusing : bool
        New requests are refused.
    active_requests : int
        Requests of callers that are not finished.
    """

    def __init__(self, reactor: Any, drain_seconds: float) -> None:
        self.leaving = False
        self.refusing = False
        self.active_requests = 0
        self._reactor = reactor
        self._drain_seconds = drain_seconds

    def begin(self) -> None:
        """Start the drain period; a second call has no effect."""
        if self.leaving:
            return
        self.leaving = True
        logger.info("leaving: new requests are taken for %s s", self._drain_seconds)
        self._reactor.callLater(self._drain_seconds, self._refuse)

    def track(self, request: Any) -> None:
        """Count a request until it is finished or its caller has disconnected."""
        self.active_requests += 1
        request.notifyFinish().addBoth(lambda _: self._count_finished())

    def _count_finished(self) -> None:
        self.active_requests -= 1

    def _refuse(self) -> None:
        self.refusing = True
        logger.info(
            "finishing %d requests",
            self.active_requests,
        )
        self._checking = LoopingCall(self._check)
        self._checking.clock = self._reactor
        self._checking.start(CHECK_SECONDS)

    def _check(self) -> None:
        if self.active_requests > 0:
            return
        self._checking.stop()
        self._reactor.callLater(FLUSH_SECONDS, self._reactor.stop)
