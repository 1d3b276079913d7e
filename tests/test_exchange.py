"""Tests of the load reports and of the work that entry VMs exchange."""

from __future__ import annotations

import json

import pytest
from twisted.internet.defer import gatherResults, inlineCallbacks
from twisted.trial.unittest import TestCase
from twisted.web.test.requesthelper import DummyRequest

from tests.support import LoopbackFleet, VirtualClock
from wisteriagw.clients import VmEntry
from wisteriagw.clocks import read_boot_time
from wisteriagw.dispatch import Dispatched, Dispatcher
from wisteriagw.entry._operators_demand import DemandResource
from wisteriagw.entry._report_reader import ReportReader
from wisteriagw.exchange import (
    READERS_PER_ENGINE,
    ROWS_PER_SECOND,
    WorkExchange,
    list_assigned_engines,
    parse_engine_load,
)
from wisteriagw.membership import apply_vm_list, build_membership
from wisteriagw.messages import WorkReport, decode_message, encode_message
from wisteriagw.routing import BackendView, LoadReport, LoadTable, RouteRequest
from wisteriagw.standins._delayed_reports import DelayedReports
from wisteriagw.standins._engine import Engine
from wisteriagw.standins._engine_speed import EngineSpeed

LOAD_RESPONSE = {"running": 2, "waiting": 1, "queued_prefill_tokens": 500}


class MembershipView:
    """Membership of one VM with the attribute that the exchange reads."""

    def __init__(self, vm: str, entries: list[VmEntry]) -> None:
        data_centre = next(entry.data_centre for entry in entries if entry.name == vm)
        state = build_membership(vm, data_centre, "127.0.0.1", 1, 0.0)
        self.state = apply_vm_list(state, entries)


class ExchangeNetwork:
    """Exchanges of some VMs whose messages arrive at once, through the codec."""

    def __init__(self, entries: list[VmEntry], servers: int = 1) -> None:
        self.clock = VirtualClock(1.0)
        self.sent: list[tuple[str, str, bytes]] = []
        self.dispatchers: dict[str, Dispatcher] = {}
        self.exchanges: dict[str, WorkExchange] = {}
        self.views: dict[str, MembershipView] = {}
        for entry in entries:
            name = entry.name
            table = LoadTable({})
            table.set_servers(
                BackendView(f"e{number}", "dc0", "model", "decode", max_streams=1)
                for number in range(servers)
            )
            self.dispatchers[name] = Dispatcher(table, {}, lambda bound: 0)
            self.views[name] = MembershipView(name, entries)
            self.exchanges[name] = WorkExchange(
                self.dispatchers[name],
                self.views[name],
                self.clock,
                lambda vm, message, name=name: self.send(name, vm, message),
            )

    def send(self, sender: str, vm: str, message: WorkReport) -> None:
        """Deliver a message."""
        data = encode_message(message)
        self.sent.append((sender, vm, data))
        self.exchanges[vm].handle(sender, decode_message(data))

    def tick(self) -> None:
        """Let every VM send its pending work and reports."""
        for exchange in self.exchanges.values():
            exchange.tick()


def build_entries(count: int, data_centres: int = 1) -> list[VmEntry]:
    """Return a VM list."""
    return [
        VmEntry(f"vm-{n}", f"dc{n % data_centres}", "127.0.0.1", leaving=False)
        for n in range(count)
    ]


def build_rows(count: int) -> list[dict]:
    """Return engines of a sheet."""
    return [
        {"name": f"e{n}", "data_centre": f"dc{n % 2}", "kind": "engine"}
        for n in range(count)
    ]


class TestEngineLoad:
    """Guards against figures that appear newer than they are or are not valid."""

    def test_age_is_taken_from_the_clock_of_the_engine(self) -> None:
        response = {
            **LOAD_RESPONSE,
            "as_of": 9000.0,
            "sent_at": 9003.5,
            "leaving": True,
        }
        observed = parse_engine_load("e1", response, 100.0)
        assert observed == (LoadReport("e1", 96.5, 500.0, 3), True)

    @pytest.mark.parametrize("value", [None, "3", float("nan"), float("inf")])
    def test_invalid_figures_are_rejected(self, value: object) -> None:
        response = {**LOAD_RESPONSE, "as_of": 1.0, "sent_at": 1.0, "running": value}
        assert parse_engine_load("e1", response, 100.0) is None

    @pytest.mark.parametrize("lag", [0.0, 1.0, 5.0])
    def test_standin_engine_reports_its_load_with_the_set_lag(self, lag: float) -> None:
        clock = VirtualClock()
        engine = Engine(EngineSpeed(20_000, 0.01))
        reports = DelayedReports(engine, clock, lag)
        for second in range(10):
            engine.leaving = second > 8
            engine.now = clock()
            engine.describe_load = lambda second=second: {"running": second}
            reports.sample()
            clock.advance(1)
        clock.advance(-1)
        shown = reports.describe()
        assert shown["sent_at"] - shown["as_of"] == lag
        assert shown["running"] == 9 - lag
        assert shown["leaving"]


