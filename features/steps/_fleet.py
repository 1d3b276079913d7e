"""A small fleet of stand-ins and entry processes for a scenario."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

from wisteriagw.config import COLUMNS

if TYPE_CHECKING:
    from features.steps._programs import Programs

CONFIG_READ_TIMEOUT_SECONDS = 10.0


def start_fleet(programs: Programs, entries: int) -> str:
    """Start a log, an engine, a service and entry processes; return an API key."""
    log = programs.reserve("log")
    programs.start("log", "wisteriagw-standin-log", "--listen", log)
    engine = programs.reserve("engine")
    programs.start("engine", "wisteriagw-standin-engine", "--listen", engine)
    service = programs.reserve("service")
    programs.start("service", "wisteriagw-standin-service", "--listen", service)
    for name in ("log", "engine", "service"):
        programs.wait_until_listening(name)
    for number in range(1, entries + 1):
        start_entry(programs, number, log)
    for number in range(1, entries + 1):
        programs.wait_until_listening(f"entry-{number}")
        programs.wait_until_listening(f"operators-{number}")
    return configure(programs)


def start_entry(programs: Programs, number: int, log: str, *arguments: str) -> None:
    """Start one entry process."""
    programs.start(
        f"entry-{number}",
        "wisteriagw-entry",
        "--vm",
        f"vm-{number}",
        "--data-centre",
        f"dc{number}",
        "--listen",
        programs.reserve(f"entry-{number}"),
        "--operator-listen",
        programs.reserve(f"operators-{number}"),
        "--log",
        log,
        *arguments,
    )


def build_sheet(programs: Programs) -> str:
    """Return the sheet of the fleet, in 7 rows."""
    engine, service = programs.addresses["engine"], programs.addresses["service"]
    rows = [
        ",".join(COLUMNS),
        "customer,market,,,,,,,1,0,,,,,,",
        "model,ledger,1,,,,,,,,,,,,,",
        f"engine,engine-a,,,dc1,{engine},ledger,mixed,,,yes,no,,,,",
        f"service,levy-a,,,dc1,{service},levy,,,,,no,,,,",
        "route,,,,,,levy,,,,,,GET,/sheets,yes,no",
        "route,,,,,,levy,,,,,,POST,/adjustments,no,no",
    ]
    return "\n".join(rows)


def configure(programs: Programs) -> str:
    """Create a customer, publish a sheet and return the customer's key."""
    sheet = build_sheet(programs)
    programs.call("operators-1", "POST", "/v1/customers", {"customer": "market"})
    programs.call("operators-1", "POST", "/v1/sheets", {"sheet": sheet})
    _, body = programs.call("operators-1", "POST", "/v1/keys", {"customer": "market"})
    reply = json.loads(body)
    wait_for_revision(programs, reply["revision"])
    return reply["key"]


def wait_for_revision(programs: Programs, revision: int) -> None:
    """Wait until every entry process has read a revision of the configuration."""
    deadline = time.monotonic() + CONFIG_READ_TIMEOUT_SECONDS
    names = [name for name in programs.addresses if name.startswith("entry-")]
    for name in names:
        while time.monotonic() < deadline:
            _, body = programs.call(name, "GET", "/healthz")
            if json.loads(body)["config_revision"] >= revision:
                break
            time.sleep(0.05)
        else:
            raise AssertionError(f"{name} has not read revision {revision}")
