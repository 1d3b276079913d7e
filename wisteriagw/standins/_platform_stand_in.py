"""Stand-in for the platform."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from wisteriagw.connections import ServerFactory
from wisteriagw.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    REGISTER_TOPIC,
)
from wisteriagw.routes import CallerLimits
from wisteriagw.standins._backend_server_stand_in import BackendServerStandIn
from wisteriagw.standins._store_server import StoreServer

if TYPE_CHECKING:
    from wisteriagw.connections import HttpRequest, Responder

REGISTRATION_INTERVAL_SECONDS = 0.3
# Name, service and stage of each backend server.
SERVERS = (
    ("desk-1", "desk", ""),
    ("desk-2", "desk", ""),
    ("reader-1", "lm", "prefill"),
    ("engine-1", "lm", "decode"),
    ("engine-2", "lm", "decode"),
)


class PlatformStandIn:
    """Store, duty interface and backend servers in one process.

    ``GET /seen`` returns the requests that ran and the duty calls, ``POST /faults``
    sets faults and ``POST /configuration`` publishes a configuration.
    """

    def __init__(self, reactor: Any, address: tuple[str, int]) -> None:
        self.store = StoreServer(reactor)
        self.runs: list[list[Any]] = []
        self.reports: list[list[Any]] = []
        self.backend_servers: dict[str, BackendServerStandIn] = {}
        self._reactor = reactor
        self._address = address
        self._draining: set[str] = set()
        self._starts: dict[str, int] = {}
        self._configuration = b""

    def start(self) -> None:
        """Listen on the address, and on the ports after it for the backend servers."""
        host, port = self._address
        self._listen(port, self.handle)
        for number, (name, _, _) in enumerate(SERVERS, 1):
            self.backend_servers[name] = BackendServerStandIn(
                self._reactor, name, self.runs
            )
            self._listen(port + number, self.backend_servers[name].handle)
        self._register_servers()

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle a request of a gateway or of a test."""
        if request.target == b"/seen":
            seen = {"runs": self.runs, "reports": self.reports}
            responder.reply(200, (), json.dumps(seen).encode())
        elif request.target == b"/faults":
            self._set_faults(json.loads(request.body))
            responder.reply(200)
        elif request.target == b"/configuration":
            self._configuration = request.body
            self.store.put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, request.body)
            responder.reply(200)
        elif request.target in (b"/usage", b"/scale"):
            holder = (request.find_header(b"x-wisteriagw-duty-holder") or b"").decode()
            number = int(request.find_header(b"x-wisteriagw-fence-token") or 0)
            now = self._reactor.seconds()
            call = [request.target.decode(), holder, number, now]
            self.reports.append([*call, json.loads(request.body)])
            responder.reply(200, (), b"{}")
        else:
            self.store.handle(request, responder)

    def _set_faults(self, faults: dict[str, Any]) -> None:
        self.store.down = bool(faults.get("down", self.store.down))
        self.store.topics.lost_replies += int(faults.get("lose", 0))
        if "restore" in faults:
            self._restore(float(faults["restore"]))
        self._set_draining(set(faults.get("gone", self._draining)))
        for name, limit in faults.get("limit", {}).items():
            self.backend_servers[name].limit = limit
        for name, count in faults.get("lose_answers", {}).items():
            self.backend_servers[name].lost_replies += count
        for name, count in faults.get("refuse", {}).items():
            self.backend_servers[name].refusals += count

    def _restore(self, seconds: float) -> None:
        self.store.restore(seconds)
        # The operator writes again what was lost, as the backend servers do.
        if self._configuration:
            self.store.put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, self._configuration)

    def _set_draining(self, names: set[str]) -> None:
        for name in self._draining - names:
            # A server that left starts again as another process.
            self._starts[name] = self._starts.get(name, 1) + 1
        self._draining = names
        for name, server in self.backend_servers.items():
            server.leaving = name in names

    def _register_servers(self) -> None:
        host, port = self._address
        for number, (name, service, stage) in enumerate(SERVERS, 1):
            fields = {
                "service": service,
                "address": f"{host}:{port + number}",
                "zone": "north",
                "slots": 16,
                "state": "draining" if name in self._draining else "ready",
                "born": self._starts.get(name, 1),
            }
            if stage:
                fields["stage"] = stage
            self.store.put(REGISTER_TOPIC, name, json.dumps(fields).encode())
        self._reactor.callLater(REGISTRATION_INTERVAL_SECONDS, self._register_servers)

    def _listen(self, port: int, handle: Any) -> None:
        factory = ServerFactory(handle, CallerLimits(), self._reactor.seconds)
        self._reactor.listenTCP(port, factory, interface=self._address[0])
