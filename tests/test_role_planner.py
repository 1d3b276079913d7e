"""Tests of the role changes that the control program orders."""

from __future__ import annotations

import json

import pytest
from twisted.internet.defer import succeed

from tests.support import FakePlatform, MemoryLog, VirtualClock
from tests.support._fake_platform import BACKENDS, ENGINE, VM_LIST
from wisteriagw.clients import VmListClient
from wisteriagw.control import (
    DemandReader,
    EngineReport,
    FleetPlanner,
    FleetView,
    RoleHistory,
    plan_demand_roles,
)
from wisteriagw.control._control_context import ControlContext
from wisteriagw.control._dispatch import dispatch_order, read_engine
from wisteriagw.control._main import follow
from wisteriagw.leases import LeaseController, ProcessIdentity
from wisteriagw.orders import ChangeRole, EngineState
from wisteriagw.outcomes import Done, FailedNotRun
from wisteriagw.records import SheetPublished, encode_record
from wisteriagw.roles import Demand

NOW = 1000.0
NEVER = float("-inf")
STATE = EngineState("decode", "m", "1", (), False, "", -1)
SHIFTED = {"m": Demand(95_000.0, 3_000.0, NOW)}
MATCHED = {"m": Demand(40_000.0, 5_000.0, NOW)}
STEADY = {"m": RoleHistory(0.0)}
SHEET = {"customers": [], "models": [], "routes": []}


def build_row(number: int, role: str, *, checks_fencing: bool = True) -> dict:
    """Return an engine of the sheet."""
    row = {"name": f"e{number}", "data_centre": "dc1", "kind": "engine", "serves": "m"}
    address = f"{ENGINE[0]}:{ENGINE[1]}"
    rest = {"role": role, "address": address, "reclaimable": False}
    return {**row, **rest, "checks_fencing": checks_fencing}


def build_view(changes: dict | None = None, sheet: str = "") -> FleetView:
    """Return two prefill and four decode engines, and one of them changed."""
    reports = []
    for number in range(6):
        role = "prefill" if number < 2 else "decode"
        row = build_row(number, sheet or role)
        state = STATE._replace(role=sheet or role)
        reports.append(EngineReport(row, state, NOW, draining=False))
    reports[5] = reports[5]._replace(**changes or {})
    return FleetView(0, SHEET, tuple(reports), ())


class TestPlan:
    """Guards against changes without a shift, and against two at a time."""

    @pytest.mark.parametrize(
        ("view", "demands", "histories", "expected"),
        [
            (build_view(), SHIFTED, STEADY, 1),
            (build_view(), MATCHED, STEADY, 0),
            (build_view(), None, STEADY, 0),
            (build_view(), {"m": SHIFTED["m"]._replace(at=NOW - 21)}, STEADY, 0),
            (build_view(), SHIFTED, {"m": RoleHistory(NOW - 5)}, 0),
            (build_view(), SHIFTED, {"m": RoleHistory(0, ((NOW - 5, "decode"),))}, 0),
            (build_view(), SHIFTED, {}, 0),
            (build_view({"sent_at": NOW}), SHIFTED, STEADY, 0),
            (build_view({"state": STATE._replace(changing=True)}), SHIFTED, STEADY, 0),
            (build_view({"draining": True}), SHIFTED, STEADY, 1),
            (build_view({"state": None}), SHIFTED, STEADY, 1),
            (build_view(sheet="mixed"), SHIFTED, STEADY, 0),
            (build_view({"state": STATE._replace(role="mixed")}), SHIFTED, STEADY, 1),
        ],
    )
    def test_orders_by_case(self, view, demands, histories, expected) -> None:
        orders = plan_demand_roles(view, demands, histories, NOW)
        assert len(orders) == expected
        last = view.engines[5]
        if last.state is None or last.draining:
            assert orders[0].engine != "e5"
        if last.state is not None and last.state.role == "mixed" and expected:
            # The engine changes to its role on the sheet before any other change.
            assert orders == (ChangeRole("e5", "decode"),)


