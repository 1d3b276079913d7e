"""Programs that a scenario runs as processes on loopback."""

from __future__ import annotations

import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import ssl

BIN = pathlib.Path(sys.executable).parent
START_TIMEOUT_SECONDS = 20.0
# Below the range from which the kernel takes the ports of outgoing connections: a port
# of that range can be taken between its choice and the start of the program.
PORTS = range(15_000, 32_000)


class Programs:
    """Running processes by name, with their addresses."""

    def __init__(self) -> None:
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, str] = {}
        # Receives the standard error of all programs.
        self.log_file: Any = subprocess.DEVNULL
        # Environment variables that are added for all programs.
        self.environment: dict[str, str] = {}
        # TLS contexts by the first part of the address name.
        self.tls: dict[str, ssl.SSLContext] = {}

    def reserve(self, name: str) -> str:
        """Reserve a free loopback address under a name and return it."""
        taken = {address.rpartition(":")[2] for address in self.addresses.values()}
        while True:
            port = random.choice(PORTS)
            with socket.socket() as probe:
                if str(port) in taken or probe.connect_ex(("127.0.0.1", port)) == 0:
                    continue
            self.addresses[name] = f"127.0.0.1:{port}"
            return self.addresses[name]

    def kill(self, name: str) -> None:
        """Kill one process."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def start(self, name: str, program: str, *arguments: str) -> None:
        """Start a program."""
        self.processes[name] = subprocess.Popen(
            [str(BIN / program), *arguments],
            stdout=subprocess.DEVNULL,
            stderr=self.log_file,
            env={**os.environ, **self.environment},
        )

    def wait_until_listening(self, name: str) -> None:
        """Wait until something listens on the address of a name."""
        host, port = self.addresses[name].split(":")
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            with socket.socket() as probe:
                if probe.connect_ex((host, int(port))) == 0:
                    return
            time.sleep(0.05)
        raise AssertionError(f"{name} does not listen on {host}:{port}")

    def call(
        self, name: str, method: str, path: str, body: Any = None, **headers: str
    ) -> tuple[int, bytes]:
        """Send a request and return the status and the body."""
        data = None if body is None else json.dumps(body).encode("utf-8")
        tls = self.tls.get(name.partition("-")[0])
        url = f"{'https' if tls else 'http'}://{self.addresses[name]}{path}"
        request = urllib.request.Request(url, data, headers, method=method)
        try:
            with urllib.request.urlopen(request, timeout=20, context=tls) as response:
                return response.status, response.read()
        except urllib.error.HTTPError as error:
            return error.code, error.read()

    def kill_all(self) -> None:
        """Kill every started process."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
