"""Tests of what backend servers say of themselves, to one VM or to the store."""

from __future__ import annotations

import json

import pytest

from tests.support._gateway_fixture import GatewayFixture
from tests.support._simulated_fleet import SimulatedFleet
from wisteriagw.eras import FOREVER, StorePosition
from wisteriagw.notices import Departure, NoticeTable, Pause, RateLimit
from wisteriagw.platform import StoreRecord

EVENT = b"id: 1\ndata: t\n\n"
# Two hops to and from relays, each with a delay for batching, and a further relay.
SPREAD_SECONDS = 0.5
# Time after a disturbance of a VM from which the platform's bounds hold for it.
CONTACT_SECONDS = 3.0


def build_record(offset: int, state: str = "ready", born: int = 1) -> StoreRecord:
    """Return an entry of the register."""
    fields = {
        "service": "lm",
        "address": "10.0.0.1:80",
        "zone": "north",
        "state": state,
        "born": born,
    }
    return StoreRecord(offset, "i-1", json.dumps(fields).encode())


class TestDeparturesInTheFleet:
    """A server that one VM knows to have left got requests from the others."""

    def build(self) -> SimulatedFleet:
        fleet = SimulatedFleet({"north": 4, "south": 2, "west": 1})
        fleet.advance(2.0)
        for gateway in fleet.gateways.values():
            gateway.fleet.apply_relayed_changes([build_record(1)])
        return fleet

    def find_accepting(self, fleet: SimulatedFleet) -> list[str]:
        return [
            vm
            for vm, gateway in fleet.gateways.items()
            if gateway.fleet.fleet.list_service("lm")
        ]

    @pytest.mark.parametrize("reader", ["north-1", "north-4", "south-1", "west-1"])
    @pytest.mark.parametrize(
        "record", [StoreRecord(2, "i-1", b""), build_record(2, "draining")]
    )
    def test_departure_that_one_vm_read_reaches_vms_that_lost_the_store(
        self, reader: str, record: StoreRecord
    ) -> None:
        fleet = self.build()
        for vm, gateway in fleet.gateways.items():
            gateway.fleet.follower.available = vm == reader
        fleet.gateways[reader].fleet.apply_records([record])
        fleet.advance(SPREAD_SECONDS)
        assert self.find_accepting(fleet) == []

    def test_entry_that_follows_a_removal_is_accepted(self) -> None:
        """Entries that expired in an outage come back under the same start."""
        fleet = self.build()
        reader = fleet.gateways["south-1"].fleet
        reader.apply_records([StoreRecord(2, "i-1", b"")])
        fleet.advance(SPREAD_SECONDS)
        for gateway in fleet.gateways.values():
            gateway.fleet.apply_relayed_changes([build_record(3)])
        fleet.advance(SPREAD_SECONDS)
        assert len(self.find_accepting(fleet)) == 7

    def test_vm_that_was_away_learns_of_departures(self) -> None:
        fleet = self.build()
        fleet.down.add("north-4")
        fleet.advance(1.0)
        removal = StoreRecord(2, "i-1", b"")
        fleet.gateways["west-1"].fleet.apply_records([removal])
        fleet.advance(2.0)
        fleet.down.clear()
        fleet.advance(CONTACT_SECONDS)
        assert self.find_accepting(fleet) == []

    def test_snapshot_that_is_out_of_date_tells_the_others_nothing(self) -> None:
        """A VM that read it would withdraw a new server from all others."""
        fleet = self.build()
        reader = fleet.gateways["south-1"]
        reader.fleet.follower.start()
        fleet.advance(2.0)
        assert "south-1" not in self.find_accepting(fleet)
        assert len(self.find_accepting(fleet)) == 6

    def test_notices_in_force_cost_no_repeated_messages_between_all(self) -> None:
        fleet = self.build()
        removal = StoreRecord(2, "i-1", b"")
        fleet.gateways["west-1"].fleet.apply_records([removal])
        fleet.advance(2.0)
        before = self.count_notices(fleet)
        fleet.advance(10.0)
        # Every half second each relay tells the other relays and its own VMs.
        relays = [
            vm for name in ("north", "south", "west") for vm in fleet.list_relays(name)
        ]
        most = 20 * (len(relays) * (len(relays) - 1) + 2 * (7 - len(relays)))
        assert self.count_notices(fleet) - before <= 1.1 * most

    def count_notices(self, fleet: SimulatedFleet) -> int:
        return sum(
            type(message).__name__ == "ServerNotices"
            for gateway in fleet.gateways.values()
            for _, message in gateway.mesh.sent
        )


