"""Tests of prompt parts that end each engine which writes an answer on them."""

from __future__ import annotations

from tests.support._gateway_fixture import GatewayFixture

ENGINES = 6
FIRST_ENGINE_NUMBER = 100
EVENT = b"id: 1\ndata: t\n\n"
RESTART_SECONDS = 3.0
CONTACT_SECONDS = 3.0
# Bounds of the platform: crashes after which a part must be known, and the requests
# with it that may reach engines from then on.
MAX_CRASHES = 5
MAX_LATER_REQUESTS = 3


class CrashingEngines:
    """Engines of one gateway; those that begin an answer on a bad part crash."""

    def __init__(self, bad_part: str) -> None:
        self.gateway = GatewayFixture()
        self.crashes = 0
        self._bad_part = bad_part.encode()
        self._served = 0
        for name in ("lm-1", "lm-2"):
            del self.gateway.fleet.fleet.servers[name]
        for number in range(ENGINES):
            self._start_engine(number, 0)

    def request(self, *parts: str):
        """Send a request whose prompt has some shared parts, and run it."""
        prefix = ",".join(f"{part}:100" for part in (*parts, "own"))
        responder = self.gateway.request("long", prompt="300,20", parts=prefix)
        while self._served < len(self.gateway.pool.sent):
            sent = self.gateway.pool.sent[self._served]
            self._served += 1
            if self._bad_part in sent.headers[b"x-wisteriagw-prompt-prefix"]:
                self._crash(sent)
            else:
                sent.reply(200, EVENT)
        return responder

    def advance(self, seconds: float) -> None:
        """Advance the time, with the configuration always just read."""
        for _ in range(round(seconds / 0.1)):
            self.gateway.clock.advance(0.1)
            self.gateway.confirm()

    def count_sent(self, part: str) -> int:
        """Return the requests with a part that reached engines."""
        return sum(
            part.encode() in sent.headers[b"x-wisteriagw-prompt-prefix"]
            for sent in self.gateway.pool.sent
        )

    def _start_engine(self, number: int, born: int) -> None:
        self.gateway.add_server(
            f"engine-{number}-{born}",
            "lm",
            FIRST_ENGINE_NUMBER + number,
            stage="decode",
            born=born,
        )

    def _crash(self, sent) -> None:
        self.crashes += 1
        servers = self.gateway.fleet.fleet.servers
        name = next(n for n, s in servers.items() if s.address == sent.address)
        self.gateway.pool.refusing.add(sent.address)
        sent.start(200)
        sent.response.handle_loss("connection closed")
        self.gateway.clock.callLater(RESTART_SECONDS, self._restart, name, sent.address)

    def _restart(self, name: str, address) -> None:
        del self.gateway.fleet.fleet.servers[name]
        self.gateway.pool.refusing.discard(address)
        number = int(name.split("-")[1])
        self._start_engine(number, self.crashes)


class TestCrashingPart:
    """Requests with a part that crashes engines must stop reaching them."""

    def test_part_no_longer_reaches_engines_after_five_crashes(self) -> None:
        engines = CrashingEngines("bad")
        while engines.crashes < MAX_CRASHES:
            engines.request("lead", "bad")
            engines.request("lead")
            engines.advance(1.0)
        engines.advance(CONTACT_SECONDS)
        before = engines.count_sent("bad")
        for _ in range(20):
            engines.request("lead", "bad")
            engines.advance(1.0)
        assert engines.count_sent("bad") - before <= MAX_LATER_REQUESTS

    def test_sound_requests_with_the_same_leading_part_are_served(self) -> None:
        engines = CrashingEngines("bad")
        served = []
        for _ in range(30):
            engines.request("lead", "bad")
            engines.advance(1.0)
            served.append(engines.request("lead").body == EVENT)
        assert all(served)
