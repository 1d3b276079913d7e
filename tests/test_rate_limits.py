"""Tests of servers that name the rate of requests that they take from all VMs."""

from __future__ import annotations

import random

import pytest

from tests.support._gateway_fixture import GatewayFixture
from tests.support._simulated_fleet import STEP_SECONDS, SimulatedFleet
from tests.test_server_notices import build_record
from wisteriagw.notices import NoticeTable, RateLimit
from wisteriagw.ratelimits import Demand, TokenBucket, VmCounts, add_sample, find_share

# Bounds of the platform: requests that a server may get in some 4 s, from 3 s after it
# first named its limit.
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
OVER_FACTOR = 1.5
OVER_REQUESTS = 5
EVENT = b"id: 1\ndata: t\n\n"


class LimitedServer:
    """A server with a limit, to which callers of all VMs of a fleet come."""

    def __init__(self, limit: float, sizes: dict[str, int]) -> None:
        self.fleet = SimulatedFleet(sizes)
        self.fleet.advance(2.0)
        self.vms = list(self.fleet.gateways)
        self.limit = limit
        self.sent: list[tuple[float, str]] = []
        self._random = random.Random(7)
        self._ends: list[tuple[float, str]] = []
        for gateway in self.fleet.gateways.values():
            gateway.fleet.apply_relayed_changes([build_record(1)])
        self._name_limit(self.vms[0])

    def play(self, seconds: float, rates: dict[str, float]) -> None:
        """Let callers come to VMs at some rates."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.fleet.advance(STEP_SECONDS)
            now = self.fleet.clock.seconds()
            self._end_requests(now)
            for vm, rate in rates.items():
                if self._random.random() < rate * STEP_SECONDS:
                    self._request(vm, now)

    def find_most(self) -> int:
        """Return the most requests in a window, once the bound holds."""
        times = [at for at, _ in self.sent if at >= self.sent[0][0] + CONTACT_SECONDS]
        return max(
            sum(start <= at < start + WINDOW_SECONDS for at in times) for start in times
        )

    def find_allowed(self) -> float:
        """Return the requests that the platform allows in a window."""
        return OVER_FACTOR * self.limit * WINDOW_SECONDS + OVER_REQUESTS

    def count(self, since: float, vm: str | None = None) -> int:
        """Return the requests sent after a time, by one VM or by all."""
        return sum(at >= since and vm in (None, by) for at, by in self.sent)

    def _name_limit(self, vm: str) -> None:
        self.fleet.gateways[vm].notices.record(RateLimit("i-1", 1, self.limit))

    def _request(self, vm: str, now: float) -> None:
        gateway = self.fleet.gateways[vm]
        server = gateway.fleet.fleet.servers["i-1"]
        own = gateway.clock.seconds()
        # Requests that the server does not take are served by others.
        wait = gateway.notices.find_wait(server, own)
        target = "i-2" if wait else "i-1"
        gateway.work.add(target, 0.0, 1)
        self._ends.append((now + 0.4, f"{vm} {target}"))
        if wait == 0:
            gateway.notices.limiter.take(server, own)
            self.sent.append((now, vm))

    def _end_requests(self, now: float) -> None:
        left = []
        for end, name in self._ends:
            if end > now:
                left.append((end, name))
                continue
            vm, target = name.split()
            self.fleet.gateways[vm].work.add(target, 0.0, -1)
        self._ends = left


SIZES = {"north": 3, "south": 2, "west": 2, "east": 1}


class TestLimitOfAllVms:
    """Each VM kept to its own load only: a server got twice what it takes."""

    @pytest.mark.parametrize("limit", [0.0, 0.7, 2.5, 7.2, 30.0])
    def test_callers_at_all_vms(self, limit: float) -> None:
        server = LimitedServer(limit, SIZES)
        server.play(20.0, {vm: 12.0 for vm in server.vms})
        assert server.find_most() <= server.find_allowed()
        assert len(server.sent) >= 0.6 * limit * 20.0

    @pytest.mark.parametrize("limit", [2.5, 7.2])
    def test_callers_at_one_vm_use_most_of_the_limit(self, limit: float) -> None:
        """Load: all callers of a service come to one of eight VMs."""
        server = LimitedServer(limit, SIZES)
        server.play(20.0, {server.vms[3]: 40.0})
        assert server.find_most() <= server.find_allowed()
        assert len(server.sent) >= 0.6 * limit * 20.0

    def test_callers_move_to_other_vms(self) -> None:
        server = LimitedServer(7.2, SIZES)
        for group in (server.vms[:2], server.vms[4:6], server.vms):
            server.play(8.0, {vm: 30.0 for vm in group})
        assert server.find_most() <= server.find_allowed()
        assert len(server.sent) >= 0.6 * 7.2 * 24.0

    def test_many_vms_whose_callers_come_at_once(self) -> None:
        """Load: after a calm time, callers come to 40 VMs at the same moment."""
        server = LimitedServer(3.0, {"north": 20, "south": 20})
        server.play(12.0, {vm: 0.05 for vm in server.vms})
        server.play(8.0, {vm: 20.0 for vm in server.vms})
        assert server.find_most() <= server.find_allowed()

    def test_burst_after_calm(self) -> None:
        server = LimitedServer(5.0, SIZES)
        server.play(12.0, {vm: 0.1 for vm in server.vms})
        server.play(8.0, {vm: 20.0 for vm in server.vms})
        assert server.find_most() <= server.find_allowed()

    def test_others_take_the_share_of_vms_that_ended(self) -> None:
        server = LimitedServer(12.0, SIZES)
        server.play(8.0, {vm: 12.0 for vm in server.vms})
        left = server.vms[:5]
        server.fleet.down.update(server.vms[5:])
        for vm in left:
            for ended in server.vms[5:]:
                del server.fleet.gateways[vm].members.entries[ended]
        since = server.fleet.clock.seconds() + 3.0
        server.play(13.0, {vm: 12.0 for vm in left})
        assert server.find_most() <= server.find_allowed()
        assert server.count(since) >= 0.6 * 12.0 * 10.0

    def test_vm_that_is_cut_off_takes_no_more_than_its_part(self) -> None:
        server = LimitedServer(16.0, SIZES)
        server.play(8.0, {vm: 12.0 for vm in server.vms})
        cut = server.vms[3]
        server.fleet.down.add(cut)
        since = server.fleet.clock.seconds() + 3.0
        server.play(13.0, {cut: 30.0})
        assert server.count(since, cut) <= 2.0 * 16.0 / 8 * 10.0 + OVER_REQUESTS

    def test_limit_that_ends_is_ended_for_all(self) -> None:
        server = LimitedServer(4.0, SIZES)
        server.play(4.0, {vm: 12.0 for vm in server.vms})
        gateway = server.fleet.gateways[server.vms[6]]
        gateway.notices.record(RateLimit("i-1", 1, float("inf")))
        server.fleet.advance(0.5)
        since = server.fleet.clock.seconds()
        server.play(4.0, {vm: 12.0 for vm in server.vms})
        assert server.count(since) >= 0.8 * 4.0 * 12.0 * len(server.vms)


class TestShare:
    """Shares of all VMs must not add up to more than the limit."""

    @pytest.mark.parametrize("count", [1, 2, 8, 40, 410])
    @pytest.mark.parametrize("limit", [0.0, 0.4, 3.0, 9.0, 500.0])
    def test_sum(self, count: int, limit: float) -> None:
        own = [float(number % 5) for number in range(count)]
        shares = [
            find_share(limit, Demand(part, sum(own), 1.0), VmCounts(count, count))
            for part in own
        ]
        assert sum(shares) <= 1.001 * max(limit, 0.5)

    @pytest.mark.parametrize("limit", [0.0, 1.0, 3.0, 9.0, 80.0])
    def test_410_vms_whose_callers_come_at_once(self, limit: float) -> None:
        """Load: callers come to each VM at any moment after a calm minute."""
        drawn = random.Random(3)
        buckets = [TokenBucket(0.0, drawn.random()) for _ in range(410)]
        for bucket in buckets:
            bucket.set_rate(find_share(limit, None, VmCounts(410, 410)), 0.0)
        sent = 0
        for step in range(round(WINDOW_SECONDS / STEP_SECONDS)):
            now = 60.0 + step * STEP_SECONDS
            for bucket in buckets:
                if bucket.find_wait(now) == 0.0:
                    bucket.take(now)
                    sent += 1
        assert sent <= OVER_FACTOR * limit * WINDOW_SECONDS + OVER_REQUESTS
        assert sent >= 0.6 * limit * WINDOW_SECONDS

    def test_demand_follows_the_callers_within_seconds(self) -> None:
        demand = None
        for step in range(40):
            demand = add_sample(demand, 0.0 if step < 20 else 6.0, 6.0, step * 0.1)
        assert demand.own / demand.total > 0.6

    def test_bucket_keeps_one_token_for_a_second(self) -> None:
        bucket = TokenBucket(0.0)
        bucket.set_rate(2.0, 0.0)
        assert bucket.find_wait(0.0) == 0.5
        assert bucket.find_wait(0.5) == bucket.find_wait(1.4) == 0.0
        assert bucket.find_wait(1.75) == 0.25
        bucket.take(2.1)
        assert bucket.find_wait(2.1) == pytest.approx(0.5)
        bucket.take(2.1)
        assert bucket.find_wait(2.1) == pytest.approx(1.0)

    @pytest.mark.parametrize("rate", [0.0, 0.3, 2.0])
    def test_bucket_that_was_not_asked_for_long(self, rate: float) -> None:
        often, seldom = TokenBucket(0.0, 0.4), TokenBucket(0.0, 0.4)
        often.set_rate(rate, 0.0)
        seldom.set_rate(rate, 0.0)
        for step in range(1, 400):
            wait = often.find_wait(step * 0.1)
        assert seldom.find_wait(399 * 0.1) == pytest.approx(wait)


class TestNamedLimit:
    """What a server names in its answers, as the VM that gets them reads it."""

    def answer(self, gateway: GatewayFixture, value: str | None):
        """Let the only server of the service answer with a limit."""
        gateway.fleet.fleet.servers.pop("desk-2", None)
        gateway.request("unsafe")
        headers = {} if value is None else {"server_limit": value}
        gateway.pool.sent[-1].reply(200, b"x", **headers)
        return gateway.fleet.fleet.servers["desk-1"]

    @pytest.mark.parametrize(("value", "rate"), [("2.5", 2.5), ("0", 0.0), (".5", 0.5)])
    def test_decimal_number(self, value: str, rate: float) -> None:
        gateway = GatewayFixture()
        server = self.answer(gateway, value)
        assert gateway.notices.table.get_rate_limit(server) == rate

    @pytest.mark.parametrize("value", ["-1", "nan", "inf", "", "many", "1e3", "0x2"])
    def test_other_value_neither_sets_nor_ends_a_limit(self, value: str) -> None:
        gateway = GatewayFixture()
        server = self.answer(gateway, value)
        assert gateway.notices.table.get_rate_limit(server) is None
        gateway.clock.advance(0.1)
        gateway.notices.record(RateLimit("desk-1", server.born, 100.0))
        gateway.clock.advance(2.0)
        self.answer(gateway, value)
        assert gateway.notices.table.get_rate_limit(server) == 100.0

    def test_answer_without_a_limit_ends_it(self) -> None:
        gateway = GatewayFixture()
        server = self.answer(gateway, "3")
        gateway.clock.advance(1.0)
        self.answer(gateway, None)
        assert gateway.notices.table.get_rate_limit(server) is None

    def test_requests_above_it_are_refused_at_once(self) -> None:
        """Retry-After tells when the server takes the next one."""
        gateway = GatewayFixture()
        self.answer(gateway, "2")
        refused = []
        for _ in range(40):
            gateway.clock.advance(0.05)
            responder = gateway.request("unsafe")
            if responder.status == 503:
                refused.append(float(responder.headers[b"retry-after"]))
        assert len(gateway.pool.sent) <= 1 + 2 * 2 + 1
        assert len(refused) >= 30 and min(refused) > 0.0

    def test_requests_above_it_go_to_other_servers(self) -> None:
        gateway = GatewayFixture()
        self.answer(gateway, "2")
        gateway.add_server("desk-2", "desk", 2)
        before = len(gateway.pool.sent)
        for _ in range(40):
            gateway.clock.advance(0.05)
            gateway.request("unsafe")
        sent = [sent.address[0] for sent in gateway.pool.sent[before:]]
        assert len(sent) == 40
        assert sent.count("10.0.0.1") <= 2 * 2 + 1

    def test_prefills_count_too(self) -> None:
        gateway = GatewayFixture()
        gateway.add_server("lm-9", "lm", 19, stage="prefill")
        for name in ("lm-1", "lm-2", "lm-9"):
            gateway.notices.record(RateLimit(name, 0, 2.0))
        gateway.clock.advance(0.6)
        gateway.request("long", prompt="17000,20")
        now = gateway.clock.seconds()
        servers = gateway.fleet.fleet.servers
        assert gateway.pool.sent[-1].address[0] == "10.0.0.19"
        assert gateway.notices.find_wait(servers["lm-9"], now) > 0
        waits = [gateway.notices.find_wait(servers[f"lm-{n}"], now) for n in (1, 2)]
        assert sorted(wait > 0 for wait in waits) == [False, True]

    def test_server_that_started_again_has_no_limit(self) -> None:
        table = NoticeTable()
        table.record(RateLimit("desk-1", 4, 2.0), 1.0)
        server = GatewayFixture().fleet.fleet.servers["desk-1"]
        assert table.get_rate_limit(server._replace(born=4)) == 2.0
        assert table.get_rate_limit(server._replace(born=5)) is None