class TestNoticeTable:
    """Notices of an earlier process must not bind a server that started again."""

    def test_later_process_is_not_bound(self) -> None:
        table = NoticeTable()
        assert table.record(Departure("i-1", 4, FOREVER), 1.0)
        gateway = GatewayFixture()
        gateway.add_server("i-1", "lm", 30, born=5)
        server = gateway.fleet.fleet.servers["i-1"]
        assert not table.is_leaving(server, StorePosition(0, 0))
        assert table.is_leaving(server._replace(born=4), StorePosition(9, 10**9))
        table.record(Departure("i-1", 5, StorePosition(0, 7)), 2.0)
        assert not table.record(Departure("i-1", 4, FOREVER), 3.0)
        assert table.is_leaving(server, StorePosition(0, 7))
        assert not table.is_leaving(server, StorePosition(0, 8))

    def test_repeated_notice_tells_nothing_new(self) -> None:
        table = NoticeTable()
        assert table.record(Departure("i-1", 4, StorePosition(0, 7)), 1.0)
        assert not table.record(Departure("i-1", 4, StorePosition(0, 7)), 2.0)
        assert not table.record(Departure("i-1", 4, StorePosition(0, 6)), 2.0)

    def test_notices_of_servers_that_are_gone_are_forgotten(self) -> None:
        table = NoticeTable()
        for number in range(100):
            table.record(Departure(f"i-{number}", 1, StorePosition(0, 7)), 1.0)
        table.expire({"i-3"}, 1_000.0)
        assert [name for name, _ in table.list_conditions()] == ["i-3"]


class TestLeavingServer:
    """A server that says in an answer that it leaves got further requests."""

    def list_targets(self, gateway: GatewayFixture, route: str, count: int = 12):
        before = len(gateway.pool.sent)
        for _ in range(count):
            gateway.request(route)
        return {sent.address[0] for sent in gateway.pool.sent[before:]}

    def answer(self, gateway: GatewayFixture, route: str, status: int, **headers: str):
        gateway.request(route)
        sent = gateway.pool.sent[-1]
        sent.reply(status, EVENT, **headers)
        return sent.address[0]

    @pytest.mark.parametrize("route", ["unsafe", "safe", "ask"])
    def test_answer_of_a_leaving_server(self, route: str) -> None:
        gateway = GatewayFixture()
        left = self.answer(gateway, route, 200, server_leaving="1")
        assert left not in self.list_targets(gateway, route)

    def test_refusal_of_a_leaving_server(self) -> None:
        gateway = GatewayFixture()
        headers = {"server_leaving": "1", "x_wisteriagw_not_executed": "1"}
        self.answer(gateway, "unsafe", 503, **headers)
        assert len(gateway.fleet.fleet.list_service("desk")) == 1

    def test_prefill_by_a_leaving_engine(self) -> None:
        gateway = GatewayFixture()
        gateway.add_server("lm-9", "lm", 19, stage="prefill")
        gateway.request("long", prompt="17000,20")
        sent = gateway.pool.sent[-1]
        assert sent.address[0] == "10.0.0.19"
        sent.reply(200, b'{"kv_handle": "h"}', server_leaving="1")
        assert gateway.fleet.fleet.servers["lm-9"].leaving

    @pytest.mark.parametrize("value", ["0", "", "true", "11"])
    def test_other_value_says_nothing(self, value: str) -> None:
        gateway = GatewayFixture()
        self.answer(gateway, "unsafe", 200, server_leaving=value)
        assert len(gateway.fleet.fleet.list_service("desk")) == 2

    def test_answer_to_another_request_says_nothing(self) -> None:
        gateway = GatewayFixture()
        headers = {"server_leaving": "1", "x_wisteriagw_request_id": "r0"}
        self.answer(gateway, "unsafe", 200, **headers)
        assert len(gateway.fleet.fleet.list_service("desk")) == 2

    def test_service_whose_servers_all_leave_refuses_at_once(self) -> None:
        gateway = GatewayFixture()
        for _ in range(2):
            self.answer(gateway, "unsafe", 200, server_leaving="1")
        responder = gateway.request("unsafe")
        assert responder.status == 503 and b"retry-after" in responder.headers
        assert len(gateway.pool.sent) == 2

    def test_register_entry_does_not_overrule_the_server(self) -> None:
        gateway = GatewayFixture()
        gateway.fleet.apply_relayed_changes([build_record(5)])
        server = gateway.fleet.fleet.servers["i-1"]
        gateway.notices.record(Departure("i-1", server.born, FOREVER))
        gateway.fleet.apply_relayed_changes([build_record(9)])
        assert gateway.fleet.fleet.servers["i-1"].leaving
        gateway.fleet.apply_relayed_changes([build_record(10, born=2)])
        assert not gateway.fleet.fleet.servers["i-1"].leaving


