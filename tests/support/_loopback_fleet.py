"""Entry processes and backend servers inside the test's process."""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING, Any

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater
from twisted.web.server import Site

from tests.support._body_recorder import BodyRecorder
from tests.support._memory_log import MemoryLog
from wisteriagw.calls import AtMostOnceExecutor, LocalBatcher
from wisteriagw.clocks import read_boot_time, read_wall_time
from wisteriagw.config import hash_key
from wisteriagw.entry._caller_site import CallerSite
from wisteriagw.entry._dispatch_adapter import DispatchAdapter
from wisteriagw.entry._entry_context import EntryContext
from wisteriagw.entry._main import build_caller_root
from wisteriagw.http import BoundedRequest, HttpClient
from wisteriagw.records import (
    CustomerCreated,
    KeyGiven,
    SheetPublished,
    encode_record,
)
from wisteriagw.standins._engine import Engine
from wisteriagw.standins._engine_resource import EngineResource
from wisteriagw.standins._engine_speed import EngineSpeed

if TYPE_CHECKING:
    from twisted.web.resource import Resource

    from wisteriagw.entry._request_report import RequestReport

CUSTOMERS = ("market", "office")
ENGINE_TICK_SECONDS = 0.002


class LoopbackFleet:
    """Starts servers on loopback; ``case.addCleanup`` ends them."""

    def __init__(self, case: Any) -> None:
        self.log = MemoryLog()
        self.client = HttpClient(reactor)
        self.contexts: list[EntryContext] = []
        self.reports: list[RequestReport] = []
        self._case = case
        self._servers: list[dict[str, Any]] = []
        case.addCleanup(self._clean_up)

    def serve(self, name: str, resource: Resource, kind: str = "engine") -> None:
        """Start a backend server."""
        host, port = self._listen(Site(resource, requestFactory=BoundedRequest))
        address = f"{host}:{port}"
        serves = "ledger" if kind == "engine" else "levy"
        row = {"name": name, "data_centre": "dc1", "address": address, "kind": kind}
        rest = {"role": "mixed", "checks_fencing": True, "reclaimable": False}
        self._servers.append({**row, "serves": serves, **rest})

    def serve_engine(self, name: str, **speed: Any) -> Engine:
        """Start an engine stand-in."""
        engine = Engine(EngineSpeed(**{"step_seconds": ENGINE_TICK_SECONDS, **speed}))
        ticking = LoopingCall(engine.step, ENGINE_TICK_SECONDS)
        ticking.start(ENGINE_TICK_SECONDS)
        self._case.addCleanup(ticking.stop)
        self.serve(name, EngineResource(engine))
        return engine

    def start_entries(self, count: int) -> list[tuple[str, int]]:
        """Start entry processes configured with the servers started so far."""
        route = {"service": "levy", "open": False}
        sheet = {
            "customers": [
                {"name": "market", "weight": 1.0, "priority": 3},
            ],
            "models": [{"name": "ledger", "version": "1", "adapters": []}],
            "backend_servers": self._servers,
            "routes": [
                {**route, "method": "GET", "path": "/sheets", "idempotent": True},
                {**route, "method": "POST", "path": "/book", "idempotent": False},
            ],
        }
        based_on = self.contexts[0].config.sheet_revision if self.contexts else -1
        records = [SheetPublished(based_on, sheet, "ann", "n")]
        for name in CUSTOMERS:
            records.append(CustomerCreated(name, "ann", "n"))
            records.append(KeyGiven(name, hash_key(f"key-{name}"), "ann", "n"))
        for record in records:
            self.log.append("config", encode_record(record))
        addresses = []
        for _ in range(count):
            client = HttpClient(reactor)
            self._case.addCleanup(client.close)
            settings = {
                "vm": "vm-1",
                "data-centre": "dc1",
                "listen": ("127.0.0.1", 1),
                "vm-list": None,
                "entry-addresses": None,
                "drain-seconds": 30,
            }
            context = EntryContext(
                settings, client, self.log, read_boot_time, Counter()
            )
            batcher = LocalBatcher(
                "vm-1", self.log, reactor, read_boot_time, read_wall_time
            )
            context.call_executor = AtMostOnceExecutor(batcher, read_boot_time)
            context.dispatch = DispatchAdapter(context, reactor.callLater)
            context.config_follower.poll()
            self.contexts.append(context)
            site = CallerSite(
                build_caller_root(context), read_boot_time, self.reports.append
            )
            addresses.append(self._listen(site))
        return addresses

    @inlineCallbacks
    def open(
        self, address: Any, method: str, path: str, body: Any = None, **headers: str
    ) -> Any:
        """Send a request as customer market; return the response and its recorder."""
        data = None if body is None else json.dumps(body).encode("utf-8")
        fields = {"authorization": "Bearer key-market", **headers}
        opening, _ = self.client.open(address, method, path, data, fields)
        response = yield opening
        recorder = BodyRecorder()
        response.deliverBody(recorder)
        return response, recorder

    def chat(self, address: Any, tokens: int, **fields: Any) -> Any:
        """Send a prompt."""
        body = {"model": "ledger", "messages": [{"content": "How many?"}]}
        path = "/v1/chat/completions"
        return self.open(
            address, "POST", path, {**body, "max_tokens": tokens, **fields}
        )

    def _listen(self, site: Site) -> tuple[str, int]:
        port = reactor.listenTCP(0, site, interface="127.0.0.1")
        self._case.addCleanup(port.stopListening)
        return "127.0.0.1", port.getHost().port

    @inlineCallbacks
    def _clean_up(self) -> Any:
        for reader in reactor.getReaders():
            if hasattr(reader, "abortConnection"):
                reader.abortConnection()
        yield deferLater(reactor, 0.02)
        # Cancellations that are delayed by 30 s would outlast the test.
        for call in reactor.getDelayedCalls():
            call.cancel()
