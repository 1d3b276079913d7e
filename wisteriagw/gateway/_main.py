"""Command line of the gateway."""

from __future__ import annotations

import argparse
import gc
import logging
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from wisteriagw import __version__
from wisteriagw.clocks import read_boot_time
from wisteriagw.findings import Finding, format_findings
from wisteriagw.hedging import MAX_LIMIT_PERCENT, parse_limit
from wisteriagw.platform import SETTINGS_VARIABLE, parse_settings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wisteriagw.platform import NodeSettings

logger = logging.getLogger(__name__)

PROGRAM = "wisteriagw-gateway"
EXIT_INVALID_SETTINGS = 2
# The port that Prometheus exporters usually take.
DEFAULT_METRICS_PORT = 9464
# Platforms may also change the settings without a signal.
SETTINGS_CHECK_SECONDS = 2.0


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the gateway of a VM."""
    parser = argparse.ArgumentParser(
        prog=PROGRAM, description="Takes callers' requests on one VM of the platform."
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"Settings file of the platform; default: ${SETTINGS_VARIABLE}.",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=int(os.environ.get("WISTERIAGW_METRICS_PORT", DEFAULT_METRICS_PORT)),
        help="Port of the metrics on this VM; default: $WISTERIAGW_METRICS_PORT or "
        f"{DEFAULT_METRICS_PORT}.",
    )
    parser.add_argument(
        "--hedge-limit",
        type=read_hedge_limit,
        default=os.environ.get("WISTERIAGW_HEDGE_LIMIT", "0"),
        help="Extra server time for second attempts of slow idempotent requests, in "
        f"percent, 0 to {MAX_LIMIT_PERCENT:g}; default: $WISTERIAGW_HEDGE_LIMIT or 0, "
        "which is off.",
    )
    parser.add_argument(
        "--usage-through-relays",
        action="store_true",
        default=os.environ.get("WISTERIAGW_USAGE_THROUGH_RELAYS") == "true",
        help="Let a relay write the usage of the VMs of its data centre, which saves "
        "calls to the store; default: off, or on if $WISTERIAGW_USAGE_THROUGH_RELAYS "
        "is true. Known fault: USAGE-4 in KNOWN-RED.txt.",
    )
    parser.add_argument(
        "--check", action="store_true", help="Check the settings file and exit."
    )
    options = parser.parse_args(arguments)
    settings = read_settings(options.settings)
    if isinstance(settings, list):
        sys.stderr.write(format_findings(settings) + "\n")
        sys.exit(EXIT_INVALID_SETTINGS)
    if not options.check:
        run(settings, options)


def read_settings(path: str | None) -> NodeSettings | list[Finding]:
    """Return the settings in a file, or all its faults."""
    if not path:
        return [Finding("--settings", f"must be given, or {SETTINGS_VARIABLE} be set")]
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return [Finding(path, str(error))]
    return parse_settings(text)


def read_hedge_limit(text: str) -> float:
    """Return the limit in the setting; other values end the process with status 2."""
    try:
        return parse_limit(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from error


def run(settings: NodeSettings, options: argparse.Namespace) -> None:
    """Run the process until it is stopped."""
    from twisted.internet import reactor
    from twisted.python.log import PythonLoggingObserver

    # Timers must not follow the time of day, which may jump.
    reactor.seconds = read_boot_time
    from wisteriagw.gateway._node import Node
    from wisteriagw.gateway._settings_monitor import SettingsMonitor
    from wisteriagw.telemetry import start_logging

    start_logging(PROGRAM, stream=sys.stdout)
    PythonLoggingObserver("wisteriagw.twisted").start()
    logging.getLogger("wisteriagw.twisted").setLevel(logging.ERROR)
    node = Node(
        reactor,
        settings,
        options.metrics_port,
        options.hedge_limit,
        options.usage_through_relays,
    )
    path = options.settings
    monitor = SettingsMonitor(reactor, settings, lambda: read_settings(path))
    reactor.callWhenRunning(node.start)
    reactor.callWhenRunning(monitor.start, SETTINGS_CHECK_SECONDS)
    reactor.addSystemEventTrigger(
        "before", "shutdown", lambda: Deferred.fromCoroutine(node.stop())
    )
    signal.signal(signal.SIGHUP, build_reload_handler(reactor, monitor))
    # Imported objects live as long as the process: exempt them from later collections.
    gc.collect()
    gc.freeze()
    reactor.run()


def build_reload_handler(reactor: Any, monitor: Any) -> Any:
    """Return a signal handler that checks the settings."""

    def reload(number: int, frame: Any) -> None:
        reactor.callFromThread(monitor.check, "signal")

    return reload
