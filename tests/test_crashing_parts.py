"""Tests of prompt parts that end each engine which writes an answer on them."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tests.support._gateway_fixture import GatewayFixture
from tests.support._simulated_fleet import LINK_SECONDS, SimulatedFleet
from wisteriagw.gateway._crashing_parts import CrashingParts
from wisteriagw.gateway._quarantine_store import READ_RETRY_SECONDS, QuarantineStore
from wisteriagw.gateway.reports import SEND_DELAY_SECONDS
from wisteriagw.placement import Prompt
from wisteriagw.platform import QUARANTINES_TOPIC
from wisteriagw.standins import TopicStore

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
        self.serve_sent()
        return responder

    def serve_sent(self) -> None:
        """Answer the requests that reached engines, or crash those."""
        while self._served < len(self.gateway.pool.sent):
            sent = self.gateway.pool.sent[self._served]
            self._served += 1
            if b"x-wisteriagw-stage" in sent.headers:
                sent.reply(200, b'{"kv_handle": "h"}')
            elif self._bad_part in sent.headers[b"x-wisteriagw-prompt-prefix"]:
                self._crash(sent)
            else:
                sent.reply(200, EVENT)

    def stop_crashes(self) -> None:
        """Answer requests with the part from now on."""
        self._bad_part = b"none"

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

    def test_refusal_is_true_and_says_when_to_return(self) -> None:
        engines = CrashingEngines("bad")
        for _ in range(MAX_CRASHES):
            engines.request("bad")
            engines.advance(1.0)
        sent = len(engines.gateway.pool.sent)
        responder = engines.request("bad")
        assert responder.status == 503
        assert len(engines.gateway.pool.sent) == sent
        assert float(responder.headers[b"retry-after"]) > 0

    def test_part_that_no_longer_crashes_engines_is_served_again(self) -> None:
        engines = CrashingEngines("bad")
        for _ in range(MAX_CRASHES):
            engines.request("bad")
            engines.advance(1.0)
        engines.stop_crashes()
        engines.advance(120.0)
        assert engines.request("bad").body == EVENT


class TestOtherLosses:
    """Crashes of another cause, and lost connections, must mark no prompt part."""

    PARTS = "common:100,own:100"

    def lose(self, how: str, rounds: int = 6) -> GatewayFixture:
        gateway = GatewayFixture()
        for number in range(rounds):
            name = f"engine-{number}"
            leaving = how == "leaving"
            gateway.fleet.fleet.servers.clear()
            gateway.add_server(name, "lm", 100 + number, stage="decode")
            gateway.request("ask", prompt="300,20", parts=self.PARTS)
            sent = gateway.pool.sent[-1]
            if leaving:
                server = gateway.fleet.fleet.servers[name]
                gateway.fleet.fleet.servers[name] = server._replace(leaving=True)
            if how in ("leaving", "crashed"):
                gateway.pool.refusing.add(sent.address)
            if how == "cut off":
                gateway.pool.unreachable.add(sent.address)
            sent.start(200)
            sent.response.handle_loss("connection closed")
            gateway.clock.advance(1.0)
            gateway.confirm()
        gateway.add_server("last", "lm", 99, stage="decode")
        return gateway

    @pytest.mark.parametrize(
        ("how", "served"),
        [("reset", True), ("leaving", True), ("cut off", True), ("crashed", False)],
    )
    def test_only_crashes_mark_a_part(self, how: str, served: bool) -> None:
        gateway = self.lose(how)
        before = len(gateway.pool.sent)
        gateway.request("ask", prompt="300,20", parts=self.PARTS)
        assert (len(gateway.pool.sent) > before) is served

    def test_stream_that_has_gone_on_for_long_is_not_suspected(self) -> None:
        gateway = GatewayFixture()
        for number in range(6):
            gateway.fleet.fleet.servers.clear()
            gateway.add_server(f"engine-{number}", "lm", 100 + number, stage="decode")
            gateway.request("ask", prompt="300,20", parts=self.PARTS)
            sent = gateway.pool.sent[-1]
            sent.start(200)
            sent.response.handle_part(b"id: 1\ndata: t\n\n")
            gateway.clock.advance(1.5)
            sent.response.handle_part(b"id: 2\ndata: t\n\n")
            gateway.pool.refusing.add(sent.address)
            sent.response.handle_loss("connection closed")
            gateway.confirm()
        gateway.add_server("last", "lm", 99, stage="decode")
        before = len(gateway.pool.sent)
        gateway.request("ask", prompt="300,20", parts=self.PARTS)
        assert len(gateway.pool.sent) == before + 1

    @pytest.mark.parametrize(
        ("status", "body"), [(400, b"error"), (404, b""), (200, b'{"error": "x"}')]
    )
    def test_answer_without_events_clears_no_part(self, status: int, body) -> None:
        gateway = GatewayFixture()
        runs = [(("common",), gateway.clock.seconds())]
        for number in range(2):
            gateway.clock.advance(1.0)
            now = gateway.clock.seconds()
            gateway.crashing_parts.record_crash(f"engine-{number}/1", runs, now)
        gateway.request("ask", prompt="300,20", parts=self.PARTS)
        gateway.pool.sent[-1].reply(status, body, content_type="application/json")
        gateway.clock.advance(1.0)
        gateway.confirm()
        now = gateway.clock.seconds()
        gateway.crashing_parts.record_crash("engine-3/1", runs, now)
        before = len(gateway.pool.sent)
        gateway.request("ask", prompt="300,20", parts=self.PARTS)
        assert len(gateway.pool.sent) == before

    def test_prefill_alone_clears_no_part(self) -> None:
        engines = CrashingEngines("bad")
        gateway = engines.gateway
        gateway.add_server("prefill-1", "lm", 90, stage="prefill")
        for _ in range(MAX_CRASHES):
            prompt = "17000,20"
            gateway.request("long", prompt=prompt, parts="bad:16000,own:1000")
            engines.serve_sent()
            engines.advance(1.0)
        before = engines.count_sent("bad")
        gateway.request("long", prompt="17000,20", parts="bad:16000,own:1000")
        assert engines.count_sent("bad") == before


class TestCrashReports:
    """VMs see a few crashes each; all of them must learn the part, and new ones too."""

    SIZES = {"north": 4, "south": 3, "west": 1}
    BAD = Prompt("m", 300, 20, (("lead", 100), ("bad", 100), ("own", 100)))
    SOUND = Prompt("m", 300, 20, (("lead", 100), ("own", 100)))

    def build(self) -> SimulatedFleet:
        fleet = SimulatedFleet(self.SIZES)
        fleet.advance(3.0)
        return fleet

    def crash_once_per_vm(self, fleet: SimulatedFleet, vms: list[str]) -> None:
        for number, vm in enumerate(vms):
            gateway = fleet.gateways[vm]
            now = gateway.clock.seconds()
            runs = [(("lead", "bad"), now - 0.5)]
            gateway.crashing_parts.record_crash(f"engine-{number}/1", runs, now)
            fleet.advance(1.0)

    def list_quarantined(self, fleet: SimulatedFleet, prompt: Prompt) -> set[str]:
        parts = prompt.list_shared_parts()
        return {
            vm
            for vm, gateway in fleet.gateways.items()
            if gateway.crashing_parts.find_quarantine(parts) is not None
        }

    def test_every_vm_refuses_the_part_after_crashes_on_three(self) -> None:
        fleet = self.build()
        self.crash_once_per_vm(fleet, ["north-1", "south-2", "west-1"])
        fleet.advance(1.0)
        assert self.list_quarantined(fleet, self.BAD) == set(fleet.gateways)

    def test_reports_do_not_wait_for_the_next_update(self) -> None:
        """With many VMs in a data centre, updates are seldom."""
        fleet = SimulatedFleet({"north": 40, "south": 20})
        fleet.advance(3.0)
        for number, vm in enumerate(("north-1", "north-20", "south-9")):
            fleet.advance(0.3)
            gateway = fleet.gateways[vm]
            now = gateway.clock.seconds()
            runs = [(("lead", "bad"), now - 0.01)]
            gateway.crashing_parts.record_crash(f"engine-{number}/1", runs, now)
        hops = 3
        fleet.advance(hops * (LINK_SECONDS + SEND_DELAY_SECONDS) + 0.1)
        assert self.list_quarantined(fleet, self.BAD) == set(fleet.gateways)

    def test_sound_answer_on_another_vm_clears_the_leading_part(self) -> None:
        fleet = self.build()
        self.crash_once_per_vm(fleet, ["north-1", "south-2"])
        fleet.gateways["north-4"].crashing_parts.record_sound_answer(["lead"])
        self.crash_once_per_vm(fleet, ["south-1", "north-2"])
        fleet.advance(1.0)
        lead = Prompt("m", 300, 20, (("lead", 100), ("x", 100), ("own", 100)))
        assert self.list_quarantined(fleet, lead) == set()

    def test_false_quarantine_is_lifted_by_an_earlier_sound_answer(self) -> None:
        fleet = self.build()
        self.crash_once_per_vm(fleet, ["north-1", "south-2", "west-1"])
        fleet.gateways["south-3"].crashing_parts.record_sound_answer(["lead", "bad"])
        fleet.advance(2.0)
        assert self.list_quarantined(fleet, self.BAD) == set()

    @pytest.mark.parametrize("data_centre", ["north", "west"])
    def test_new_process_learns_quarantines(self, data_centre: str) -> None:
        fleet = self.build()
        self.crash_once_per_vm(fleet, ["north-1", "south-2", "west-1"])
        fleet.add("new-1", data_centre)
        fleet.gateways["new-1"].exchange.start()
        fleet.advance(3.0)
        assert "new-1" in self.list_quarantined(fleet, self.BAD)
        assert self.list_quarantined(fleet, self.SOUND) == set()


class TestQuarantineStore:
    """Quarantines must survive the loss of all VMs, and cost few calls."""

    PROMPT = Prompt("m", 300, 20, (("bad", 100), ("own", 100)))
    HOLDER = SimpleNamespace(get_fencing_number=lambda: 1)
    OTHER = SimpleNamespace(get_fencing_number=lambda: None)
    BOOT_SECONDS = 5_000.0

    def build(self, store: TopicStore, clock: Clock, origin: float = 0.0):
        """Return the state of a process whose clock counts from an origin."""
        steady = SimpleNamespace(
            seconds=lambda: clock.seconds() - origin, callLater=clock.callLater
        )
        parts = CrashingParts(steady.seconds)
        return parts, QuarantineStore(steady, store, parts, clock.seconds)

    def crash(self, parts: CrashingParts, clock: Clock) -> None:
        for number in range(3):
            runs = [(("bad",), float(number))]
            parts.record_crash(f"engine-{number}/1", runs, number + 0.5)
            clock.advance(1.0)

    def run(self, coroutine) -> None:
        failures: list = []
        Deferred.fromCoroutine(coroutine).addErrback(failures.append)
        assert failures == []

    def write_quarantine(self) -> tuple[TopicStore, Clock]:
        store, clock = TopicStore(), Clock()
        clock.advance(self.BOOT_SECONDS)
        parts, quarantines = self.build(store, clock)
        self.crash(parts, clock)
        self.run(quarantines.write(self.HOLDER))
        return store, clock

    def test_new_process_takes_over_the_quarantine_until_its_end(self) -> None:
        store, clock = self.write_quarantine()
        parts, quarantines = self.build(store, clock, origin=self.BOOT_SECONDS)
        self.run(quarantines.read())
        assert parts.find_quarantine(self.PROMPT.list_shared_parts()) is not None
        clock.advance(60.0)
        assert parts.find_quarantine(self.PROMPT.list_shared_parts()) is None

    def test_store_that_is_down_is_read_again(self) -> None:
        store, clock = self.write_quarantine()
        store.down = True
        parts, quarantines = self.build(store, clock, origin=self.BOOT_SECONDS)
        self.run(quarantines.read())
        clock.advance(READ_RETRY_SECONDS)
        store.down = False
        clock.advance(READ_RETRY_SECONDS)
        assert parts.find_quarantine(self.PROMPT.list_shared_parts()) is not None

    def test_only_the_holder_writes_and_only_changes(self) -> None:
        store, clock = TopicStore(), Clock()
        parts, quarantines = self.build(store, clock)
        self.run(quarantines.write(self.HOLDER))
        self.crash(parts, clock)
        self.run(quarantines.write(self.OTHER))
        assert store.get_end(QUARANTINES_TOPIC) == 0
        for _ in range(3):
            self.run(quarantines.write(self.HOLDER))
        assert store.get_end(QUARANTINES_TOPIC) == 1

    @pytest.mark.parametrize("value", [b"x", b"{}", b"[1]", b'[["a",1]]', b""])
    def test_record_that_is_not_valid_is_ignored(self, value: bytes) -> None:
        store, clock = TopicStore(), Clock()
        store.put(QUARANTINES_TOPIC, "quarantines", value)
        parts, quarantines = self.build(store, clock)
        self.run(quarantines.read())
        assert parts.find_quarantine(self.PROMPT.list_shared_parts()) is None
