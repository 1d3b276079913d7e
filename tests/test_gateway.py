"""Tests of requests through the gateway, with scripted backend servers."""

from __future__ import annotations

import pytest

from tests.support._gateway_world import GatewayWorld

EVENT = b"id: %d\ndata: x\n\n"


class TestPlainCalls:
    """A call that may not repeat runs once, and refusals are true."""

    def test_answer_is_passed_on_with_its_proof(self) -> None:
        world = GatewayWorld()
        responder = world.request("unsafe")
        sent = world.pool.sent[0]
        assert sent.headers[b"x-wisteriagw-tenant"] == b"t-1"
        assert b"authorization" not in sent.headers
        sent.reply(200, b"done", content_length="4")
        assert (responder.status, responder.body) == (200, b"done")
        assert responder.headers[b"x-wisteriagw-server-stamp"] == b"stamp"
        assert world.work.list_own_work() == []
        assert world.count_usage() == 1

    def test_lost_answer_of_an_unsafe_call_is_not_repeated(self) -> None:
        world = GatewayWorld()
        responder = world.request("unsafe")
        world.pool.sent[0].answer.handle_loss("reset")
        assert responder.status == 502
        assert len(world.pool.sent) == 1

    def test_lost_answer_of_a_safe_call_is_repeated_elsewhere(self) -> None:
        world = GatewayWorld()
        responder = world.request("safe")
        world.pool.sent[0].answer.handle_loss("reset")
        first, second = world.pool.sent
        assert first.address != second.address
        second.reply(200, b"ok")
        assert responder.body == b"ok"

    def test_attempts_are_bounded(self) -> None:
        world = GatewayWorld()
        responder = world.request("safe")
        for sent in list(world.pool.sent):
            sent.answer.handle_loss("reset")
        world.pool.sent[1].answer.handle_loss("reset")
        assert responder.status == 502
        assert len(world.pool.sent) == 2

    def test_statement_that_it_did_not_run_becomes_a_true_refusal(self) -> None:
        world = GatewayWorld()
        responder = world.request("unsafe")
        world.pool.sent[0].reply(503, x_wisteriagw_not_executed="1")
        assert responder.status == 503
        assert b"retry-after" in responder.headers
        assert world.count_usage() == 0

    def test_503_without_the_statement_may_have_run(self) -> None:
        world = GatewayWorld()
        responder = world.request("unsafe")
        world.pool.sent[0].reply(503, b"busy")
        # A backend server's own failure is passed on, never made a refusal.
        assert responder.headers[b"x-wisteriagw-server-stamp"] == b"stamp"

    def test_answer_without_proof_is_no_success(self) -> None:
        world = GatewayWorld()
        responder = world.request("unsafe")
        sent = world.pool.sent[0]
        from wisteriagw.connections import ResponseHead

        head = ((b"x-wisteriagw-request-id", b"r1"),)
        sent.answer.handle_head(ResponseHead(200, head))
        sent.answer.handle_end()
        assert responder.status == 502

    def test_unreachable_server_is_a_true_refusal(self) -> None:
        world = GatewayWorld()
        world.pool.unreachable = {("10.0.0.1", 80), ("10.0.0.2", 80)}
        responder = world.request("unsafe")
        assert responder.status == 503

    def test_own_failure_of_a_server_is_passed_on_after_the_last_attempt(self) -> None:
        world = GatewayWorld()
        responder = world.request("safe")
        world.pool.sent[0].reply(500, b"error-1")
        world.pool.sent[1].reply(500, b"error-2")
        assert (responder.status, responder.body) == (500, b"error-2")

    def test_without_budget_nothing_is_repeated(self) -> None:
        world = GatewayWorld()
        world.context.budgets.set_vms(10_000)
        for _ in range(3):
            world.context.budgets.take("desk", world.clock.seconds())
        responder = world.request("safe")
        world.pool.sent[0].answer.handle_loss("reset")
        assert responder.status == 502

    def test_deadline_without_an_answer(self) -> None:
        world = GatewayWorld()
        responder = world.request("unsafe")
        world.clock.advance(4.1)
        assert responder.status == 504
        assert world.pool.sent[0].aborted

    def test_time_that_is_left_is_passed_on(self) -> None:
        world = GatewayWorld()
        world.request("safe")
        world.clock.advance(0.3)
        world.pool.sent[0].answer.handle_loss("reset")
        left = int(world.pool.sent[1].headers[b"x-wisteriagw-deadline-ms"])
        assert left <= 3_700

    def test_leaving_caller_ends_the_work_at_the_server(self) -> None:
        world = GatewayWorld()
        responder = world.request("unsafe")
        responder.on_disconnect()
        assert world.pool.sent[0].aborted
        assert world.work.list_own_work() == []

    def test_leaving_server_gets_nothing(self) -> None:
        world = GatewayWorld()
        servers = world.fleet.fleet.servers
        for name in ("desk-1", "desk-2"):
            servers[name] = servers[name]._replace(leaving=True)
        responder = world.request("unsafe")
        assert responder.status == 503
        assert world.pool.sent == []


