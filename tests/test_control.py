"""Tests of the orders of the control program."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support import FakePlatform, MemoryLog, VirtualClock
from tests.support._fake_platform import BACKENDS, ENGINE, VM_LIST
from wisteriagw.clients import LogUnavailableError
from wisteriagw.control import EngineReport, FleetView, plan_sheet_roles
from wisteriagw.control._control_context import ControlContext
from wisteriagw.control._dispatch import dispatch_order, record_settled_orders
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


class ControlProcesses:
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
        lease = LeaseController(self.log, "fleet", identity, self.clock)
        values = {"vm": vm, "vm-list": VM_LIST, "backends": BACKENDS}
        values["backends-check-fencing"] = "false"
        values["log-retention-records"] = 1000
        values["log-retention-seconds"] = 1000.0
        return ControlContext(values, self.platform, self.log, lease, self.clock)

    def run(self, order, cycles: int = 8, *numbers: int) -> None:
        """Run cycles of half a second in which one order is requested."""
        for _ in range(cycles):
            self.clock.advance(0.5)
            for number in numbers or (0, 1):
                context = self.contexts[number]
                follow(context)
                dispatched = dispatch_order(order, context)
                dispatched.addErrback(lambda failure: failure.trap(LogUnavailableError))
                context.audit.flush()

    def read(self, stream: str) -> list:
        """Return the records of a stream."""
        page = self.log.store.read(stream, 0, 1000)
        return [decode_record(record.data) for record in page.records]


class TestEngineDispatch:
    """Guards against a second order while the first one may still take effect."""

    def test_lost_reply_is_followed_by_a_read_and_no_second_order(self) -> None:
        processes = ControlProcesses()
        processes.platform.fault = "lost"
        sent: list[str] = []
        for context in processes.contexts:
            context.metrics.send = sent.append
        processes.run(ROLE, 20)
        assert sent == ["orders.sent", "orders.unknown"]
        calls = processes.platform.calls
        assert calls.count("POST /orders") == 1
        assert calls[calls.index("POST /orders") + 1] == "GET /state"
        assert processes.platform.engine.describe()["role"] == "prefill"
        assert processes.platform.engine.conflicts == 0

    def test_every_order_and_its_result_is_in_the_audit_trail(self) -> None:
        processes = ControlProcesses()
        processes.platform.fault = "down"
        processes.run(ROLE, 20)
        entries = processes.read("audit")
        assert all(isinstance(entry, AuditEntry) for entry in entries)
        assert [entry.result for entry in entries] == ["not run: down", "taken"]
        assert {entry.actor for entry in entries} == {"control on vm-0"}


class TestBackendServerDispatch:
    """Guards against paying twice and against orders without an intent in the log."""

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
        processes = ControlProcesses()
        for fault in faults:
            if fault in ("down", "lost", "late"):
                processes.platform.fault = fault
            if fault == "release":
                processes.platform.deliver_late_orders()
            if fault == "log lost":
                processes.log.lose_replies = 1
            processes.log.down = fault == "log down"
            if fault == "kill":
                processes.contexts[0] = processes.build_context("vm-0")
            processes.run(NEED)
            assert len(processes.platform.store.list_orders()) <= 1
        processes.log.down = False
        processes.run(NEED, 140)
        processes.platform.deliver_late_orders()
        orders = processes.platform.store.list_orders()
        assert len(orders) == 1
        intents = processes.read("orders")
        assert isinstance(intents[0], OrderIntent)
        assert intents[0].order_id == orders[0].order_id

    def test_paused_holder_and_its_successor_do_not_both_order(self) -> None:
        processes = ControlProcesses()
        processes.platform.fault = "late"
        processes.run(NEED, 8, 0)
        processes.run(NEED, 60, 1)
        assert processes.contexts[1].authority.lease.get_fencing_number() is not None
        assert processes.platform.calls.count("POST /orders") == 1
        processes.platform.vms = ["vm-1"]
        processes.run(NEED, 60, 1)
        processes.platform.deliver_late_orders()
        assert len(processes.platform.store.list_orders()) == 1

    def test_backend_server_is_released_once_and_its_need_is_settled(self) -> None:
        processes = ControlProcesses()
        processes.run(NEED)
        order_id = processes.platform.store.list_orders()[0].order_id
        processes.platform.fault = "lost"
        processes.run(GiveBack(order_id), 20)
        processes.run(GiveBack("unknown"), 4)
        assert processes.platform.calls.count("POST /orders") == 2
        assert processes.platform.store.list_orders()[0].state == "given_back"
        record_settled_orders(processes.contexts[0])
        follow(processes.contexts[0])
        assert processes.contexts[0].orders_follower.state == {}


class TestLeavingVm:
    """Guards against a handover that needlessly waits for the end of the term."""

    def test_holder_on_a_leaving_vm_releases_the_authority(self) -> None:
        processes = ControlProcesses()
        processes.run(ROLE, 20)
        processes.platform.leaving = {"vm-0"}
        processes.run(ROLE, 4)
        leases = [context.authority.lease for context in processes.contexts]
        assert leases[0].get_fencing_number() is None
        assert leases[1].get_fencing_number() is not None
        assert leases[1].list_unproved_holders() == ()


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
            assert plan_sheet_roles(FleetView(0, SHEET, (report,), ()), 0.0) == orders
