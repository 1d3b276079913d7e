"""Shutdown that cuts no request."""

from __future__ import annotations

import logging
from typing import Any

from twisted.internet.task import LoopingCall

logger = logging.getLogger(__name__)

CHECK_SECONDS = 0.1
# Results of calls are appended to the log within this time after their answer.
FLUSH_SECONDS = 0.5


class Shutdown:
    """Announces that the process leaves, then refuses, then ends it.

    Attributes
    ----------
    leaving : bool
        Callers are told to go elsewhere; they are still served, because the addresses
        that they were given stay valid for a while.
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
        """Start to leave; a second call changes nothing."""
        if self.leaving:
            return
        self.leaving = True
        logger.info("leaving: new requests are taken for %s s", self._drain_seconds)
        self._reactor.callLater(self._drain_seconds, self._refuse)

    def count(self, request: Any) -> None:
        """Count a request until it is finished or its caller has left."""
        self.active_requests += 1
        request.notifyFinish().addBoth(lambda _: self._uncount())

    def _uncount(self) -> None:
        self.active_requests -= 1

    def _refuse(self) -> None:
        self.refusing = True
        logger.info("finishing %d requests", self.active_requests)
        self._checking = LoopingCall(self._check)
        self._checking.clock = self._reactor
        self._checking.start(CHECK_SECONDS)

    def _check(self) -> None:
        if self.active_requests > 0:
            return
        self._checking.stop()
        self._reactor.callLater(FLUSH_SECONDS, self._reactor.stop)
