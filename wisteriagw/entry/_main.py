"""The entry program."""

from __future__ import annotations

import gc
import logging
import signal
from collections import Counter
from functools import partial
from typing import Any

from twisted.internet import reactor
from twisted.internet.task import LoopingCall, deferLater
from twisted.web.resource import Resource
from twisted.web.server import Site

from wisteriagw.calls import AtMostOnceExecutor, LocalBatcher
from wisteriagw.clients import HttpLogClient, LogUnavailableError
from wisteriagw.clocks import read_boot_time, read_wall_time
from wisteriagw.entry._addresses_resource import AddressesResource
from wisteriagw.entry._caller_root import CallerRoot
from wisteriagw.entry._caller_site import CallerSite
from wisteriagw.entry._chat_resource import ChatResource
from wisteriagw.entry._dispatch_adapter import DispatchAdapter
from wisteriagw.entry._entry_context import EntryContext
from wisteriagw.entry._health_resource import HealthResource
from wisteriagw.entry._load_wiring import start_load_exchange
from wisteriagw.entry._membership_wiring import start_membership
from wisteriagw.entry._models_resource import ModelsResource
from wisteriagw.entry._operator_access import load_operator_token
from wisteriagw.entry._operators_resource import OperatorsResource
from wisteriagw.entry._options import OPTIONS
from wisteriagw.entry._requests_resource import RequestsResource
from wisteriagw.entry._service_resource import ServiceResource
from wisteriagw.entry._status_resource import StatusResource
from wisteriagw.entry._telemetry_reporter import TelemetryReporter
from wisteriagw.entry._usage_replicator import UsageReplicator, start_usage_replication
from wisteriagw.entry._version_resource import VersionResource
from wisteriagw.http import BoundedRequest, HttpClient, PathResource
from wisteriagw.settings import load_settings
from wisteriagw.telemetry import Metrics, start_logging
from wisteriagw.transport import CALLER_TLS, FLEET_TLS, check_tls_files, load_transport

logger = logging.getLogger(__name__)

PROGRAM = "wisteriagw-entry"
DESCRIPTION = "Forwards requests of callers to backend servers."
CHECKS = (
    lambda settings: load_operator_token(settings)[1],
    partial(check_tls_files, names=CALLER_TLS),
    partial(check_tls_files, names=FLEET_TLS),
)


def main() -> None:
    """Run the entry program."""
    settings = load_settings(PROGRAM, DESCRIPTION, OPTIONS, checks=CHECKS)
    token, _ = load_operator_token(settings)
    caller_transport = load_transport(settings, CALLER_TLS)
    fleet_transport = load_transport(settings, FLEET_TLS)
    for transport in (caller_transport, fleet_transport):
        transport.watch_files(reactor)
    writer = start_logging("entry", settings["log-level"])
    client = HttpClient(reactor)
    log = HttpLogClient(client, settings["log"])
    context = EntryContext(
        settings, client, log, read_boot_time, Counter(), partial(deferLater, reactor)
    )
    batcher = LocalBatcher(settings["vm"], log, reactor, read_boot_time, read_wall_time)
    context.call_executor = AtMostOnceExecutor(batcher, read_boot_time)
    context.dispatch = DispatchAdapter(context, reactor.callLater)
    polling = LoopingCall(_poll_config, context)
    polling.start(settings["config-poll-seconds"])
    usage = UsageReplicator(context)
    start_usage_replication(usage, reactor)
    start_membership(context, reactor, usage, fleet_transport)
    start_load_exchange(context)
    telemetry = TelemetryReporter(
        context,
        Metrics(settings["statsd"], "entry", settings["vm"]),
        writer,
        log_lines=settings["log-level"] in ("debug", "info"),
    )
    site = CallerSite(build_caller_root(context), read_boot_time, telemetry.report)
    telemetry.start(site)
    caller_transport.listen(reactor, settings["listen"], site)
    operators = Resource()
    operators.putChild(b"v1", OperatorsResource(context, token))
    operators.putChild(
        b"status",
        StatusResource(
            context, token, lambda: (site.open_requests, writer.dropped_lines)
        ),
    )
    operator_site = Site(operators, requestFactory=BoundedRequest)
    fleet_transport.listen(reactor, settings["operator-listen"], operator_site)
    # A full collection scans the objects of all modules and blocks the loop for 30 ms.
    gc.collect()
    gc.freeze()
    reactor.callWhenRunning(_install_sigterm_handler, context)
    reactor.run()


def build_caller_root(context: EntryContext) -> Resource:
    """Return the resource tree of the caller interface."""
    root = CallerRoot(context.shutdown)
    root.putChild(b"healthz", HealthResource(context))
    version = VersionResource(context)
    root.putChild(b"v1", version)
    chat = PathResource()
    version.putChild(b"chat", chat)
    chat.putChild(b"completions", ChatResource(context))
    version.putChild(b"models", ModelsResource(context))
    version.putChild(b"services", ServiceResource(context))
    version.putChild(b"requests", RequestsResource(context))
    version.putChild(b"addresses", AddressesResource(context))
    return root


def _install_sigterm_handler(context: EntryContext) -> None:
    # Installed after the reactor's own handlers, which would stop it at once.
    signal.signal(
        signal.SIGTERM, lambda *_: reactor.callFromThread(_begin_shutdown, context)
    )


def _begin_shutdown(context: EntryContext) -> None:
    context.membership.leaving = True
    context.shutdown.begin()


def _poll_config(context: EntryContext) -> Any:
    polled = context.poll_config()
    polled.addErrback(_handle_log_unavailable)
    return polled


def _handle_log_unavailable(failure: Any) -> None:
    failure.trap(LogUnavailableError)
    logger.warning("the log cannot be read: %s", failure.getErrorMessage())
