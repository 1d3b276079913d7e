"""Tests of requests that crash each server that runs them."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred

from tests.support._gateway_fixture import GatewayFixture, RecordingResponder
from wisteriagw.connections import HttpRequest
from wisteriagw.crashes import compute_fingerprint
from wisteriagw.gateway._quarantine_store import QuarantineStore
from wisteriagw.messages import CrashReports

RESTART_SECONDS = 0.5
# Bounds of the platform: crashes until the request must be known, and retries that may
# reach servers after that.
KNOWN_AFTER_CRASHES = 3
MAX_LATER_RETRIES = 3
CONTACT_SECONDS = 3.0
ROUTES = ("safe", "unsafe")


class CrashingServers:
    """Plain servers of one gateway that crash under one body."""

    def __init__(self) -> None:
        self.gateway = GatewayFixture()
        self.crashes = 0
        self.arrived = 0
        self._served = 0
        self._ids = 0

    def request(self, route: str, body: bytes, *headers, target: bytes = b"x"):
        """Send a request with a new id and run it."""
        self._ids += 1
        responder = RecordingResponder()
        found = (
            (b"host", b"a.example"),
            (b"x-wisteriagw-request-id", b"r%d" % self._ids),
            (b"x-wisteriagw-deadline-ms", b"1000"),
            (b"authorization", b"Token k1"),
            *headers,
        )
        path = b"/" + route.encode() + b"/" + target
        self.gateway.handler.handle(HttpRequest(b"POST", path, found, body), responder)
        self._serve_sent()
        return responder

    def advance(self, seconds: float) -> None:
        """Advance the time, with the configuration always just read."""
        for _ in range(round(seconds / 0.1)):
            self.gateway.clock.advance(0.1)
            self.gateway.confirm()

    def _serve_sent(self) -> None:
        while self._served < len(self.gateway.pool.sent):
            sent = self.gateway.pool.sent[self._served]
            self._served += 1
            if sent.request.body != b"deadly":
                sent.reply(200, b"done")
                continue
            self.arrived += 1
            self._crash(sent)

    def _crash(self, sent) -> None:
        self.crashes += 1
        servers = self.gateway.fleet.fleet.servers
        name = next(n for n, s in servers.items() if s.address == sent.address)
        self.gateway.pool.refusing.add(sent.address)
        sent.response.handle_loss("connection closed")
        self.gateway.clock.callLater(RESTART_SECONDS, self._restart, name, sent.address)

    def _restart(self, name: str, address) -> None:
        servers = self.gateway.fleet.fleet.servers
        self.gateway.pool.refusing.discard(address)
        servers[name] = servers[name]._replace(born=servers[name].born + 1)


class TestCrashingRequest:
    """A request that crashes servers was sent to one after the other."""

    @pytest.mark.parametrize("route", ROUTES)
    def test_repeated_request_no_longer_reaches_servers_after_three_crashes(
        self, route: str
    ) -> None:
        servers = CrashingServers()
        while servers.crashes < KNOWN_AFTER_CRASHES:
            servers.request(route, b"deadly")
            servers.advance(1.0)
        servers.advance(CONTACT_SECONDS)
        before = servers.arrived
        for number in range(20):
            # Neither the id nor other headers are part of what comes again.
            servers.request(route, b"deadly", (b"x-trace", b"%d" % number))
            servers.advance(1.0)
        assert servers.arrived - before <= MAX_LATER_RETRIES

    @pytest.mark.parametrize("route", ROUTES)
    def test_sound_requests_of_the_same_customer_and_path_are_served(
        self, route: str
    ) -> None:
        servers = CrashingServers()
        for number in range(12):
            servers.request(route, b"deadly")
            servers.advance(1.0)
            assert servers.request(route, b"sound %d" % number).body == b"done"

    def test_refusal_is_true_and_says_when_to_return(self) -> None:
        servers = CrashingServers()
        for _ in range(4):
            servers.request("unsafe", b"deadly")
            servers.advance(1.0)
        before = servers.arrived
        responder = servers.request("unsafe", b"deadly")
        assert responder.status == 503
        assert float(responder.headers[b"retry-after"]) > 0
        assert servers.arrived == before

    def test_other_vm_that_is_told_of_the_quarantine_refuses_the_request(self) -> None:
        servers, other = CrashingServers(), CrashingServers()
        for _ in range(KNOWN_AFTER_CRASHES):
            servers.request("unsafe", b"deadly")
            servers.advance(1.0)
        parts = servers.gateway.crashing_parts
        rows = parts.list_quarantine_rows(servers.gateway.clock.seconds())
        other.gateway.crashing_parts.apply_reports(
            CrashReports(quarantines=rows), other.gateway.clock.seconds()
        )
        assert other.request("unsafe", b"deadly").status == 503
        assert other.arrived == 0
        assert other.request("unsafe", b"sound").body == b"done"

    def test_vm_that_starts_after_the_loss_of_all_refuses_the_request(self) -> None:
        servers, other = CrashingServers(), CrashingServers()
        for _ in range(KNOWN_AFTER_CRASHES):
            servers.request("unsafe", b"deadly")
            servers.advance(1.0)
        store, clock = servers.gateway.store, servers.gateway.clock

        class Holder:
            def get_fencing_number(self) -> int:
                return 1

        written = QuarantineStore(
            clock, store, servers.gateway.crashing_parts, clock.seconds
        )
        read = QuarantineStore(
            clock, store, other.gateway.crashing_parts, clock.seconds
        )
        failures: list = []
        for coroutine in (written.write(Holder()), read.read()):
            Deferred.fromCoroutine(coroutine).addErrback(failures.append)
        assert failures == []
        assert other.request("unsafe", b"deadly").status == 503
        assert other.arrived == 0

    def test_common_request_that_was_open_at_crashes_by_chance_is_served(self) -> None:
        servers = CrashingServers()
        parts = servers.gateway.crashing_parts
        common = compute_fingerprint(b"/safe/x", "t-1", b"")
        for number in range(6):
            now = servers.gateway.clock.seconds()
            parts.record_crash(f"i-{number}/1", [((common,), now - 0.1)], now)
            assert servers.request("safe", b"").body == b"done"
            servers.advance(1.0)


class TestFingerprint:
    """Requests that differ must not be taken for one that crashes servers."""

    @pytest.mark.parametrize(
        "other",
        [
            (b"/a/y", "t-1", b"body"),
            (b"/a/x", "t-2", b"body"),
            (b"/a/x", "t-1", b"body2"),
            (b"/a/xt", "-1", b"body"),
            (b"/a/x", "t-1b", b"ody"),
        ],
    )
    def test_target_customer_and_body_tell_requests_apart(self, other) -> None:
        known = compute_fingerprint(b"/a/x", "t-1", b"body")
        assert compute_fingerprint(*other) != known
