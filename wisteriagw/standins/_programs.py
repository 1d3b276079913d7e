"""Programs of the stand-ins."""

from __future__ import annotations

import os
from typing import Any

from twisted.internet import reactor
from twisted.internet.task import LoopingCall
from twisted.web.server import Site

from wisteriagw.clocks import read_boot_time, read_wall_time
from wisteriagw.http import BoundedRequest
from wisteriagw.settings import (
    AddressKind,
    ChoiceKind,
    IntegerKind,
    NumberKind,
    Option,
    load_settings,
)
from wisteriagw.standins._backends_resource import BackendsResource
from wisteriagw.standins._backends_store import BackendsStore
from wisteriagw.standins._delayed_reports import DelayedReports
from wisteriagw.standins._engine import Engine
from wisteriagw.standins._engine_orders import EngineOrders
from wisteriagw.standins._engine_orders_resource import EngineOrdersResource
from wisteriagw.standins._engine_resource import EngineResource
from wisteriagw.standins._engine_root import EngineRoot
from wisteriagw.standins._engine_speed import EngineSpeed
from wisteriagw.standins._log_resource import LogResource
from wisteriagw.standins._log_store import LogStore
from wisteriagw.standins._platform_stand_in import PlatformStandIn
from wisteriagw.standins._service_resource import ServiceResource
from wisteriagw.standins._usage_resource import UsageResource
from wisteriagw.standins._vm_list_resource import VmListResource
from wisteriagw.telemetry import start_logging

SAMPLE_SECONDS = 0.1
LISTEN = Option("listen", AddressKind(), None, "Address to listen on.")
RETENTION = Option(
    "retention-records",
    IntegerKind(10, 10_000_000, "records"),
    "1000000",
    "Maximum number of records that the log keeps per stream.",
)
PREFILL_RATE = Option(
    "prefill-tokens-per-second",
    NumberKind(1, 1e9, "tokens/s"),
    "20000",
    "Prompt tokens that the engine processes in a second.",
)
STEP_SECONDS = Option(
    "step-seconds",
    NumberKind(0.0001, 10, "s"),
    "0.01",
    "Duration of a decode step, which adds a token to every running stream.",
)
MAX_WAITING = Option(
    "max-waiting",
    IntegerKind(0, 100_000, "requests"),
    "256",
    "Maximum number of requests that wait in the engine; more are refused.",
)
CHECKS_FENCING = Option(
    "checks-fencing",
    ChoiceKind(("true", "false")),
    "true",
    "Whether the engine refuses orders with an old fencing number.",
)
CHANGE_SECONDS = Option(
    "change-seconds",
    NumberKind(0, 600, "s"),
    "3",
    "Duration of an ordered change.",
)
CRASH_IN_CHANGE = Option(
    "crash-in-change",
    ChoiceKind(("true", "false")),
    "false",
    "Whether the engine exits in the middle of its first change.",
)
REPORT_LAG_SECONDS = Option(
    "report-lag-seconds",
    NumberKind(0, 600, "s"),
    "1",
    "Age of the load that the engine reports.",
)
LAG_SECONDS = Option(
    "lag-seconds",
    NumberKind(0, 600, "s"),
    "1",
    "Delay until a change of the VMs appears in the list.",
)
PROGRAM_OPTIONS = {
    "wisteriagw-standin-platform": (LISTEN,),
    "wisteriagw-standin-log": (LISTEN, RETENTION),
    "wisteriagw-standin-engine": (
        LISTEN,
        PREFILL_RATE,
        STEP_SECONDS,
        MAX_WAITING,
        CHECKS_FENCING,
        CHANGE_SECONDS,
        CRASH_IN_CHANGE,
        REPORT_LAG_SECONDS,
    ),
    "wisteriagw-standin-backends": (LISTEN,),
    "wisteriagw-standin-service": (LISTEN,),
    "wisteriagw-standin-usage": (LISTEN,),
    "wisteriagw-standin-vms": (LISTEN, LAG_SECONDS),
}


def run_log() -> None:
    """Run the log stand-in."""
    settings = _load(
        "wisteriagw-standin-log", "Stand-in for the platform's append-only log."
    )
    store = LogStore(settings["retention-records"])
    _serve("standin-log", settings, LogResource(store, reactor))


def run_engine() -> None:
    """Run the engine stand-in."""
    settings = _load("wisteriagw-standin-engine", "Stand-in for a model engine.")
    speed = EngineSpeed(
        settings["prefill-tokens-per-second"],
        settings["step-seconds"],
        max_waiting=settings["max-waiting"],
    )
    engine = Engine(speed)
    LoopingCall(engine.step, speed.step_seconds).start(speed.step_seconds)
    orders = EngineOrders(
        read_boot_time,
        settings["change-seconds"],
        checks_fencing=settings["checks-fencing"] == "true",
        crash=_crash if settings["crash-in-change"] == "true" else None,
    )
    LoopingCall(orders.step).start(speed.step_seconds)
    reports = DelayedReports(engine, read_boot_time, settings["report-lag-seconds"])
    LoopingCall(reports.sample).start(SAMPLE_SECONDS)
    resource = EngineResource(engine, reports)
    root = EngineRoot(resource, EngineOrdersResource(orders))
    _serve("standin-engine", settings, root)


def run_backends() -> None:
    """Run the backend server interface stand-in."""
    settings = _load(
        "wisteriagw-standin-backends",
        "Stand-in for the platform's backend server interface.",
    )
    resource = BackendsResource(BackendsStore(read_wall_time), reactor)
    _serve("standin-backends", settings, resource)


def run_service() -> None:
    """Run the plain service stand-in."""
    settings = _load("wisteriagw-standin-service", "Stand-in for a plain service.")
    _serve("standin-service", settings, ServiceResource())


def run_usage() -> None:
    """Run the usage interface stand-in."""
    settings = _load("wisteriagw-standin-usage", "Stand-in for the usage interface.")
    _serve("standin-usage", settings, UsageResource())


def run_vm_list() -> None:
    """Run the VM list stand-in."""
    settings = _load(
        "wisteriagw-standin-vms", "Stand-in for the platform's list of VMs."
    )
    resource = VmListResource(settings["lag-seconds"], read_boot_time)
    _serve("standin-vms", settings, resource)


def run_platform() -> None:
    """Run the platform stand-in."""
    settings = _load("wisteriagw-standin-platform", "Stand-in for the platform.")
    reactor.seconds = read_boot_time
    start_logging("wisteriagw-standin-platform")
    PlatformStandIn(reactor, settings["listen"]).start()
    reactor.run()


def _load(program: str, description: str) -> dict[str, Any]:
    return load_settings(program, description, PROGRAM_OPTIONS[program])


def _crash() -> None:
    # A crash runs no shutdown code.
    os._exit(1)


def _serve(program: str, settings: dict[str, Any], resource: Any) -> None:
    start_logging(program)
    host, port = settings["listen"]
    site = Site(resource, requestFactory=BoundedRequest)
    reactor.listenTCP(port, site, interface=host)
    reactor.run()
