"""Background tasks that run concurrently with the requests."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError, Deferred

if TYPE_CHECKING:
    from collections.abc import Coroutine

logger = logging.getLogger(__name__)


def start_background(coroutine: Coroutine[Any, Any, None], what: str) -> Deferred[None]:
    """Run a coroutine; an error that ends it is logged, unless it was cancelled."""
    running = Deferred.fromCoroutine(coroutine)
    running.addErrback(_log_end, what)
    return running


def _log_end(failure: Any, what: str) -> None:
    if not failure.check(CancelledError):
        logger.error("%s ended: %s", what, failure.getTraceback())
