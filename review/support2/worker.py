"""Stand-in for a worker of a plain service."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import TYPE_CHECKING, NamedTuple

from review.support2.http import Request, encode_response, read_request

if TYPE_CHECKING:
    from review.support2.store import Store

CHECK_IN_SECONDS = 1.2
WORK_SECONDS = 0.005


class Run(NamedTuple):
    """A request that a worker began to run."""

    at: float
    worker: str
    request_id: str
    tenant: str


class Worker:
    """Runs requests, and checks in at the store until it leaves."""

    def __init__(
        self, store: Store, name: str, service: str, zone: str, runs: list[Run]
    ) -> None:
        self.name = name
        self.service = service
        self._zone = zone
        self._store = store
        self._runs = runs
        self._seq = 0
        self._born = int(time.time() * 1000)
        self._checking_in: asyncio.Task | None = None

    async def start(self, host: str) -> None:
        """Listen for requests on a free port and check in."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._checking_in = asyncio.create_task(self._check_in())

    def leave(self) -> None:
        """Leave without a notice: the entry is removed, the worker serves on."""
        self._checking_in.cancel()
        self._store.put("keyed.servers", self.name, b"")

    def write_entry(self) -> None:
        """Write the entry of this worker."""
        host, port = self.address
        fields = {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self._zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self._born,
        }
        self._store.put("keyed.servers", self.name, json.dumps(fields).encode())

    async def _check_in(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(CHECK_IN_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                await self._answer(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers.get("x-wisteriagw-request-id", "")
        expected = request.headers.get("x-wisteriagw-expect-instance", self.name)
        echoed = (("X-Wisteriagw-Request-Id", request_id),)
        if expected != self.name:
            instance = ("X-Wisteriagw-Instance-Id", self.name)
            writer.write(encode_response(421, b"", (*echoed, instance)))
            return
        tenant = request.headers.get("x-wisteriagw-tenant", "")
        self._runs.append(Run(time.monotonic(), self.name, request_id, tenant))
        await asyncio.sleep(WORK_SECONDS)
        stamp = ("X-Wisteriagw-Server-Stamp", f"{self.name}.{request_id}")
        body = f"sheet for {request_id}".encode()
        writer.write(encode_response(200, body, (*echoed, stamp)))
        await writer.drain()


def build_configuration(version: int, keys: tuple[str, ...]) -> bytes:
    """Return a configuration with one safe route to the service ``desk``."""
    route = {
        "name": "r-sheet",
        "host": "desk.example",
        "path_prefix": "/sheet/",
        "kind": "safe",
        "timeout_ms": 1000,
        "slo_ms": 150,
        "priority": 2,
        "service": "desk",
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "can_resume": False,
    }
    service = {
        "name": "desk",
        "health_path": "/health",
        "max_conns": 100,
        "protocol": "h1",
        "tls": False,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    fields = {
        "version": version,
        "routes": [route],
        "services": [service],
        "limits": limits,
        "tenants": [{"name": "t1", "api_keys": list(keys), "priority": 1}],
    }
    return json.dumps(fields).encode()