class TestFreshness:
    """A withdrawn key must not run on a VM that cannot read the store."""

    def test_stale_configuration_runs_nothing(self) -> None:
        world = GatewayWorld()
        world.clock.advance(4.2)
        responder = world.request("unsafe")
        assert responder.status == 503
        assert world.pool.sent == []

    def test_unknown_key_is_denied_only_when_fresh(self) -> None:
        world = GatewayWorld()
        assert world.request("unsafe", key="k9").status == 401
        world.clock.advance(4.2)
        assert world.request("unsafe", key="k9").status == 503


class TestStreams:
    """Events arrive once and in order, and a cut stream never looks whole."""

    def test_events_are_passed_on_as_they_arrive(self) -> None:
        world = GatewayWorld()
        responder = world.request("ask", prompt="300,50")
        sent = world.pool.sent[0]
        sent.start(200, content_type="text/event-stream")
        assert not responder.started
        sent.answer.handle_part(EVENT % 1)
        assert responder.body == EVENT % 1
        assert world.count_usage() == 1
        sent.answer.handle_part((EVENT % 2)[:5])
        assert responder.body == EVENT % 1
        sent.answer.handle_part((EVENT % 2)[5:])
        sent.answer.handle_end()
        assert responder.body == EVENT % 1 + EVENT % 2
        assert responder.ended
        assert not responder.aborted

    def test_cut_stream_that_cannot_be_resumed_is_broken_off(self) -> None:
        world = GatewayWorld()
        responder = world.request("ask", prompt="300,50")
        sent = world.pool.sent[0]
        sent.start(200)
        sent.answer.handle_part(EVENT % 1)
        sent.answer.handle_loss("reset")
        assert responder.aborted
        assert len(world.pool.sent) == 1

    def test_cut_stream_goes_on_elsewhere_without_the_broken_event(self) -> None:
        world = GatewayWorld()
        responder = world.request("long", prompt="17000,100")
        first = world.pool.sent[0]
        first.start(200)
        first.answer.handle_part(EVENT % 1 + EVENT % 2 + b"id: 3\nda")
        first.answer.handle_loss("reset")
        second = world.pool.sent[1]
        assert second.address != first.address
        assert second.headers[b"last-event-id"] == b"2"
        second.start(200, x_wisteriagw_server_stamp="other")
        second.answer.handle_part(EVENT % 2 + EVENT % 3)
        second.answer.handle_end()
        assert responder.body == EVENT % 1 + EVENT % 2 + EVENT % 3
        assert responder.headers[b"x-wisteriagw-server-stamp"] == b"stamp"
        assert world.count_usage() == 1

    def test_resumed_stream_of_the_caller_keeps_its_place(self) -> None:
        world = GatewayWorld()
        world.request("long", (b"last-event-id", b"7"), prompt="17000,100")
        assert world.pool.sent[0].headers[b"last-event-id"] == b"7"

    def test_loss_before_the_first_event_of_a_stream_that_runs_once(self) -> None:
        world = GatewayWorld()
        responder = world.request("ask", prompt="300,50")
        world.pool.sent[0].answer.handle_loss("reset")
        assert responder.status == 502


