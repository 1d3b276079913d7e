"""Tests of the routing decision."""

from __future__ import annotations

import pytest

from wisteriagw.routing import (
    MISSES_DEADLINE,
    BackendView,
    CacheEvent,
    LoadReport,
    LoadTable,
    PeerLoad,
    PrefixIndex,
    RouteRequest,
    choose_backend_server,
    hash_blocks,
)

BASE = BackendView("a", "dc1", "model", "decode", reclaimable=True)
REQUEST = RouteRequest("market", "model", prompt_tokens=2500)


def choose(request: RouteRequest, *views: BackendView, **options: object):
    """Return the decision, with the reasons by name."""
    decision = choose_backend_server(request, views, 0.0, **options)
    return decision.chosen, {
        option.backend_server: option.reason for option in decision.alternatives
    }


class TestChoice:
    """Guards against the choice of a slower, excluded or full server."""

    @pytest.mark.parametrize(
        ("change", "request_change", "reason"),
        [
            ({"queued_prefill_tokens": 9000}, {}, "slower"),
            ({"running_streams": 60}, {}, "slower"),
            ({"network_seconds": 0.1}, {}, "slower"),
            ({"prefill_tokens_per_second": 2000.0}, {}, "slower"),
            ({"leaving": True}, {}, "leaving"),
            ({"serves": "other"}, {}, "serves another model or service"),
            ({}, {"excluded": ("b",)}, "failed this request before"),
            ({"reclaimable": False}, {}, "slower"),
        ],
    )
    def test_the_other_server_is_chosen(self, change, request_change, reason) -> None:
        other = BASE._replace(name="b", **change)
        chosen, reasons = choose(REQUEST._replace(**request_change), other, BASE)
        assert (chosen, reasons) == ("a", {"a": "", "b": reason})

    def test_nonrepeatable_work_never_goes_to_a_reclaimable_server(self) -> None:
        request = REQUEST._replace(repeatable=False)
        busy = BASE._replace(name="b", reclaimable=False, queued_prefill_tokens=50_000)
        assert choose(request, BASE, busy)[0] == "b"
        assert choose(request, BASE)[0] is None

    def test_cached_prefix_and_loaded_adapter_outweigh_a_queue(self) -> None:
        queued = BASE._replace(name="b", queued_prefill_tokens=1000)
        assert choose(REQUEST, BASE, queued, cached_blocks={"b": 2})[0] == "b"
        request = REQUEST._replace(adapter="x")
        loaded = queued._replace(loaded=frozenset({"x"}))
        assert choose(request, BASE, loaded)[0] == "b"

    def test_request_waits_for_full_servers_with_a_reason(self) -> None:
        full = BASE._replace(running_streams=64)
        decision = choose_backend_server(REQUEST, [full], 0.0, max_wait=0.3)
        assert (decision.chosen, decision.waits_for) == (None, "batch full")

    def test_request_does_not_wait_for_a_server_that_misses_the_deadline(self) -> None:
        late = BASE._replace(queued_prefill_tokens=80_000)
        decision = choose_backend_server(
            REQUEST, [late], 0.0, max_wait=0.3, seconds_left=1.0
        )
        assert (decision.chosen, decision.waits_for) == (None, "")
        assert decision.alternatives[0].reason == MISSES_DEADLINE

    def test_an_entry_vm_below_its_even_share_may_use_a_full_server(self) -> None:
        full = BASE._replace(running_streams=64, own_streams=3, entry_vms=8)
        assert choose(REQUEST, full, max_wait=0.3)[0] == "a"
        over = full._replace(own_streams=8)
        assert choose(REQUEST, over, max_wait=0.3)[0] is None

    def test_half_of_a_dependable_server_is_reserved_for_nonrepeatable_work(
        self,
    ) -> None:
        half = BASE._replace(reclaimable=False, running_streams=32)
        options = {"max_wait": 0.3, "reserved_fraction": 0.5}
        assert choose(REQUEST, half, **options)[0] is None
        assert choose(REQUEST._replace(repeatable=False), half, **options)[0] == "a"