class TestPausedServer:
    """A server that refused a request and asked for a pause got further requests."""

    def refuse(self, gateway: GatewayFixture, value: str | None, route="unsafe") -> str:
        """Let a server refuse a request, and return its address."""
        gateway.request(route)
        sent = gateway.pool.sent[-1]
        headers = {"x_wisteriagw_not_executed": "1"}
        if value is not None:
            headers["retry_after"] = value
        sent.reply(503, **headers)
        return sent.address[0]

    def is_accepting(self, gateway: GatewayFixture, address: str) -> bool:
        now = gateway.clock.seconds()
        return any(
            server.address[0] == address and not gateway.notices.find_wait(server, now)
            for server in gateway.fleet.fleet.list_service("desk")
        )

    @pytest.mark.parametrize("value", ["3", "3.0", " 3 ", "2.95"])
    def test_no_request_until_its_end(self, value: str) -> None:
        gateway = GatewayFixture()
        del gateway.fleet.fleet.servers["desk-2"]
        self.refuse(gateway, value)
        for _ in range(29):
            assert gateway.request("unsafe").status == 503
            gateway.clock.advance(0.1)
        assert len(gateway.pool.sent) == 1
        gateway.clock.advance(0.2)
        gateway.request("unsafe")
        assert len(gateway.pool.sent) == 2

    @pytest.mark.parametrize(
        "value",
        [None, "", "-3", "nan", "inf", "soon", "1_0", "Wed, 21 Oct 2026 07:28:00 GMT"],
    )
    def test_value_that_is_no_time_asks_for_no_pause(self, value: str | None) -> None:
        gateway = GatewayFixture()
        assert self.is_accepting(gateway, self.refuse(gateway, value))

    @pytest.mark.parametrize("value", ["1000000000000", "9" * 400])
    def test_huge_value_ends_after_an_hour(self, value: str) -> None:
        gateway = GatewayFixture()
        paused = self.refuse(gateway, value)
        gateway.clock.advance(3_500.0)
        gateway.confirm()
        assert not self.is_accepting(gateway, paused)
        gateway.clock.advance(200.0)
        assert self.is_accepting(gateway, paused)

    def test_other_status_asks_for_no_pause(self) -> None:
        gateway = GatewayFixture()
        gateway.request("unsafe")
        sent = gateway.pool.sent[-1]
        sent.reply(429, retry_after="3", x_wisteriagw_not_executed="1")
        assert self.is_accepting(gateway, sent.address[0])

    def test_longer_pause_replaces_a_shorter_one_only(self) -> None:
        table = NoticeTable()
        table.record(Pause("i-1", 1, 4.0), 10.0)
        table.record(Pause("i-1", 1, 1.0), 11.0)
        server = GatewayFixture().fleet.fleet.servers["desk-1"]
        server = server._replace(name="i-1", born=1)
        assert table.find_pause(server, 12.0) == 2.0
        table.record(Pause("i-1", 1, 4.0), 12.0)
        assert table.find_pause(server, 12.0) == 4.0
        assert table.find_pause(server._replace(born=2), 12.0) == 0.0

    def test_service_whose_servers_all_pause_refuses_at_once(self) -> None:
        """Retry-After is the time until the first of them wants requests."""
        gateway = GatewayFixture()
        self.refuse(gateway, "3")
        self.refuse(gateway, "2")
        before = len(gateway.pool.sent)
        responder = gateway.request("unsafe")
        assert responder.status == 503 and responder.ended
        assert 2.0 <= float(responder.headers[b"retry-after"]) < 3.0
        assert len(gateway.pool.sent) == before

    def test_repeated_notices_of_all_vms_do_not_extend_it(self) -> None:
        fleet = SimulatedFleet({"north": 4, "south": 2, "west": 1})
        fleet.advance(2.0)
        for gateway in fleet.gateways.values():
            gateway.fleet.apply_relayed_changes([build_record(1)])
        fleet.gateways["north-4"].notices.record(Pause("i-1", 1, 8.0))
        fleet.advance(SPREAD_SECONDS)
        assert len(self.list_paused(fleet)) == 7
        fleet.advance(8.0)
        assert self.list_paused(fleet) == []

    def test_notices_in_force_are_counted(self) -> None:
        gateway = GatewayFixture()
        gateway.notices.record(Pause("desk-1", 0, 3.0))
        gateway.notices.record(Departure("desk-2", 0, FOREVER))
        gateway.notices.record(RateLimit("lm-1", 0, 2.0))
        gateway.clock.advance(1.0)
        assert set(gateway.notices.count_in_force().values()) == {1}
        gateway.notices.record(RateLimit("lm-1", 0, float("inf")))
        gateway.clock.advance(3.0)
        counts = gateway.notices.count_in_force()
        assert counts == {"Departure": 1, "Pause": 0, "RateLimit": 0}

    def list_paused(self, fleet: SimulatedFleet) -> list[str]:
        return [
            vm
            for vm, gateway in fleet.gateways.items()
            if gateway.notices.find_wait(
                gateway.fleet.fleet.servers["i-1"], gateway.clock.seconds()
            )
        ]
