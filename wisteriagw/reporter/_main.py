"""The usage program."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater
from twisted.web.resource import Resource
from twisted.web.server import Site

from wisteriagw.clients import LogUnavailableError
from wisteriagw.http import BoundedRequest, HttpClient
from wisteriagw.leases import maintain_lease, release_lease
from wisteriagw.reporter._options import OPTIONS
from wisteriagw.reporter._reporter_context import ReporterContext
from wisteriagw.reporter._status_resource import StatusResource
from wisteriagw.settings import load_settings
from wisteriagw.telemetry import GAUGE_INTERVAL_SECONDS, start_logging

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

logger = logging.getLogger(__name__)

PROGRAM = "wisteriagw-usage"
DESCRIPTION = "Closes usage windows and reports them, one process at a time."


def main() -> None:
    """Run the usage program."""
    settings = load_settings(PROGRAM, DESCRIPTION, OPTIONS)
    start_logging("usage", settings["log-level"])
    context = ReporterContext(settings, HttpClient(reactor))
    root = Resource()
    root.putChild(b"status", StatusResource(context))
    host, port = settings["listen"]
    # The address is bound before the first claim and until the process ends: a later
    # process that can bind it thereby proves that this one has ended.
    site = Site(root, requestFactory=BoundedRequest)
    reactor.listenTCP(port, site, interface=host)
    # The lease has a loop of its own: a report that waits for its reply must not delay
    # the renewal.
    for cycle in (follow, report):
        LoopingCall(_run_logged, cycle, context).start(settings["poll-seconds"])
    LoopingCall(_send_gauges, context).start(GAUGE_INTERVAL_SECONDS)
    reactor.addSystemEventTrigger("before", "shutdown", _release, context)
    reactor.run()


def _send_gauges(context: ReporterContext) -> None:
    number = context.lease.get_fencing_number()
    context.metrics.send("lease.held", int(number is not None))
    context.metrics.send("usage.unreported", len(context.list_unreported()))


def _run_logged(cycle: Any, context: ReporterContext) -> Deferred[None]:
    """Run one cycle of a loop; an unexpected error must not end the loop."""
    return cycle(context).addErrback(_log_fault)


def _log_fault(failure: Any) -> None:
    if failure.check(LogUnavailableError):
        logger.warning("the log is not available: %s", failure.getErrorMessage())
        return
    logger.error("%s", failure.getTraceback())


@inlineCallbacks
def follow(context: ReporterContext) -> Generator[Deferred[Any], Any, None]:
    """Read the VM list and keep the lease; fails with LogUnavailableError."""
    yield maintain_lease(context.lease, context.vm_list, context.clock)


@inlineCallbacks
def report(context: ReporterContext) -> Generator[Deferred[Any], Any, None]:
    """Run the reporting steps that are due; fails with LogUnavailableError."""
    if context.lease.get_fencing_number() is None:
        # A standby process that follows the stream can take over at once.
        yield context.follower.poll()
        return
    yield context.reporter.run_cycle()
    yield context.checkpoints.write_if_due()


@inlineCallbacks
def _release(context: ReporterContext) -> Generator[Deferred[Any], Any, None]:
    """Release the authority, so that others need not wait for the end of its term."""
    wait = partial(deferLater, reactor, context.settings["poll-seconds"])
    yield release_lease(context.lease, context.clock, wait)
