"""The control program."""

from __future__ import annotations

import logging
import secrets
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet import reactor
from twisted.internet.defer import gatherResults, inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater
from twisted.web.resource import Resource
from twisted.web.server import Site

from wisteriagw.clients import (
    HttpLogClient,
    LogUnavailableError,
)
from wisteriagw.clocks import read_boot_time
from wisteriagw.control._control_context import ControlContext
from wisteriagw.control._dispatch import (
    dispatch_order,
    read_backends,
    read_engine,
    record_settled_orders,
)
from wisteriagw.control._fleet_planner import FleetPlanner
from wisteriagw.control._options import OPTIONS
from wisteriagw.control._status_resource import StatusResource
from wisteriagw.http import BoundedRequest, HttpClient
from wisteriagw.leases import (
    LeaseController,
    ProcessIdentity,
    maintain_lease,
    release_lease,
)
from wisteriagw.settings import load_settings
from wisteriagw.telemetry import GAUGE_INTERVAL_SECONDS, start_logging

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

logger = logging.getLogger(__name__)

PROGRAM = "wisteriagw-control"
DESCRIPTION = "Gives orders to engines and to the platform, one process at a time."
FLEET_AUTHORITY = "fleet"
INCARNATION_BYTES = 8
# 1,500 engines are then read within a minute at 25 calls a second; an engine that gets
# an order is read again just before it.
MAX_READS_PER_CYCLE = 50
MAX_ORDERS_PER_CYCLE = 20


def main() -> None:
    """Run the control program."""
    settings = load_settings(PROGRAM, DESCRIPTION, OPTIONS)
    start_logging("control", settings["log-level"])
    host, port = settings["listen"]
    identity = ProcessIdentity(
        settings["vm"], secrets.token_hex(INCARNATION_BYTES), f"{host}:{port}"
    )
    client = HttpClient(reactor)
    log = HttpLogClient(client, settings["log"])
    lease = LeaseController(log, FLEET_AUTHORITY, identity, read_boot_time)
    context = ControlContext(settings, client, log, lease, read_boot_time)
    root = Resource()
    root.putChild(b"status", StatusResource(context))
    site = Site(root, requestFactory=BoundedRequest)
    # The address is bound before the first claim and until the process ends: a later
    # process that can bind it thereby proves that this one has ended.
    reactor.listenTCP(port, site, interface=host)
    LoopingCall(_run_logged, follow, context).start(settings["poll-seconds"])
    planner = FleetPlanner(context, client)
    cycle = partial(_plan, planner=planner)
    LoopingCall(_run_logged, cycle, context).start(settings["plan-seconds"], now=False)
    LoopingCall(_send_gauges, context).start(GAUGE_INTERVAL_SECONDS)
    reactor.addSystemEventTrigger("before", "shutdown", _release, context)
    reactor.run()


def _send_gauges(context: ControlContext) -> None:
    number = context.authority.lease.get_fencing_number()
    context.metrics.send("lease.held", int(number is not None))


def _run_logged(function: Any, context: ControlContext) -> Deferred[None]:
    """Run one cycle of a loop; an unexpected error must not end the loop."""
    cycle = function(context)
    cycle.addErrback(lambda failure: logger.error("%s", failure.getTraceback()))
    return cycle


@inlineCallbacks
def follow(context: ControlContext) -> Generator[Deferred[Any], Any, None]:
    """Keep the VM list, the authority and the configuration up to date."""
    lease = context.authority.lease
    try:
        yield maintain_lease(lease, context.vm_list, context.clock)
        yield context.config_follower.poll()
        yield context.orders_follower.poll()
    except LogUnavailableError as error:
        logger.warning("the log cannot be read: %s", error)
    context.authority.refresh()


@inlineCallbacks
def _plan(
    context: ControlContext, planner: FleetPlanner
) -> Generator[Deferred[Any], Any, None]:
    """Run one planning cycle and execute the steps of its orders that are allowed."""
    if context.authority.lease.get_fencing_number() is None:
        return
    names = context.list_stale_engines(MAX_READS_PER_CYCLE)
    readings = [read_engine(context, name) for name in names]
    yield gatherResults([*readings, read_backends(context)])
    orders = yield planner.plan()
    try:
        for order in orders[:MAX_ORDERS_PER_CYCLE]:
            sent_before = planner.get_sent_at(order)
            yield dispatch_order(order, context)
            planner.record_sent(order, sent_before)
        yield record_settled_orders(context)
    except LogUnavailableError as error:
        logger.warning(
            "log unavailable; orders are retried in the next cycle: %s", error
        )
    yield context.audit.flush()
    yield context.checkpoints.write_if_due()


@inlineCallbacks
def _release(context: ControlContext) -> Generator[Deferred[Any], Any, None]:
    """Release the authority, so that others need not wait for the end of its term."""
    wait = partial(deferLater, reactor, context.settings["poll-seconds"])
    yield release_lease(context.authority.lease, context.clock, wait)
    yield context.audit.flush()
