"""Processes of a soak: the platform stand-in and some gateways."""

from __future__ import annotations

import json
import os
import pathlib
import random
import signal
import socket
import sys

from twisted.internet.protocol import ProcessProtocol

from tests.soak._faulty_proxy import FaultyProxy

BIN = pathlib.Path(sys.executable).parent
SERVER_PORTS = 8
RESTART_SECONDS = 0.3
# Below the kernel's range of ephemeral ports for outgoing connections.
PORTS = range(15_000, 32_000)
CUSTOMERS = ("t-1", "t-2", "t-3")
SETTINGS = """
node_name = "{vm}"
ip = "127.0.0.1"
zone = "north"
region = "land"
port_range = [{peers}, {peers}]
bootstrap = false
heartbeat_ms = 300
[zones]
north = "land"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{directory}"
directory = "127.0.0.1:{directory}"
[limits]
memory_mb = 300
cpu_share = 0.5
cores = 2
[bounds]
revoke_ms = 5000
budget_ratio = 0.2
budget_slack = 50
budget_window_s = 10
lease_ms = 3000
window_s = 5
usage_late_s = 10
grace_s = 8
drain_ms = 2000
contact_ms = 3000
config_apply_ms = 2000
ttl_max_s = 5
[platform]
address = "127.0.0.1:{link}"
[cloud_api]
address = "127.0.0.1:{link}"
"""


class ChildProcess(ProcessProtocol):
    """A started process; ``on_end`` is called when it has ended."""

    def __init__(self, on_end, log) -> None:
        self.on_end = on_end
        self.log = log
        self.ended = False

    def outReceived(self, data: bytes) -> None:
        """Write the output of the process to the log."""
        if not self.log.closed:
            self.log.write(data)

    errReceived = outReceived

    def processEnded(self, reason) -> None:
        """Notify the owner that the process has ended."""
        self.ended = True
        self.on_end()


class Fleet:
    """Starts, stops and restarts processes; ends only those that it started."""

    def __init__(self, reactor, folder: pathlib.Path, vms: int, seed: int) -> None:
        self.reactor = reactor
        self.folder = folder
        # Faults have random generators of their own, so that a seed gives the same
        # faults whatever the callers draw and whether the store is restored.
        self.fault_random = random.Random(seed)
        self.random = random.Random(seed + 1)
        self.restore_random = random.Random(seed + 2)
        self.closing = False
        self.children: dict[str, ChildProcess] = {}
        self.log = (folder / "log.jsonl").open("wb")
        self.platform = self.find_free_ports(SERVER_PORTS)
        self.proxies: dict[str, FaultyProxy] = {}
        self.front_ports: dict[str, int] = {}
        for number in range(1, vms + 1):
            self.write_settings(f"vm-{number}")

    def find_free_ports(self, count: int) -> int:
        """Return the first of some consecutive free ports."""
        # Ports do not depend on the seed: other programs may use them.
        while True:
            first = random.choice(PORTS)
            if all(self.is_free(first + i) for i in range(count)):
                return first

    def is_free(self, port: int) -> bool:
        """Return whether nothing listens on a port."""
        with socket.socket() as probe:
            return probe.connect_ex(("127.0.0.1", port)) != 0

    def write_settings(self, vm: str) -> None:
        """Write the settings file of a VM and start its proxy."""
        proxy = FaultyProxy(self.reactor, ("127.0.0.1", self.platform))
        first = self.find_free_ports(4)
        text = SETTINGS.format(
            vm=vm,
            front=first,
            directory=first + 1,
            peers=first + 2,
            link=proxy.port.getHost().port,
        )
        (self.folder / f"{vm}.toml").write_text(text)
        self.proxies[vm] = proxy
        self.front_ports[vm] = first

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        address = f"127.0.0.1:{self.platform}"
        self.spawn("platform", "wisteriagw-standin-platform", "--listen", address)

    def start_vm(self, vm: str) -> None:
        """Start a gateway; it is restarted whenever it ends."""
        if self.closing:
            return
        settings = str(self.folder / f"{vm}.toml")
        metrics = str(self.front_ports[vm] + 3)
        program = "wisteriagw-gateway"
        self.spawn(vm, program, "--settings", settings, "--metrics-port", metrics)

    def spawn(self, name: str, program: str, *arguments: str) -> None:
        """Start a process."""
        child = ChildProcess(lambda: self.restart(name), self.log)
        path = str(BIN / program)
        self.reactor.spawnProcess(child, path, [path, *arguments], dict(os.environ))
        self.children[name] = child

    def restart(self, name: str) -> None:
        """Schedule the restart of a gateway that has ended."""
        if name != "platform" and not self.closing:
            self.reactor.callLater(RESTART_SECONDS, self.start_vm, name)

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a started process if it still runs."""
        child = self.children.get(name)
        if child is not None and not child.ended and child.transport.pid:
            os.kill(child.transport.pid, signal_number)

    def close(self) -> None:
        """End all processes."""
        self.closing = True
        for name in self.children:
            self.send_signal(name, signal.SIGCONT)
            self.send_signal(name, signal.SIGKILL)
        self.log.close()


def build_configuration(version: int, customers: tuple[str, ...]) -> bytes:
    """Return a configuration with the keys of some customers."""
    common = {"host": "a.example", "timeout_ms": 4000, "slo_ms": 500, "priority": 1}
    stream = {"kind": "stream", "service": "lm"}
    routes = [
        {"name": "unsafe", "kind": "unsafe", "service": "desk"},
        {"name": "safe", "kind": "safe", "service": "desk", "max_attempts": 2},
        {"name": "ask", **stream},
        {"name": "long", **stream, "can_resume": True, "max_attempts": 2},
    ]
    engine = {
        "slots": 16,
        "kv_capacity": 500_000,
        "kv_token_bytes": 18_432,
        "link_mbps": 370_000.0,
        "stage_switch_s": 1.0,
    }
    fields = {
        "version": version,
        "routes": [
            {**common, **route, "path_prefix": f"/{route['name']}/"} for route in routes
        ],
        "services": [
            {"name": "desk", "max_conns": 100},
            {"name": "lm", "max_conns": 100, "engine": engine},
        ],
        "tenants": [{"name": name, "api_keys": [f"k-{name}"]} for name in customers],
    }
    return json.dumps(fields).encode()