class TestLoad:
    """Guards against decisions based on old, late or missing reports."""

    def build(self) -> LoadTable:
        table = LoadTable({})
        table.set_servers([BASE])
        return table

    def estimate(self, table: LoadTable, now: float) -> tuple[float, float]:
        view = table.list_candidates(REQUEST, (), lambda bound: 0, now)[0]
        return view.queued_prefill_tokens, view.running_streams

    def test_work_sent_since_the_report_is_added(self) -> None:
        table = self.build()
        load = table.loads["a"]
        load.change(1000.0, 1, 1.0)
        table.apply_report(LoadReport("a", 2.0, 1000.0, 1))
        load.change(500.0, 1, 3.0)
        assert self.estimate(table, 3.0) == (1500.0, 2.0)

    def test_others_are_the_reported_load_minus_the_own_work(self) -> None:
        table = self.build()
        load = table.loads["a"]
        load.change(1000.0, 1, 1.0)
        load.change(-1000.0, -1, 2.5)
        table.apply_report(LoadReport("a", 2.0, 4000.0, 5))
        tokens, streams = self.estimate(table, 2.5)
        assert 0 < tokens <= 3000.0
        assert 0 < streams <= 4.0

    def test_late_report_is_ignored(self) -> None:
        table = self.build()
        table.apply_report(LoadReport("a", 2.0, 1000.0, 1))
        before = self.estimate(table, 3.0)
        table.apply_report(LoadReport("a", 1.0, 9000.0, 9))
        assert self.estimate(table, 3.0) == before

    def test_only_the_own_work_counts_after_an_old_report(self) -> None:
        table = self.build()
        table.apply_report(LoadReport("a", 0.0, 9000.0, 9))
        table.loads["a"].change(700.0, 1, 1.0)
        assert self.estimate(table, 5.1) == (700.0, 1.0)

    def test_unresponsive_entry_vms_are_dropped_and_reports_are_used(self) -> None:
        table = self.build()
        table.apply_peer_load(PeerLoad("vm2", {"a": (2000.0, 3)}), 0.0)
        table.apply_peer_load(PeerLoad("vm3", {"a": (500.0, 1)}), 0.0)
        assert self.estimate(table, 1.0) == (2500.0, 4.0)
        table.apply_peer_load(PeerLoad("vm3", {"a": (500.0, 1)}), 3.5)
        assert self.estimate(table, 3.5) == (500.0, 1.0)
        assert self.estimate(table, 7.0) == (0.0, 0.0)


class TestCandidates:
    """Guards against a cost that grows with the fleet, and against herding."""

    def test_cost_is_bounded_at_1500_servers(self) -> None:
        table = LoadTable({})
        table.set_servers(BASE._replace(name=f"e{i}") for i in range(1500))
        draws = iter(range(0, 1500, 7))
        views = table.list_candidates(
            REQUEST, ("e1", "gone"), lambda bound: next(draws), 0.0
        )
        assert [view.name for view in views] == [
            *("e1", "e0", "e7", "e14", "e21", "e28", "e35")
        ]

    def test_sample_has_no_leaving_server_and_draws_from_dependable_ones(self) -> None:
        table = LoadTable({})
        table.set_servers(
            BASE._replace(name=f"e{i}", leaving=i % 2 == 1, reclaimable=i > 2)
            for i in range(100)
        )
        views = table.list_candidates(REQUEST, (), lambda bound: bound - 1, 0.0)
        assert [view.name for view in views] == ["e98"]
        nonrepeatable = REQUEST._replace(repeatable=False)
        views = table.list_candidates(nonrepeatable, (), lambda bound: bound - 1, 0.0)
        assert [view.name for view in views] == ["e0", "e2"]


class TestPrefixIndex:
    """Guards against a wrong holder after late, lost or repeated cache events."""

    def test_longest_prefix_comes_first_and_dropped_blocks_are_removed(self) -> None:
        index = PrefixIndex()
        index.apply(CacheEvent("a", 1, added=(1, 2, 3)))
        index.apply(CacheEvent("b", 1, added=(1,)))
        assert index.find((1, 2, 3, 4)) == {"a": 3, "b": 1}
        index.apply(CacheEvent("a", 2, dropped=(3,)))
        assert index.find((1, 2, 3)) == {"a": 2, "b": 1}
        index.remove_server("a")
        assert index.find((1, 2, 3)) == {"b": 1}

    def test_late_event_is_ignored_and_a_gap_is_counted(self) -> None:
        index = PrefixIndex()
        index.apply(CacheEvent("a", 1, added=(1,)))
        index.apply(CacheEvent("a", 4, dropped=(1,)))
        index.apply(CacheEvent("a", 2, added=(1,)))
        assert index.find((1,)) == {}
        assert index.lost_events == 2

    def test_blocks_of_different_customers_never_match(self) -> None:
        prompt = "x" * 9000
        assert len(hash_blocks("a", "", prompt)) == 2
        assert not set(hash_blocks("a", "", prompt)) & set(hash_blocks("b", "", prompt))
        assert hash_blocks("a", "", prompt + "y") == hash_blocks("a", "", prompt)
