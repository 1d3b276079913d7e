"""The usage program."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater
from twisted.web.resource import Resource
from twisted.web.server import Site

from wisteriagw.http import BoundedRequest, HttpClient
from wisteriagw.platform import LogUnavailableError, VmListUnavailableError
from wisteriagw.reporter._options import OPTIONS
from wisteriagw.reporter._reporter_context import ReporterContext
from wisteriagw.reporter._status_resource import StatusResource
from wisteriagw.settings import load_settings
from wisteriagw.telemetry import start_logging

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

logger = logging.getLogger(__name__)

PROGRAM = "wisteriagw-usage"
DESCRIPTION = "Closes usage windows and reports them, one process at a time."
# A release that the log does not take in this time is left to the next process.
RELEASE_SECONDS = 5.0


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
    # The lease has a loop of its own: a report that waits for its reply must not keep
    # the renewal back.
    for turn in (follow, report):
        LoopingCall(_run_logged, turn, context).start(settings["poll-seconds"])
    reactor.addSystemEventTrigger("before", "shutdown", _release, context)
    reactor.run()


def _run_logged(turn: Any, context: ReporterContext) -> Deferred[None]:
    """Run one turn of a loop; an unexpected fault must not end the loop."""
    return turn(context).addErrback(_log_fault)


def _log_fault(failure: Any) -> None:
    if failure.check(LogUnavailableError):
        logger.warning("the log is not available: %s", failure.getErrorMessage())
        return
    logger.error("%s", failure.getTraceback())


@inlineCallbacks
def follow(context: ReporterContext) -> Generator[Deferred[Any], Any, None]:
    """Read the VM list and keep the lease; fails with LogUnavailableError."""
    keeper = context.keeper
    started, through = context.clock(), keeper.through
    try:
        vms = yield context.vm_list.list_vms()
        keeper.set_vms(frozenset(vm.name for vm in vms), started, through)
        # A leaving VM hands the authority over while it still can.
        if (context.settings["vm"], True) in [(vm.name, vm.leaving) for vm in vms]:
            keeper.stopping = True
    except VmListUnavailableError as error:
        logger.warning("the VM list cannot be read: %s", error)
    yield keeper.run_turn()


@inlineCallbacks
def report(context: ReporterContext) -> Generator[Deferred[Any], Any, None]:
    """Take the steps that are due; fails with LogUnavailableError."""
    if context.keeper.get_fencing_number() is None:
        # A process that follows can take over at once.
        yield context.follower.poll()
        return
    yield context.reporter.run_turn()
    yield context.checkpoints.write_if_due()


@inlineCallbacks
def _release(context: ReporterContext) -> Generator[Deferred[Any], Any, None]:
    """Give the authority up so that another process need not wait for the term."""
    keeper = context.keeper
    keeper.stopping = True
    deadline = context.clock() + RELEASE_SECONDS
    # The loop that keeps the lease writes the release.
    while context.clock() < deadline and not keeper.is_released():
        yield deferLater(reactor, context.settings["poll-seconds"])
