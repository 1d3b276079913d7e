"""Tests of the decisions about hedged requests."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support._gateway_fixture import build_route
from wisteriagw.hedging import (
    HedgeBudget,
    HedgeState,
    LatencyTable,
    Quantiles,
    decide_hedge,
    is_centre_failing,
    is_eligible,
    parse_limit,
)
from wisteriagw.placement import ServerView

NOW = 1000.0
STATE = HedgeState(
    Quantiles(0.1, 0.2), "a", 2, 0.3, NOW - 60, False, 8.0, 10.0, 0.6, 1.0, NOW + 2
)


class TestLimit:
    """A mistyped limit was taken for another one."""

    @pytest.mark.parametrize("text", ["0", "20", "2.5", "0.0"])
    def test_percentages_are_read(self, text: str) -> None:
        assert parse_limit(text) == float(text)

    @pytest.mark.parametrize("text", ["", "-1", "20.1", "nan", "5%", "inf", "1e1", "٣"])
    def test_other_values_are_refused(self, text: str) -> None:
        with pytest.raises(ValueError, match="percentage from 0 to 20"):
            parse_limit(text)


class TestEligibility:
    """A request that must not run twice, or has run before, was hedged."""

    @pytest.mark.parametrize(
        ("changes", "excluded", "eligible"),
        [
            ({}, (), True),
            ({"repeatable": False}, (), False),
            ({"max_attempts": 1}, (), False),
            ({}, ("a",), False),
            ({"streaming": True}, (), False),
            ({"streaming": True, "resumable": True}, (), True),
            ({"streaming": True, "resumable": True, "repeatable": False}, (), False),
        ],
    )
    def test_table(self, changes: dict, excluded: tuple, eligible: bool) -> None:
        fields = {"repeatable": True, "max_attempts": 2, **changes}
        assert is_eligible(build_route("r", "s", **fields), excluded) is eligible


class TestDecision:
    """A hedge was sent although a limit denies it, or the wrong one was named."""

    @pytest.mark.parametrize(
        ("changes", "reason"),
        [
            ({}, ""),
            ({"server": ""}, "not_sent"),
            ({"deadline": NOW + 0.05}, "deadline"),
            ({"quarantined": True}, "quarantine"),
            ({"slots_in_use": 0.71}, "capacity"),
            ({"refused_at": NOW - 1.9}, "queue"),
            ({"candidates": 0}, "no_server"),
            ({"retries_left": 5.9}, "retries"),
            ({"seconds_needed": 1.1}, "limit"),
        ],
    )
    def test_table(self, changes: dict, reason: str) -> None:
        decision = decide_hedge(STATE._replace(**changes), NOW)
        assert decision == (not reason, reason)

    def test_centre_fails_with_half_of_its_servers(self) -> None:
        views = [
            ServerView(name, centre, "", 8, failure_penalty=penalty)
            for name, centre, penalty in (("a", "n", 0.8), ("b", "n", 0), ("c", "s", 0))
        ]
        assert is_centre_failing(views, "n")
        assert not is_centre_failing(views, "s")


class TestHedgeBudget:
    """Hedges took more server time than the limit, at a VM or over all of them."""

    @given(
        st.sampled_from([0.5, 5.0, 20.0]),
        st.lists(
            st.tuples(
                st.integers(0, 2),
                st.sampled_from(["run", "hedge", "end"]),
                st.floats(0.0, 6.0),
                st.floats(0.001, 5.0),
                st.floats(0.0, 1.0),
            ),
            max_size=80,
        ),
    )
    def test_extra_seconds_stay_within_the_limit(self, percent, events) -> None:
        vms = [(HedgeBudget(percent, 10.0), []) for _ in range(3)]
        now = runs = hedges = 0.0
        for vm, kind, pause, seconds, part in events:
            now += pause
            budget, pending = vms[vm]
            if kind == "run":
                budget.count_run(seconds, now)
                runs += seconds
            elif kind == "hedge" and seconds * 0.1 <= budget.compute_available(now):
                budget.reserve(seconds * 0.1)
                pending.append(seconds * 0.1)
            elif kind == "end" and pending:
                reserved = pending.pop(0)
                budget.settle(reserved, reserved * part, now)
                hedges += reserved * part
            reserved_now = sum(sum(pending) for _, pending in vms)
            assert hedges + reserved_now <= percent / 100.0 * runs + 1e-6

    def test_earlier_requests_allow_no_hedges_after_the_window(self) -> None:
        budget = HedgeBudget(20.0, 10.0)
        budget.count_run(10.0, 100.0)
        assert budget.compute_available(100.0) == pytest.approx(2.0)
        assert budget.compute_available(110.1) == 0.0


class TestLatencyTable:
    """Response times of other VMs were lost, old ones counted, rows were too many."""

    def fill(self, table: LatencyTable, service: str = "s", now: float = NOW) -> None:
        for number in range(100):
            table.add(service, "call", 1.0 if number < 10 else 0.1, now)

    def test_new_vm_uses_the_rows_of_the_others(self) -> None:
        other, table = LatencyTable(), LatencyTable()
        self.fill(other, "a/b")
        table.merge({}, NOW)
        assert table.get_quantiles("a/b", "call") is None
        table.merge(dict(other.list_rows(NOW)), NOW)
        typical, late = table.get_quantiles("a/b", "call")
        assert typical == pytest.approx(0.1, rel=0.2)
        assert late == pytest.approx(1.0, rel=0.2)

    def test_malformed_rows_are_ignored(self) -> None:
        table = LatencyTable()
        table.merge({"x": (1.0,), "a/call/y": (1.0,), "a/call/1": ()}, NOW)
        assert table.get_quantiles("a", "call") is None

    @pytest.mark.parametrize("bucket", ["--5", "\u00b2", "99999999", "-99999999"])
    def test_odd_buckets_of_a_peer_do_not_fail_requests(self, bucket: str) -> None:
        table = LatencyTable()
        self.fill(table, "a")
        table.merge({f"a/call/{bucket}": (1e6,)}, NOW)
        assert table.get_quantiles("a", "call").late == pytest.approx(1.0, rel=0.2)

    def test_old_responses_are_forgotten(self) -> None:
        table = LatencyTable()
        self.fill(table)
        table.merge({}, NOW + 60.0)
        assert table.get_quantiles("s", "call") is None
        assert table.list_rows(NOW + 600.0) == []

    def test_rows_are_bounded(self) -> None:
        table = LatencyTable()
        for service in range(30):
            for power in range(20):
                table.add(str(service), "call", 0.002 * 1.5**power, NOW)
        assert 0 < len(table.list_rows(NOW)) <= 48
