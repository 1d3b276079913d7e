"""Step definitions for the gateway."""

from __future__ import annotations

import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

from behave import given, then, when

from features.steps._programs import BIN
from tests.soak._caller import PROMPT_HEADERS
from tests.soak._fleet import CUSTOMERS, SERVER_PORTS, SETTINGS, build_configuration
from wisteriagw.standins._backend_server_stand_in import EVENTS_PER_STREAM

READY_TIMEOUT_SECONDS = 15.0
STOP_TIMEOUT_SECONDS = 12.0


def write_settings(context, text: str) -> str:
    """Write a settings file that is removed after the scenario."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "settings.toml"
    path.write_text(text)
    return str(path)


def reserve_ports(programs, name: str, count: int) -> int:
    """Reserve consecutive free ports under a name and return the first."""
    while True:
        port = int(programs.reserve(name).rpartition(":")[2])
        if all(is_free(port + offset) for offset in range(1, count)):
            return port


def is_free(port: int) -> bool:
    """Return whether nothing listens on a loopback port."""
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) != 0


@given("a settings file of a gateway with two faults")
def step_write_faults(context) -> None:
    text = SETTINGS.format(vm="vm-1", front=1, directory=2, peers=3, link=4)
    text = text.replace("revoke_ms = 5000", 'revoke_ms = "soon"')
    context.path = write_settings(context, text.replace('zone = "north"', ""))


@then("the check reports both faults and exits with status 2")
def step_check(context) -> None:
    command = [str(BIN / "wisteriagw-gateway"), "--check", "--settings", context.path]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 2, done
    assert "bounds.revoke_ms" in done.stderr, done.stderr
    assert "zone" in done.stderr, done.stderr


@given("a platform stand-in and a gateway")
def step_start(context) -> None:
    programs = context.programs
    platform = reserve_ports(programs, "platform", SERVER_PORTS)
    address = programs.addresses["platform"]
    programs.start("platform", "wisteriagw-standin-platform", "--listen", address)
    programs.wait_until_listening("platform")
    body = build_configuration(1, CUSTOMERS)
    request = urllib.request.Request(f"http://{address}/configuration", body)
    urllib.request.urlopen(request, timeout=10).close()
    front = reserve_ports(programs, "front", 4)
    programs.addresses["ready"] = f"127.0.0.1:{front + 1}"
    text = SETTINGS.format(
        vm="vm-1", front=front, directory=front + 1, peers=front + 2, link=platform
    )
    programs.start(
        "gateway",
        "wisteriagw-gateway",
        "--settings",
        write_settings(context, text),
        "--metrics-port",
        str(front + 3),
    )
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    programs.wait_until_listening("ready")
    while programs.call("ready", "GET", "/ready")[0] != 200:
        assert time.monotonic() < deadline, "the gateway did not become ready in time"
        time.sleep(0.1)


@when("a stream is requested and the gateway gets a signal to stop")
def step_stop(context) -> None:
    headers = {name.decode(): value.decode() for name, value in PROMPT_HEADERS}
    headers |= {
        "Host": "a.example",
        "X-Wisteriagw-Request-Id": "r1",
        "Authorization": f"Token k-{CUSTOMERS[0]}",
    }
    address = context.programs.addresses["front"]
    request = urllib.request.Request(f"http://{address}/ask/x", b"body", headers)
    context.stream = urllib.request.urlopen(request, timeout=20)
    context.programs.processes["gateway"].send_signal(signal.SIGTERM)


@then("the stream completes and the gateway exits by itself")
def step_ended(context) -> None:
    body = context.stream.read()
    assert body.count(b"id: ") == EVENTS_PER_STREAM, body
    process = context.programs.processes["gateway"]
    assert process.wait(timeout=STOP_TIMEOUT_SECONDS) == 0
