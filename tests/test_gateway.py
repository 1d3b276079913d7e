"""Tests of requests through the gateway, with scripted backend servers."""

from __future__ import annotations

import pytest

from tests.support._gateway_fixture import GatewayFixture
from wisteriagw.connections import ResponseHead

EVENT = b"id: %d\ndata: x\n\n"


class TestPlainCalls:
    """A call that may not be repeated must run once, and a refusal must be true."""

    def test_answer_is_forwarded_with_the_server_stamp(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("unsafe")
        sent = gateway.pool.sent[0]
        assert sent.headers[b"x-wisteriagw-tenant"] == b"t-1"
        assert b"authorization" not in sent.headers
        sent.reply(200, b"done", content_length="4")
        assert (responder.status, responder.body) == (200, b"done")
        assert responder.headers[b"x-wisteriagw-server-stamp"] == b"stamp"
        assert gateway.work.list_own_work() == []
        assert gateway.count_usage() == 1

    def test_lost_answer_of_an_unsafe_call_is_not_repeated(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("unsafe")
        gateway.pool.sent[0].response.handle_loss("reset")
        assert responder.status == 502
        assert len(gateway.pool.sent) == 1

    def test_lost_answer_of_a_safe_call_is_repeated_elsewhere(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("safe")
        gateway.pool.sent[0].response.handle_loss("reset")
        first, second = gateway.pool.sent
        assert first.address != second.address
        second.reply(200, b"ok")
        assert responder.body == b"ok"

    def test_call_that_may_have_run_is_not_refused_as_not_run(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("safe")
        gateway.fleet.fleet.servers.clear()
        gateway.pool.sent[0].response.handle_loss("reset")
        assert responder.status == 502

    def test_number_of_attempts_is_limited(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("safe")
        for sent in list(gateway.pool.sent):
            sent.response.handle_loss("reset")
        gateway.pool.sent[1].response.handle_loss("reset")
        assert responder.status == 502
        assert len(gateway.pool.sent) == 2

    def test_answer_not_executed_becomes_a_refusal(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("unsafe")
        gateway.pool.sent[0].reply(503, x_wisteriagw_not_executed="1")
        assert responder.status == 503
        assert b"retry-after" in responder.headers
        assert gateway.count_usage() == 0

    def test_refusal_without_the_own_id_may_be_one_of_another_request(self) -> None:
        """The server may be running the request, so it is neither refused nor sent."""
        gateway = GatewayFixture()
        responder = gateway.request("unsafe")
        stated = ((b"x-wisteriagw-not-executed", b"1"),)
        gateway.pool.sent[0].response.handle_head(ResponseHead(503, stated))
        gateway.pool.sent[0].response.handle_end()
        assert responder.status == 502
        assert len(gateway.pool.sent) == 1

    def test_503_without_not_executed_may_have_run(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("unsafe")
        gateway.pool.sent[0].reply(503, b"busy")
        # An error of the backend server is forwarded, never turned into a refusal.
        assert responder.headers[b"x-wisteriagw-server-stamp"] == b"stamp"

    def test_answer_without_server_stamp_is_an_error(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("unsafe")
        sent = gateway.pool.sent[0]
        head = ((b"x-wisteriagw-request-id", b"r1"),)
        sent.response.handle_head(ResponseHead(200, head))
        sent.response.handle_end()
        assert responder.status == 502

    def test_unreachable_servers_lead_to_a_refusal(self) -> None:
        gateway = GatewayFixture()
        gateway.pool.unreachable = {("10.0.0.1", 80), ("10.0.0.2", 80)}
        responder = gateway.request("unsafe")
        assert responder.status == 503

    def test_server_error_is_forwarded_after_the_last_attempt(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("safe")
        gateway.pool.sent[0].reply(500, b"error-1")
        gateway.pool.sent[1].reply(500, b"error-2")
        assert (responder.status, responder.body) == (500, b"error-2")

    def test_no_retry_without_retry_budget(self) -> None:
        gateway = GatewayFixture()
        gateway.context.budgets.set_vm_count(10_000)
        for _ in range(3):
            gateway.context.budgets.consume("desk", gateway.clock.seconds())
        responder = gateway.request("safe")
        gateway.pool.sent[0].response.handle_loss("reset")
        assert responder.status == 502

    def test_deadline_without_an_answer(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("unsafe")
        gateway.clock.advance(4.1)
        assert responder.status == 504
        assert gateway.pool.sent[0].aborted

    def test_remaining_time_is_forwarded(self) -> None:
        gateway = GatewayFixture()
        gateway.request("safe")
        gateway.clock.advance(0.3)
        gateway.pool.sent[0].response.handle_loss("reset")
        left = int(gateway.pool.sent[1].headers[b"x-wisteriagw-deadline-ms"])
        assert left <= 3_700

    def test_disconnect_of_the_caller_aborts_the_request(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("unsafe")
        responder.on_disconnect()
        assert gateway.pool.sent[0].aborted
        assert gateway.work.list_own_work() == []

    def test_leaving_server_gets_no_requests(self) -> None:
        gateway = GatewayFixture()
        servers = gateway.fleet.fleet.servers
        for name in ("desk-1", "desk-2"):
            servers[name] = servers[name]._replace(leaving=True)
        responder = gateway.request("unsafe")
        assert responder.status == 503
        assert gateway.pool.sent == []


class TestFreshness:
    """A VM that cannot read the store must not serve a withdrawn key."""

    def test_stale_configuration_refuses_requests(self) -> None:
        gateway = GatewayFixture()
        gateway.clock.advance(4.2)
        responder = gateway.request("unsafe")
        assert responder.status == 503
        assert gateway.pool.sent == []

    def test_unknown_key_is_denied_only_when_fresh(self) -> None:
        gateway = GatewayFixture()
        assert gateway.request("unsafe", key="k9").status == 401
        gateway.clock.advance(4.2)
        assert gateway.request("unsafe", key="k9").status == 503


class TestStreams:
    """Events must arrive once and in order, and a cut stream must not look complete."""

    def test_events_are_forwarded_as_they_arrive(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("ask", prompt="300,50")
        sent = gateway.pool.sent[0]
        sent.start(200, content_type="text/event-stream")
        assert not responder.started
        sent.response.handle_part(EVENT % 1)
        assert responder.body == EVENT % 1
        assert gateway.count_usage() == 1
        sent.response.handle_part((EVENT % 2)[:5])
        assert responder.body == EVENT % 1
        sent.response.handle_part((EVENT % 2)[5:])
        sent.response.handle_end()
        assert responder.body == EVENT % 1 + EVENT % 2
        assert responder.ended
        assert not responder.aborted

    def test_cut_stream_that_cannot_be_resumed_is_aborted(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("ask", prompt="300,50")
        sent = gateway.pool.sent[0]
        sent.start(200)
        sent.response.handle_part(EVENT % 1)
        sent.response.handle_loss("reset")
        assert responder.aborted
        assert len(gateway.pool.sent) == 1

    def test_cut_stream_is_resumed_elsewhere_without_the_partial_event(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("long", prompt="17000,100")
        first = gateway.pool.sent[0]
        first.start(200)
        first.response.handle_part(EVENT % 1 + EVENT % 2 + b"id: 3\nda")
        first.response.handle_loss("reset")
        second = gateway.pool.sent[1]
        assert second.address != first.address
        assert second.headers[b"last-event-id"] == b"2"
        second.start(200, x_wisteriagw_server_stamp="other")
        second.response.handle_part(EVENT % 2 + EVENT % 3)
        second.response.handle_end()
        assert responder.body == EVENT % 1 + EVENT % 2 + EVENT % 3
        assert responder.headers[b"x-wisteriagw-server-stamp"] == b"stamp"
        assert gateway.count_usage() == 1

    def test_last_event_id_of_the_caller_is_forwarded(self) -> None:
        gateway = GatewayFixture()
        gateway.request("long", (b"last-event-id", b"7"), prompt="17000,100")
        assert gateway.pool.sent[0].headers[b"last-event-id"] == b"7"

    def test_started_stream_without_another_server_is_aborted(self) -> None:
        """A refusal after the head would be a second answer on the connection."""
        gateway = GatewayFixture()
        responder = gateway.request("long", prompt="17000,100")
        first = gateway.pool.sent[0]
        first.start(200)
        first.response.handle_part(EVENT % 1)
        gateway.fleet.fleet.servers.clear()
        first.response.handle_loss("reset")
        assert responder.aborted and responder.status == 200
        assert responder.body == EVENT % 1

    def test_loss_before_the_first_event_of_an_unrepeatable_stream(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("ask", prompt="300,50")
        gateway.pool.sent[0].response.handle_loss("reset")
        assert responder.status == 502


class TestSeparatePrefill:
    """A separate prefill must lead to one answer, and not leak its KV cache."""

    def build(self) -> GatewayFixture:
        gateway = GatewayFixture()
        gateway.add_server("prefill-1", "lm", 20, stage="prefill")
        return gateway

    def test_long_prompt_is_prefilled_then_decoded(self) -> None:
        gateway = self.build()
        responder = gateway.request("long", prompt="17000,100")
        prefill = gateway.pool.sent[0]
        assert prefill.address == ("10.0.0.20", 80)
        assert prefill.headers[b"x-wisteriagw-stage"] == b"prefill"
        prefill.reply(200, b'{"kv_handle": "h1", "tokens": 17000, "version": 1}')
        decode = gateway.pool.sent[1]
        assert decode.headers[b"x-wisteriagw-kv-source"] == b"10.0.0.20:80/h1"
        decode.start(200)
        decode.response.handle_part(EVENT % 1)
        decode.response.handle_end()
        assert responder.body == EVENT % 1
        assert gateway.work.list_own_work() == []

    def test_decode_engine_prefills_after_a_failed_prefill(self) -> None:
        gateway = self.build()
        responder = gateway.request("long", prompt="17000,100")
        gateway.pool.sent[0].response.handle_loss("reset")
        decode = gateway.pool.sent[1]
        assert b"x-wisteriagw-kv-source" not in decode.headers
        decode.start(200)
        decode.response.handle_part(EVENT % 1)
        decode.response.handle_end()
        assert responder.status == 200

    def test_unresponsive_prefill_engine_is_abandoned(self) -> None:
        gateway = self.build()
        gateway.request("long", prompt="17000,100")
        gateway.clock.advance(3.0)
        assert gateway.pool.sent[0].aborted
        assert b"x-wisteriagw-kv-source" not in gateway.pool.sent[1].headers

    def test_busy_prefill_engine_is_waited_for(self) -> None:
        gateway = self.build()
        gateway.request("long", prompt="17000,100")
        for _ in range(6):
            gateway.clock.advance(0.5)
            gateway.work.record_success("prefill-1", gateway.clock.seconds())
        assert not gateway.pool.sent[0].aborted
        assert len(gateway.pool.sent) == 1

    def test_kv_cache_is_freed_if_the_caller_leaves_before_it_is_used(self) -> None:
        gateway = self.build()
        responder = gateway.request("long", prompt="17000,100")
        gateway.pool.sent[0].reply(200, b'{"kv_handle": "h1"}')
        responder.on_disconnect()
        freed = gateway.pool.sent[2].request
        assert (freed.method, freed.target) == (b"DELETE", b"/kv-handle/h1")

    def test_server_that_began_to_leave_during_the_prefill_is_avoided(self) -> None:
        gateway = self.build()
        gateway.request("long", prompt="17000,100")
        servers = gateway.fleet.fleet.servers
        chosen = [
            name
            for name, tokens, streams in gateway.work.list_own_work()
            if name.startswith("lm")
        ]
        assert chosen == []
        servers["lm-1"] = servers["lm-1"]._replace(leaving=True)
        gateway.pool.sent[0].reply(200, b'{"kv_handle": "h1"}')
        assert gateway.pool.sent[1].address == ("10.0.0.12", 80)

    @pytest.mark.parametrize("status", [503, 500, 404])
    def test_refused_prefill(self, status: int) -> None:
        gateway = self.build()
        gateway.request("long", prompt="17000,100")
        gateway.pool.sent[0].reply(status, x_wisteriagw_not_executed="1")
        assert b"x-wisteriagw-kv-source" not in gateway.pool.sent[1].headers
