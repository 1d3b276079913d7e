"""Tests of hedged requests through the gateway, with scripted backend servers."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from tests.support._gateway_fixture import SETTINGS, GatewayFixture
from tests.support._hedging_gateway import LATE_SECONDS, HedgingGateway
from tests.support._send_times import STEP_SECONDS, SendTimes
from tests.test_platform import SETTINGS as PLATFORM_SETTINGS
from wisteriagw.gateway._hedges import build_hedges
from wisteriagw.gateway._main import main
from wisteriagw.gateway._node import Node
from wisteriagw.notices import RateLimit
from wisteriagw.platform import parse_settings

EVENT = b"id: 1\ndata: t\n\n"
OTHER_EVENT = b"id: 1\ndata: other\n\n"
STREAM = {"route": "long", "prompt": "900,50"}


class TestLimitOfZero:
    """A gateway without a limit behaved differently from before."""

    def test_timers_lines_rows_and_requests_are_as_before(self) -> None:
        gateway = GatewayFixture()
        lines: list[str] = []
        gateway.context.log.write = lambda kind, **fields: lines.append(kind)
        hedges = build_hedges(0.0, SETTINGS.retry_window, gateway.sums)
        assert hedges is None and gateway.context.hedges is None
        responder = gateway.request("safe")
        # The deadline of the caller, and the wait for the head.
        timers = [call.time - 1000.0 for call in gateway.clock.getDelayedCalls()]
        assert sorted(timers) == pytest.approx([0.4, 4.0])
        gateway.clock.advance(0.39)
        assert len(gateway.pool.sent) == 1
        gateway.pool.sent[0].reply(200, b"ok")
        assert responder.body == b"ok"
        assert lines == ["placement", "request"]
        assert gateway.sums.list_own(gateway.clock.seconds()) == ()
        assert "hedge" not in "".join(
            line
            for line in gateway.context.metrics.render().decode().splitlines()
            if not line.startswith("#")
        )

    @pytest.mark.parametrize("limit", [0.0, 5.0])
    def test_process_hedges_only_with_a_limit(self, limit: float) -> None:
        node = Node(MemoryReactorClock(), parse_settings(PLATFORM_SETTINGS), 1, limit)
        assert (node.context.hedges is not None) == (limit > 0.0)

    @pytest.mark.parametrize("value", ["21", "-1", "much", ""])
    def test_other_values_end_the_start_with_status_2(
        self, value: str, monkeypatch, capsys
    ) -> None:
        monkeypatch.setenv("WISTERIAGW_HEDGE_LIMIT", value)
        with pytest.raises(SystemExit) as ended:
            main(["--check", "--settings", "none"])
        assert ended.value.code == 2
        assert "a percentage from 0 to 20" in capsys.readouterr().err


class TestRace:
    """The caller got a late or bad answer, bytes of both, or the loser went on."""

    def test_hedge_wins_and_the_first_is_closed_at_once(self) -> None:
        gateway = HedgingGateway()
        responder = gateway.start_late()
        first, second = gateway.pool.sent
        assert first.address != second.address
        assert sum(work[2] for work in gateway.work.list_own_work()) == 2
        second.reply(200, b"ok")
        assert responder.body == b"ok" and first.aborted
        first.reply(200, b"late")
        assert responder.body == b"ok"
        assert gateway.work.list_own_work() == []
        assert gateway.count_usage() == 1
        assert gateway.list_results() == [("won", "")]
        # The first attempt was in vain from its start on.
        left = gateway.hedges.budget.compute_available(gateway.clock.seconds())
        assert left == pytest.approx(20.0 - LATE_SECONDS)

    def test_first_wins_and_the_hedge_is_closed_at_once(self) -> None:
        gateway = HedgingGateway()
        responder = gateway.start_late()
        first, second = gateway.pool.sent
        first.reply(200, b"ok")
        assert responder.body == b"ok" and second.aborted
        assert gateway.list_results() == [("cancelled", "first_answered")]
        assert gateway.work.list_own_work() == []

    @pytest.mark.parametrize("leaves", [False, True])
    def test_request_ends_while_the_hedge_connects(self, leaves: bool) -> None:
        gateway = HedgingGateway()
        responder = gateway.request("safe")
        cancelled: list = []
        connecting = Deferred(cancelled.append)

        async def connect(*arguments):
            return await connecting

        gateway.pool.send = connect
        gateway.clock.advance(LATE_SECONDS)
        if leaves:
            responder.on_disconnect()
        else:
            gateway.pool.sent[0].reply(200, b"ok")
            assert responder.body == b"ok"
        assert cancelled == [connecting]
        assert gateway.work.list_own_work() == []

    def test_server_error_does_not_win_over_the_other_attempt(self) -> None:
        gateway = HedgingGateway()
        responder = gateway.start_late()
        first, second = gateway.pool.sent
        first.reply(500, b"bad", server_leaving="1")
        assert not responder.started and not second.aborted
        second.reply(200, b"ok")
        assert responder.body == b"ok"
        assert gateway.work.list_own_work() == [] and gateway.count_usage() == 1
        server = gateway.fleet.fleet.servers[gateway.find_server(0)]
        assert gateway.notices.table.find(server) is not None

    def test_server_error_is_the_answer_if_both_fail(self) -> None:
        gateway = HedgingGateway()
        responder = gateway.start_late()
        first, second = gateway.pool.sent
        first.reply(500, b"bad")
        second.response.handle_loss("reset")
        assert (responder.status, responder.body) == (500, b"bad")
        assert len(gateway.pool.sent) == 2
        assert gateway.work.list_own_work() == []

    @pytest.mark.parametrize("lost_first", [0, 1])
    def test_two_lost_answers_are_all_attempts(self, lost_first: int) -> None:
        gateway = HedgingGateway()
        responder = gateway.start_late()
        for index in (lost_first, 1 - lost_first):
            assert not responder.started
            gateway.pool.sent[index].response.handle_loss("reset")
        assert responder.status == 502 and len(gateway.pool.sent) == 2
        assert gateway.list_results() == [("lost", "MayHaveRun")]

    @pytest.mark.parametrize("unreachable", [False, True])
    def test_refused_hedge_leaves_the_first(self, unreachable: bool) -> None:
        gateway = HedgingGateway()
        responder = gateway.request("safe")
        if unreachable:
            gateway.pool.unreachable = {(f"10.0.0.{n}", 80) for n in (1, 2, 3)}
        gateway.clock.advance(LATE_SECONDS)
        if not unreachable:
            gateway.pool.sent[1].reply(503, x_wisteriagw_not_executed="1")
        assert not responder.started
        gateway.pool.sent[0].reply(200, b"ok")
        assert responder.body == b"ok"
        reason = "FailedNotRun" if unreachable else "RefusedNotRun"
        assert gateway.list_results() == [("lost", reason)]

    def test_fault_in_the_hedge_leaves_the_first(self) -> None:
        gateway = HedgingGateway()
        responder = gateway.request("safe")
        gateway.pool.send = None
        gateway.clock.advance(LATE_SECONDS)
        gateway.pool.sent[0].reply(200, b"ok")
        assert responder.body == b"ok"
        assert gateway.work.list_own_work() == []

    def test_two_refusals_are_a_refusal(self) -> None:
        gateway = HedgingGateway()
        responder = gateway.start_late()
        for sent in list(gateway.pool.sent):
            sent.reply(503, x_wisteriagw_not_executed="1")
        assert responder.status == 503 and b"retry-after" in responder.headers
        assert gateway.count_usage() == 0

    def test_time_of_a_lost_race_does_not_lower_the_quantile(self) -> None:
        gateway = HedgingGateway()
        before = gateway.hedges._latency._own["desk", "call"].copy()
        gateway.start_late()
        gateway.pool.sent[1].reply(200, b"ok")
        after = gateway.hedges._latency._own["desk", "call"]
        assert max(after) > max(before)

    def test_hedge_ends_with_the_time_reserved_for_it(self) -> None:
        gateway = HedgingGateway()
        responder = gateway.start_late()
        gateway.clock.advance(0.24)
        assert gateway.pool.sent[1].aborted and not gateway.pool.sent[0].aborted
        assert gateway.list_results() == [("cancelled", "limit")]
        # The hedge was the second of two attempts, and may have run.
        gateway.pool.sent[0].reply(503, x_wisteriagw_not_executed="1")
        assert responder.status == 502 and len(gateway.pool.sent) == 2


class TestStream:
    """Events of two runs reached the caller, or a begun stream was hedged."""

    def test_winner_is_the_first_with_an_event(self) -> None:
        gateway = HedgingGateway()
        responder = gateway.start_late(**STREAM)
        first, second = gateway.pool.sent
        first.start(200, content_type="text/event-stream")
        assert not second.aborted
        second.start(200, content_type="text/event-stream")
        second.response.handle_part(EVENT)
        assert first.aborted
        first.response.handle_part(OTHER_EVENT)
        second.response.handle_end()
        assert responder.body == EVENT and responder.ended
        assert gateway.count_usage() == 1

    def test_no_hedge_after_the_first_event(self) -> None:
        gateway = HedgingGateway()
        gateway.request(**STREAM)
        gateway.pool.sent[0].start(200, content_type="text/event-stream")
        gateway.pool.sent[0].response.handle_part(EVENT)
        gateway.clock.advance(0.3)
        assert len(gateway.pool.sent) == 1

    def test_head_without_an_event_is_hedged(self) -> None:
        gateway = HedgingGateway()
        gateway.request(**STREAM)
        gateway.pool.sent[0].start(200, content_type="text/event-stream")
        gateway.clock.advance(LATE_SECONDS)
        assert len(gateway.pool.sent) == 2

    def test_run_lost_before_its_first_event_leaves_the_other(self) -> None:
        gateway = HedgingGateway()
        responder = gateway.start_late(**STREAM)
        first, second = gateway.pool.sent
        first.start(200, content_type="text/event-stream")
        first.response.handle_loss("reset")
        second.start(200, content_type="text/event-stream")
        second.response.handle_part(EVENT)
        assert responder.body == EVENT


class TestEndOfTheRequest:
    """An attempt went on after its request had ended, or a false refusal was sent."""

    @pytest.mark.parametrize("reason", ["gone", "deadline", "shutdown"])
    @pytest.mark.parametrize("refused", [False, True])
    def test_both_attempts_are_closed(self, reason: str, refused: bool) -> None:
        gateway = HedgingGateway()
        responder = gateway.start_late(deadline=(b"x-wisteriagw-deadline-ms", b"300"))
        if refused:
            gateway.pool.sent[0].reply(503, x_wisteriagw_not_executed="1")
        if reason == "gone":
            responder.on_disconnect()
        elif reason == "deadline":
            gateway.clock.advance(LATE_SECONDS)
        else:
            gateway.handler.end_requests()
        aborted = [sent.aborted for sent in gateway.pool.sent]
        assert aborted == [True, True]
        assert gateway.hedges.budget._reserved == pytest.approx(0.0)
        assert gateway.work.list_own_work() == []
        assert responder.status == (0 if reason == "gone" else 504)
        assert gateway.clock.getDelayedCalls() == []


class TestLoser:
    """A cancelled attempt counted as a failure, a crash or as a sound answer."""

    @pytest.mark.parametrize("winner", [0, 1])
    def test_loser_says_nothing_about_its_server(self, winner: int) -> None:
        gateway = HedgingGateway()
        gateway.start_late()
        loser = gateway.find_server(1 - winner)
        gateway.pool.sent[winner].reply(200, b"ok")
        now = gateway.clock.seconds()
        assert gateway.work.get_failure_penalty(loser, now) == 0.0
        assert not gateway.work.has_answered(loser, now - 1.0)
        gateway.pool.sent[1 - winner].response.handle_loss("closed")
        assert gateway.pool.checked == []


class TestDenials:
    """A hedge was sent although the service, its servers or a budget forbid it."""

    @pytest.mark.parametrize("route", ["unsafe", "ask"])
    def test_other_routes_are_never_hedged(self, route: str) -> None:
        gateway = HedgingGateway()
        now = gateway.clock.seconds()
        for _ in range(50):
            gateway.hedges.record_response("lm", "stream", 0.1, now)
        gateway.request(route, prompt="900,50" if route == "ask" else "")
        gateway.clock.advance(3.0)
        assert len(gateway.pool.sent) == 1

    def deny(self, gateway: HedgingGateway, reason: str) -> None:
        gateway.start_late()
        assert len(gateway.pool.sent) == 1
        assert gateway.count_denied(reason) == 1

    def test_no_data(self) -> None:
        gateway = HedgingGateway()
        gateway.clock.advance(200.0)
        gateway.confirm()
        gateway.start_late()
        assert len(gateway.pool.sent) == 1

    def test_load_spike(self) -> None:
        gateway = HedgingGateway()
        rows = [(f"desk-{n}", 0.0, 6.0) for n in (1, 2, 3)]
        gateway.work.apply_peer_work("vm-2", rows, gateway.clock.seconds())
        self.deny(gateway, "capacity")

    def test_refusals_by_servers(self) -> None:
        gateway = HedgingGateway()
        gateway.request("unsafe")
        gateway.pool.sent.pop().reply(503, x_wisteriagw_not_executed="1")
        self.deny(gateway, "queue")

    def test_limit_of_server_seconds(self) -> None:
        self.deny(HedgingGateway(run_seconds=1.5), "limit")

    def test_retries_after_failures_keep_half_of_the_budget(self) -> None:
        gateway = HedgingGateway()
        now = gateway.clock.seconds()
        for _ in range(15):
            gateway.context.budgets.consume("desk", now)
        self.deny(gateway, "retries")

    def test_hedge_takes_a_retry(self) -> None:
        gateway = HedgingGateway()
        gateway.start_late()
        now = gateway.clock.seconds()
        budgets = gateway.context.budgets
        left = budgets.get("desk", now).retries
        assert left == pytest.approx(budgets.get_allowed("desk", now) - 1.0)

    def test_quarantine(self) -> None:
        gateway = HedgingGateway()
        crashing = gateway.context.crashing_parts
        quarantine = SimpleNamespace(parts=(), until=2e3, seconds=60.0)
        gateway.request("safe")
        crashing.has_quarantines = lambda: True
        crashing.find_quarantine = lambda parts: quarantine
        gateway.clock.advance(LATE_SECONDS)
        assert gateway.count_denied("quarantine") == 1
        assert len(gateway.pool.sent) == 1

    def test_servers_with_notices_take_no_hedges(self) -> None:
        gateway = HedgingGateway()
        gateway.request("safe")
        first = gateway.find_server(0)
        for server in gateway.fleet.fleet.list_service("desk"):
            if server.name != first:
                limit = RateLimit(server.name, server.born, 100.0)
                gateway.notices.record(limit)
        gateway.clock.advance(LATE_SECONDS)
        assert len(gateway.pool.sent) == 1

    @pytest.mark.parametrize("centre", ["north", "south"])
    def test_failing_data_centre_is_avoided_if_there_is_another(
        self, centre: str
    ) -> None:
        gateway = HedgingGateway()
        servers, now = gateway.fleet.fleet.servers, gateway.clock.seconds()
        servers["desk-3"] = servers["desk-3"]._replace(data_centre=centre)
        gateway.work.mark_unavailable("desk-3", now + 0.1)
        gateway.request("safe")
        failing = (
            ("desk-1", "desk-2") if centre == "north" else (gateway.find_server(0),)
        )
        for name in failing:
            gateway.work.record_failure(name, now)
        gateway.clock.advance(LATE_SECONDS)
        assert centre == "north" or gateway.find_server(1) == "desk-3"
        assert len(gateway.pool.sent) == 2


class TestLimit:
    """Hedges took more server time than the limit allows."""

    @settings(max_examples=40, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    ["answer", "answer", "answer", "answer", "lose", "leave"]
                ),
                st.sampled_from([0.01, 0.1, 0.3]),
                st.integers(0, 3),
            ),
            min_size=30,
            max_size=60,
        )
    )
    def test_extra_seconds_under_any_order_of_events(self, events) -> None:
        times = SendTimes(HedgingGateway(run_seconds=0.0))
        for kind, pause, index in events:
            times.act("request", 0)
            times.act(kind, index)
            times.advance(pause)
            extra = times.list_extra()
            # A timer is served up to a step late.
            late = STEP_SECONDS * len(extra)
            assert sum(extra) <= 0.2 * times.sum_runs() + late


class TestPublishing:
    """A gateway that hedges told the others nothing of its response times."""

    def test_rows_are_sent(self) -> None:
        gateway = HedgingGateway()
        rows = gateway.sums.list_own(gateway.clock.seconds())
        assert {row[0] for row in rows} == {"latency"} and len(rows) <= 48