class TestReaderAssignment:
    """Guards against engines without a reader, and against unbounded calls."""

    @pytest.mark.parametrize(("vms", "data_centres"), [(7, 4), (16, 4), (40, 2)])
    def test_each_of_many_engines_has_two_readers(
        self, vms: int, data_centres: int
    ) -> None:
        entries, rows = build_entries(vms, data_centres), build_rows(100)
        readers = dict.fromkeys((row["name"] for row in rows), 0)
        for entry in entries:
            assigned = list_assigned_engines(
                rows, MembershipView(entry.name, entries).state, 1.0
            )
            assert len(assigned) <= 4 * READERS_PER_ENGINE * len(rows) / vms
            for row in assigned:
                readers[row["name"]] += 1
        assert set(readers.values()) == {READERS_PER_ENGINE}

    def test_few_engines_are_read_by_all_and_services_by_none(self) -> None:
        rows = [*build_rows(9), {"name": "s", "data_centre": "dc0", "kind": "service"}]
        state = MembershipView("vm-0", build_entries(7)).state
        assert list_assigned_engines(rows, state, 1.0) == rows[:9]

    def test_engines_of_a_failed_vm_are_reassigned(self) -> None:
        entries, rows = build_entries(3), build_rows(60)
        state = MembershipView("vm-0", entries).state
        assert len(list_assigned_engines(rows, state, 1.0)) < 60
        assert len(list_assigned_engines(rows, state, 10.0)) == 60


class TestWorkExchange:
    """Guards against shares that a customer exceeds through several entry VMs."""

    def run_flood(self, *, exchanged: bool) -> dict[str, int]:
        """Flood two VMs from one customer, use one from another; count the served."""
        network = ExchangeNetwork(build_entries(2))
        served = {"flood": 0, "small": 0}
        for step in range(400):
            for name, dispatcher in network.dispatchers.items():
                for customer in ("flood", "small"):
                    if customer == "small" and name == "vm-1":
                        continue
                    request = RouteRequest(customer, "model", 400)
                    handle = f"{customer}-{name}-{step}"
                    dispatcher.submit(
                        handle, request, network.clock() + 1e6, network.clock()
                    )
                for result in dispatcher.dispatch_queued(network.clock()):
                    if not isinstance(result, Dispatched):
                        continue
                    served[result.handle.partition("-")[0]] += 1
                    dispatcher.record_end(result.handle, 100, network.clock())
            network.clock.advance(0.1)
            if exchanged and step % 10 == 0:
                network.tick()
        return served

    def test_flood_through_two_vms_gets_no_more_than_its_share(self) -> None:
        alone = self.run_flood(exchanged=False)
        served = self.run_flood(exchanged=True)
        assert alone["flood"] > 0.7 * sum(alone.values())
        assert served["flood"] <= 0.55 * sum(served.values())

    def test_outstanding_work_is_applied_by_the_peer(self) -> None:
        network = ExchangeNetwork(build_entries(2))
        request = RouteRequest("a", "model", 400)
        network.dispatchers["vm-0"].submit("h", request, 9e9, network.clock())
        network.dispatchers["vm-0"].dispatch_queued(network.clock())
        network.tick()
        load = network.dispatchers["vm-1"].table.loads["e0"]
        assert load.estimate(network.clock())[:2] == (400.0, 1.0)

    @pytest.mark.parametrize(("vms", "data_centres"), [(4, 2), (24, 3)])
    def test_work_counts_once_everywhere(self, vms: int, data_centres: int) -> None:
        network = ExchangeNetwork(build_entries(vms, data_centres))
        applied = dict.fromkeys(network.dispatchers, 0.0)
        for name, dispatcher in network.dispatchers.items():

            def record(served: dict, now: float, name: str = name) -> None:
                applied[name] += sum(sum(works.values()) for works in served.values())

            dispatcher.apply_served_work = record
        source = network.dispatchers["vm-0"]
        source.pop_served_work = lambda: {"model": {"a": 8.0}}
        network.exchanges["vm-0"].tick()
        source.pop_served_work = dict
        for _ in range(3):
            network.tick()
        assert applied.pop("vm-0") == 0.0
        assert set(applied.values()) == {8.0}

    def test_rows_are_bounded_and_nothing_is_lost(self) -> None:
        network = ExchangeNetwork(build_entries(8))
        works = {f"c{number}": 1.0 + number for number in range(100)}
        dispatcher = network.dispatchers["vm-0"]
        dispatcher.pop_served_work = lambda: {"model": works}
        network.exchanges["vm-0"].tick()
        dispatcher.pop_served_work = dict
        rows = sum(len(decode_message(data).served) for _, _, data in network.sent)
        assert rows <= ROWS_PER_SECOND
        assert decode_message(network.sent[0][2]).served[0][1] == "c99"
        for _ in range(5):
            network.exchanges["vm-0"].tick()
        received = {}
        for _, vm, data in network.sent:
            for _, customer, work in (
                decode_message(data).served if vm == "vm-1" else ()
            ):
                received[customer] = received.get(customer, 0.0) + work
        assert received == works

    def test_report_is_dated_by_the_clock_of_the_sender(self) -> None:
        network = ExchangeNetwork(build_entries(2), servers=20)
        state = network.views["vm-1"].state
        report = LoadReport("e3", network.clock() - 2.0, 700.0, 4)
        for offset, as_of in ((float("-inf"), float("-inf")), (-1.0, report.as_of - 1)):
            sender = state.members["vm-0"]._replace(clock_offset=offset)
            network.views["vm-1"].state = state._replace(
                members={**state.members, "vm-0": sender}
            )
            network.exchanges["vm-0"].record_report(report)
            network.exchanges["vm-0"].tick()
            load = network.dispatchers["vm-1"].table.loads["e3"]
            assert load.as_of == pytest.approx(as_of, abs=0.002)

    @pytest.mark.parametrize(
        "message",
        [
            WorkReport((("model", "a", float("nan")), ("model",))),
            WorkReport((), (("e0", "x", 1),), (("e0", 1, 2),)),
        ],
    )
    def test_rows_that_are_not_valid_change_nothing(self, message: WorkReport) -> None:
        network = ExchangeNetwork(build_entries(2))
        exchange, dispatcher = network.exchanges["vm-0"], network.dispatchers["vm-0"]
        before = dispatcher.table.loads["e0"].estimate(network.clock())[:4]
        exchange.handle("vm-1", message)
        exchange.handle("vm-9", WorkReport((("model", "a", 1.0),)))
        assert dispatcher.table.loads["e0"].estimate(network.clock())[:4] == before