class FakeHttpClient:
    """HTTP client that serves a VM list and a demand for each VM."""

    def __init__(self, hosts: int) -> None:
        self.hosts = [f"127.0.0.{number + 1}" for number in range(hosts)]
        self.down: set[str] = set()
        self.requested: list[str] = []

    def send(self, address, method, path, *_, **__):
        """Return the outcome of a call."""
        if path == "/vms":
            fields = {"data_centre": "d", "leaving": False}
            vms = [{**fields, "name": host, "host": host} for host in self.hosts]
            return succeed(Done(200, json.dumps(vms).encode()))
        self.requested.append(address[0])
        if address[0] in self.down:
            return succeed(FailedNotRun("down"))
        rates = {"prefill_tokens_per_second": 10.0, "decode_tokens_per_second": 1.0}
        return succeed(Done(200, json.dumps({"models": {"m": rates}}).encode()))


class TestDemandReader:
    """Guards against a partial sum that is used as the total demand."""

    def read(self, client: FakeHttpClient, clock: VirtualClock, cycles: int):
        """Return the demand after some cycles, two seconds apart."""
        vm_list = VmListClient(client, ("127.0.0.1", 1))
        reader = DemandReader(client, vm_list, 7870, "", clock)
        results: list = []
        for _ in range(cycles):
            clock.advance(2.0)
            reader.read().addCallback(results.append)
        return results

    @pytest.mark.parametrize(("failed", "known"), [(0, 8), (3, 5), (4, 4), (5, None)])
    def test_sum_needs_half_of_the_vms(self, failed: int, known: int | None) -> None:
        client = FakeHttpClient(8)
        client.down = set(client.hosts[:failed])
        demand = self.read(client, VirtualClock(NOW), 1)[-1]
        expected = known and {"m": Demand(known * 10.0, known * 1.0, NOW + 2)}
        assert demand == expected

    def test_calls_of_a_cycle_are_bounded_and_reach_every_vm(self) -> None:
        client = FakeHttpClient(250)
        results = self.read(client, VirtualClock(NOW), 4)
        assert len(client.requested) <= 4 * 64
        assert results[0] is None
        assert results[-1]["m"].prefill_tokens_per_second == 2500.0


class TestOrders:
    """Guards against role changes without the authority that an engine needs."""

    def build(self, clock: VirtualClock, log: MemoryLog, platform, vm: str):
        """Return a control process and its planner."""
        identity = ProcessIdentity(vm, f"{vm}@{clock()}", "127.0.0.1:7700")
        lease = LeaseController(log, "fleet", identity, clock)
        values = {"vm": vm, "vm-list": VM_LIST, "backends": BACKENDS}
        values |= {"backends-check-fencing": "false", "entry-operator-port": 0}
        values |= {"log-retention-records": 1000, "log-retention-seconds": 1000.0}
        values["operator-token-file"] = None
        context = ControlContext(values, platform, log, lease, clock)
        return context, FleetPlanner(context, platform)

    @pytest.mark.parametrize("checks_fencing", [True, False])
    def test_unproved_predecessor_and_lost_reply(self, checks_fencing: bool) -> None:
        clock, log = VirtualClock(), MemoryLog()
        platform = FakePlatform(clock, checks_fencing=checks_fencing)
        platform.vms = ["vm-0", "vm-1"]
        row = build_row(0, "prefill", checks_fencing=checks_fencing)
        sheet = {**SHEET, "backend_servers": [row]}
        log.append("config", encode_record(SheetPublished(-1, sheet, "a", "n")))
        first, _ = self.build(clock, log, platform, "vm-0")
        for _ in range(40):
            clock.advance(0.5)
            follow(first)
        assert first.authority.lease.get_fencing_number() is not None
        context, planner = self.build(clock, log, platform, "vm-1")
        order = ChangeRole("e0", "prefill")
        platform.fault = "lost"
        for _ in range(60):
            clock.advance(0.5)
            follow(context)
            sent_before = planner.get_sent_at(order)
            dispatch_order(order, context)
            planner.record_sent(order, sent_before)
            if "m" in planner.histories:
                break
        assert context.authority.lease.get_fencing_number() is not None
        assert platform.calls.count("POST /orders") == int(checks_fencing)
        assert ("m" in planner.histories) == checks_fencing
        report = context.build_fleet_view().engines[0]
        assert (NEVER < report.sent_at >= report.read_at) == checks_fencing
        clock.advance(0.5)
        read_engine(context, "e0")
        report = context.build_fleet_view().engines[0]
        assert report.sent_at < report.read_at
        assert report.state.changing == checks_fencing
