"""Planned stop of a gateway process."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from wisteriagw.routes import Stop

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.connections import ServerFactory
    from wisteriagw.gateway._request_handler import RequestHandler
    from wisteriagw.gateway._usage_writer import UsageWriter
    from wisteriagw.platform import NodeSettings

logger = logging.getLogger(__name__)

# Time to exit before the platform kills the process after the signal to stop.
EXIT_MARGIN_SECONDS = 0.7
BUSY_CHECK_INTERVAL_SECONDS = 0.1
# Longest time that callers may cache addresses. VMs come and go without notice, so it
# is short; each query costs a call.
MAX_ADDRESS_SECONDS = 2.0
# Callers that resolved this VM's address use it for up to three times the time that
# they may cache it.
LINGER_FACTOR = 3.0
# Part of the grace time within which a process ends that has nothing left to answer.
IDLE_STOP_FRACTION = 0.5


class ShutdownSequence:
    """Finishes open requests and writes the usage, within the grace time.

    Peers and backend servers are not waited for beyond the open requests. The store is,
    but only while there are counts that it does not have.
    """

    def __init__(
        self,
        reactor: Any,
        settings: NodeSettings,
        front: ServerFactory,
        requests: RequestHandler,
        usage_writer: UsageWriter,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._front = front
        self._requests = requests
        self._usage_writer = usage_writer

    async def run(self, get_window: Callable[[], int]) -> None:
        """Stop serving and write the usage up to the window of that time.

        Parameters
        ----------
        get_window : callable
            Returns the current usage window. The stop can take longer than a window,
            so the window at its start is not the last one with requests.
        """
        started = self._reactor.seconds()
        grace = self._settings.shutdown_seconds - EXIT_MARGIN_SECONDS
        self._front.closing = True
        self._requests.stop = Stop(started, started + grace)
        linger = min(grace, LINGER_FACTOR * find_address_seconds(self._settings))
        while True:
            elapsed = self._reactor.seconds() - started
            if elapsed >= grace:
                break
            if elapsed >= linger and not self._front.count_busy():
                break
            await deferLater(self._reactor, BUSY_CHECK_INTERVAL_SECONDS)
        # Requests that arrive while the usage is written are refused.
        self._requests.stop = Stop(started, self._reactor.seconds())
        self._requests.end_requests()
        end_window = get_window() + 1
        writing = Deferred.fromCoroutine(self._usage_writer.write(end_window))
        # Counts that are not written are lost with the process, so an outage of the
        # store is waited for as long as the platform allows.
        left = started + grace - self._reactor.seconds()
        writing.addTimeout(max(EXIT_MARGIN_SECONDS / 2, left), self._reactor)
        try:
            await writing
        except Exception as error:
            logger.warning("usage not written before exit: %s", error)
        logger.info(
            "stopped after %.2f s with %d open requests",
            self._reactor.seconds() - started,
            self._front.count_busy(),
        )


def find_address_seconds(settings: NodeSettings) -> float:
    """Return the seconds for which callers may cache the address of a VM.

    A process that stops serves the callers that have its address, so the time is short
    enough for an idle process to end within ``IDLE_STOP_FRACTION`` of the grace time.
    """
    idle_stop = IDLE_STOP_FRACTION * settings.shutdown_seconds - EXIT_MARGIN_SECONDS
    longest = min(MAX_ADDRESS_SECONDS, settings.address_seconds)
    return min(longest, max(0.0, idle_stop) / LINGER_FACTOR)
