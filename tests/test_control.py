"""Tests of the control program's handling of orders."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support import FakePlatform, MemoryLog, VirtualClock
from tests.support._fake_platform import BACKENDS, ENGINE, VM_LIST
from wisteriagw.clients import LogUnavailableError
from wisteriagw.control import EngineReport, FleetView, plan_fleet
from wisteriagw.control._control_context import ControlContext
from wisteriagw.control._dispatch import dispatch_order, settle_needs
from wisteriagw.control._main import follow
from wisteriagw.leases import LeaseController, ProcessIdentity
from wisteriagw.orders import ChangeRole, EngineState, GiveBack, OrderBackendServer
from wisteriagw.records import (
    AuditEntry,
    OrderIntent,
    SheetPublished,
    decode_record,
    encode_record,
)

NEED = OrderBackendServer("dc1/m/1", "dc1", "m", reclaimable=True)
ROLE = ChangeRole("e", "prefill")
ROW = {
    "name": "e",
    "data_centre": "dc1",
    "address": f"{ENGINE[0]}:{ENGINE[1]}",
    "kind": "engine",
    "serves": "m",
    "role": "prefill",
    "checks_fencing": False,
    "reclaimable": False,
}
SHEET = {"customers": [], "models": [], "backend_servers": [ROW], "routes": []}


class Fleet:
    """Two control processes over one log and one fake platform."""

    def __init__(self) -> None:
        self.clock, self.log = VirtualClock(), MemoryLog()
        self.platform = FakePlatform(self.clock, checks_fencing=False)
        self.platform.vms = ["vm-0", "vm-1"]
        self.log.append("config", encode_record(SheetPublished(-1, SHEET, "a", "n")))
        self.contexts = [self.build_context(f"vm-{number}") for number in range(2)]

    def build_context(self, vm: str) -> ControlContext:
        """Return a new control process on a VM."""
        identity = ProcessIdentity(vm, f"{vm}@{self.clock()}", "127.0.0.1:7700")
        keeper = LeaseController(self.log, "fleet", identity, self.clock)
        values = {"vm": vm, "vm-list": VM_LIST, "backends": BACKENDS}
        values["backends-check-fencing"] = "false"
        values["log-retention-records"] = 1000
        values["log-retention-seconds"] = 1000.0
        return ControlContext(values, self.platform, self.log, keeper, self.clock)

    def run(self, order, turns: int = 8, *numbers: int) -> None:
        """Take turns, half a second each, in which one order is wanted."""
        for _ in range(turns):
            self.clock.advance(0.5)
            for number in numbers or (0, 1):
                context = self.contexts[number]
                follow(context)
                wanted = dispatch_order(order, context)
                wanted.addErrback(lambda failure: failure.trap(LogUnavailableError))
                context.audit.flush()

    def read(self, stream: str) -> list:
        """Return the records of a stream."""
        page = self.log.store.read(stream, 0, 1000)
        return [decode_record(record.data) for record in page.records]


class TestEngineDispatch:
    """Guards against a second order while the first one may still take effect."""

    def test_lost_reply_is_followed_by_a_read_and_no_second_order(self) -> None:
        fleet = Fleet()
        fleet.platform.fault = "lost"
        sent: list[str] = []
        for context in fleet.contexts:
            context.metrics.send = sent.append
        fleet.run(ROLE, 20)
        assert sent == ["orders.sent", "orders.unknown"]
        calls = fleet.platform.calls
        assert calls.count("POST /orders") == 1
        assert calls[calls.index("POST /orders") + 1] == "GET /state"
        assert fleet.platform.engine.describe()["role"] == "prefill"
        assert fleet.platform.engine.conflicts == 0

    def test_every_order_and_its_result_is_in_the_audit_trail(self) -> None:
        fleet = Fleet()
        fleet.platform.fault = "down"
        fleet.run(ROLE, 20)
        entries = fleet.read("audit")
        assert all(isinstance(entry, AuditEntry) for entry in entries)
        assert [entry.result for entry in entries] == ["not run: down", "taken"]
        assert {entry.actor for entry in entries} == {"control on vm-0"}


class TestNeedDispatch:
    """Guards against paying twice and against orders that the log does not know."""

    @settings(derandomize=True, max_examples=30, deadline=None)
    @given(
        st.lists(
            st.sampled_from(
                ("down", "lost", "late", "release", "log lost", "log down", "kill")
            ),
            min_size=1,
            max_size=6,
        )
    )
    def test_need_is_met_once_under_any_faults(self, faults) -> None:
        fleet = Fleet()
        for fault in faults:
            if fault in ("down", "lost", "late"):
                fleet.platform.fault = fault
            if fault == "release":
                fleet.platform.release()
            if fault == "log lost":
                fleet.log.lose_replies = 1
            fleet.log.down = fault == "log down"
            if fault == "kill":
                fleet.contexts[0] = fleet.build_context("vm-0")
            fleet.run(NEED)
            assert len(fleet.platform.store.list_orders()) <= 1
        fleet.log.down = False
        fleet.run(NEED, 140)
        fleet.platform.release()
        orders = fleet.platform.store.list_orders()
        assert len(orders) == 1
        intents = fleet.read("orders")
        assert isinstance(intents[0], OrderIntent)
        assert intents[0].order_id == orders[0].order_id

    def test_paused_holder_and_its_successor_do_not_both_order(self) -> None:
        fleet = Fleet()
        fleet.platform.fault = "late"
        fleet.run(NEED, 8, 0)
        fleet.run(NEED, 60, 1)
        assert fleet.contexts[1].authority.keeper.get_fencing_number() is not None
        assert fleet.platform.calls.count("POST /orders") == 1
        fleet.platform.vms = ["vm-1"]
        fleet.run(NEED, 60, 1)
        fleet.platform.release()
        assert len(fleet.platform.store.list_orders()) == 1

    def test_backend_server_is_given_back_once_and_its_need_is_settled(self) -> None:
        fleet = Fleet()
        fleet.run(NEED)
        order_id = fleet.platform.store.list_orders()[0].order_id
        fleet.platform.fault = "lost"
        fleet.run(GiveBack(order_id), 20)
        fleet.run(GiveBack("unknown"), 4)
        assert fleet.platform.calls.count("POST /orders") == 2
        assert fleet.platform.store.list_orders()[0].state == "given_back"
        settle_needs(fleet.contexts[0])
        follow(fleet.contexts[0])
        assert fleet.contexts[0].orders_follower.state == {}


class TestLeavingVm:
    """Guards against an authority that waits for the end of the term for no reason."""

    def test_holder_on_a_leaving_vm_hands_over(self) -> None:
        fleet = Fleet()
        fleet.run(ROLE, 20)
        fleet.platform.leaving = {"vm-0"}
        fleet.run(ROLE, 4)
        keepers = [context.authority.keeper for context in fleet.contexts]
        assert keepers[0].get_fencing_number() is None
        assert keepers[1].get_fencing_number() is not None
        assert keepers[1].list_unproved_holders() == ()


class TestPlanner:
    """Guards against role changes that the sheet does not ask for."""

    def test_only_a_known_engine_in_another_role_is_changed(self) -> None:
        state = EngineState("decode", "m", "1", (), False, "", -1)
        reports = (
            EngineReport(ROW, state, 0.0, draining=False),
            EngineReport(ROW, state._replace(role="prefill"), 0.0, draining=False),
            EngineReport(ROW, None, 0.0, draining=False),
            EngineReport(ROW, state, 0.0, draining=True),
        )
        for report, orders in zip(reports, ((ROLE,), (), (), ()), strict=True):
            assert plan_fleet(FleetView(0, SHEET, (report,), ()), 0.0) == orders