class TestSplitPrompts:
    """A prompt that is read apart must be answered once, and its cache not lost."""

    def build(self) -> GatewayWorld:
        world = GatewayWorld()
        world.add_server("reader", "lm", 20, stage="prefill")
        return world

    def test_long_prompt_is_read_then_answered(self) -> None:
        world = self.build()
        responder = world.request("long", prompt="17000,100")
        reading = world.pool.sent[0]
        assert reading.address == ("10.0.0.20", 80)
        assert reading.headers[b"x-wisteriagw-stage"] == b"prefill"
        reading.reply(200, b'{"kv_handle": "h1", "tokens": 17000, "version": 1}')
        answering = world.pool.sent[1]
        assert answering.headers[b"x-wisteriagw-kv-source"] == b"10.0.0.20:80/h1"
        answering.start(200)
        answering.answer.handle_part(EVENT % 1)
        answering.answer.handle_end()
        assert responder.body == EVENT % 1
        assert world.work.list_own_work() == []

    def test_failed_reading_is_made_up_for_by_the_answering_engine(self) -> None:
        world = self.build()
        responder = world.request("long", prompt="17000,100")
        world.pool.sent[0].answer.handle_loss("reset")
        answering = world.pool.sent[1]
        assert b"x-wisteriagw-kv-source" not in answering.headers
        answering.start(200)
        answering.answer.handle_part(EVENT % 1)
        answering.answer.handle_end()
        assert responder.status == 200

    def test_silent_reader_is_given_up(self) -> None:
        world = self.build()
        world.request("long", prompt="17000,100")
        world.clock.advance(3.0)
        assert world.pool.sent[0].aborted
        assert b"x-wisteriagw-kv-source" not in world.pool.sent[1].headers

    def test_busy_reader_is_waited_for(self) -> None:
        world = self.build()
        world.request("long", prompt="17000,100")
        for _ in range(6):
            world.clock.advance(0.5)
            world.work.record_success("reader", world.clock.seconds())
        assert not world.pool.sent[0].aborted
        assert len(world.pool.sent) == 1

    def test_cache_is_freed_when_the_caller_leaves_before_it_is_taken(self) -> None:
        world = self.build()
        responder = world.request("long", prompt="17000,100")
        world.pool.sent[0].reply(200, b'{"kv_handle": "h1"}')
        responder.on_disconnect()
        freed = world.pool.sent[2].request
        assert (freed.method, freed.target) == (b"DELETE", b"/kv-handle/h1")

    def test_server_that_began_to_leave_meanwhile_gets_nothing(self) -> None:
        world = self.build()
        world.request("long", prompt="17000,100")
        servers = world.fleet.fleet.servers
        chosen = [
            name
            for name, tokens, streams in world.work.list_own_work()
            if name.startswith("lm")
        ]
        assert chosen == []
        servers["lm-1"] = servers["lm-1"]._replace(leaving=True)
        world.pool.sent[0].reply(200, b'{"kv_handle": "h1"}')
        assert world.pool.sent[1].address == ("10.0.0.12", 80)

    @pytest.mark.parametrize("status", [503, 500, 404])
    def test_refused_reading(self, status: int) -> None:
        world = self.build()
        world.request("long", prompt="17000,100")
        world.pool.sent[0].reply(status, x_wisteriagw_not_executed="1")
        assert b"x-wisteriagw-kv-source" not in world.pool.sent[1].headers