# Clock readings are added and subtracted as fractions of some hundred thousand seconds.
CLOCK_ROUNDING_SECONDS = 1e-7


class TestReportReader(TestCase):
    """Guards against reports that are not read, and a missed leaving flag."""

    @inlineCallbacks
    def test_reports_of_an_engine_reach_the_load_table_and_membership(self):
        fleet = LoopbackFleet(self)
        engine = fleet.serve_engine("e1")
        fleet.start_entries(1)
        context = fleet.contexts[0]
        table = context.dispatch.dispatcher.table
        table.set_servers(context.list_views())
        exchange = WorkExchange(
            context.dispatch.dispatcher,
            context.membership,
            read_boot_time,
            context.send_message,
        )
        reader = ReportReader(context, exchange)
        sampled = []
        describe = engine.describe_load
        engine.describe_load = lambda: sampled.append(read_boot_time()) or describe()
        before = read_boot_time()
        yield gatherResults(reader.read_all())
        # The report is dated at the request less the age that the engine states, so it
        # may lie before the request by that age, but never after the figures, and not
        # further before them than the call took.
        as_of = table.loads["e1"].as_of
        assert as_of <= sampled[-1] + CLOCK_ROUNDING_SECONDS
        assert sampled[-1] - as_of <= read_boot_time() - before
        assert not context.membership.is_backend_leaving("e1")
        engine.leaving = True
        yield gatherResults(reader.read_all())
        assert context.membership.is_backend_leaving("e1")

    def test_demand_is_the_same_for_each_reader(self):
        fleet = LoopbackFleet(self)
        fleet.start_entries(1)
        context = fleet.contexts[0]
        request = RouteRequest("a", "ledger", 2400)
        context.dispatch.dispatcher.submit("h", request, 9e9, read_boot_time())
        context.dispatch.sample_demand()
        responses = []
        for _ in range(2):
            http_request = DummyRequest([b"v1", b"demand"])
            DemandResource(context).render_GET(http_request)
            responses.append(json.loads(b"".join(http_request.written)))
        assert responses[0] == responses[1]
        assert responses[0]["models"]["ledger"]["prefill_tokens_per_second"] > 0
