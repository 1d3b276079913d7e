"""Closing of usage windows and sending of reports."""

from __future__ import annotations

import logging
from collections.abc import Generator
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, inlineCallbacks

from wisteriagw.clients import UsageUnavailableError
from wisteriagw.records import (
    FiguresRecorded,
    WindowReported,
    WindowSealed,
    encode_record,
)
from wisteriagw.usage import (
    SEAL_GRACE_SECONDS,
    USAGE_STREAM,
    WINDOW_SECONDS,
    RecordFigures,
    SealWindows,
    SendReport,
    decide_reporting_steps,
    get_newest_closable_window,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.clients import LogClient, UsageClient
    from wisteriagw.follower import StreamFollower
    from wisteriagw.leases import LeaseController

logger = logging.getLogger(__name__)


class Reporter:
    """Reports usage while its process holds the authority.

    Parameters
    ----------
    lease : LeaseController
        Lease of the authority ``usage``.
    follower : StreamFollower
        Reader of the usage stream.
    log : LogClient
        Access to the log.
    client : UsageClient
        Access to the usage interface.
    wall_clock : callable
        Returns the wall time that determines the windows.
    checks_fencing : bool
        Whether the usage interface refuses old fencing numbers.
    window_seconds, grace_seconds : float
        Length of a window, and the time after its end until it is closed.
    """

    def __init__(
        self,
        lease: LeaseController,
        follower: StreamFollower,
        log: LogClient,
        client: UsageClient,
        wall_clock: Callable[[], float],
        checks_fencing: bool,
        window_seconds: float = WINDOW_SECONDS,
        grace_seconds: float = SEAL_GRACE_SECONDS,
    ) -> None:
        self._lease = lease
        self._follower = follower
        self._log = log
        self._client = client
        self._wall_clock = wall_clock
        self._checks_fencing = checks_fencing
        self._window_timing = (window_seconds, grace_seconds)

    @inlineCallbacks
    def run_cycle(self) -> Generator[Deferred[Any], Any, None]:
        """Run the reporting steps that are due; fails with LogUnavailableError."""
        number = self._lease.get_fencing_number()
        if number is None:
            return
        yield self._follower.poll()
        if self._follower.state_incomplete:
            return
        may_send = self._may_send()
        closable = get_newest_closable_window(self._wall_clock(), *self._window_timing)
        for step in decide_reporting_steps(self._follower.state, closable):
            # The lease may have lapsed while the last step waited for its reply.
            if self._lease.get_fencing_number() != number:
                return
            if isinstance(step, SendReport) and not may_send:
                continue
            yield self._execute(step, number)

    def _may_send(self) -> bool:
        """Return whether no earlier holder can still send a report."""
        unproved = self._lease.list_unproved_holders()
        if not unproved or self._checks_fencing:
            return True
        names = ", ".join(former.vm for former in unproved)
        logger.warning(
            "usage reports are held until the end of earlier holders is proved: %s",
            names,
        )
        return False

    @singledispatchmethod
    def _execute(self, step: Any, number: int) -> Deferred[Any]:
        raise TypeError(f"no action for {type(step).__name__}")

    @_execute.register
    def _(self, step: SealWindows, number: int) -> Deferred[Any]:
        return self._append(WindowSealed(step.window, number))

    @_execute.register
    def _(self, step: RecordFigures, number: int) -> Deferred[Any]:
        return self._append(FiguresRecorded(step.window, number, step.rows))

    @_execute.register
    @inlineCallbacks
    def _(self, step: SendReport, number: int) -> Generator[Deferred[Any], Any, None]:
        self._lease.busy = True
        try:
            yield self._client.report(step.window, step.customer, step.rows, number)
        except UsageUnavailableError as error:
            logger.warning("window %d is reported again later: %s", step.window, error)
            return
        finally:
            self._lease.busy = False
        yield self._append(WindowReported(step.window, step.customer, number))

    def _append(self, record: Any) -> Deferred[Any]:
        return self._log.append(USAGE_STREAM, encode_record(record))
