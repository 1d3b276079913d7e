"""Tests of streams that break off, and of what follows them."""

from __future__ import annotations

import pytest

from tests.support._gateway_fixture import GatewayFixture
from wisteriagw.connections import ResponseHead

EVENT = b"id: %d\ndata: t\n\n"


class TestBrokenStream:
    """A stream that broke off must not look complete, nor carry anything else."""

    PROMPT = "17000,100"

    def break_off(self, gateway: GatewayFixture, route: str = "long"):
        """Start a stream whose engine ends after one event."""
        responder = gateway.request(route, prompt=self.PROMPT)
        first = gateway.pool.sent[0]
        first.start(200)
        first.response.handle_part(EVENT % 1 + b"id: 2\nda")
        first.response.handle_loss("reset")
        return responder

    @pytest.mark.parametrize("rest", [b"id: 2\ndata: t", b"id: 2\ndata: t\n", b"i"])
    def test_end_inside_an_event_is_not_the_end_of_the_stream(
        self, rest: bytes
    ) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("ask", prompt="300,50")
        sent = gateway.pool.sent[0]
        sent.start(200)
        sent.response.handle_part(EVENT % 1 + rest)
        sent.response.handle_end()
        assert responder.body == EVENT % 1
        assert responder.aborted

    def test_stream_that_ends_inside_an_event_is_resumed(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("long", prompt=self.PROMPT)
        first = gateway.pool.sent[0]
        first.start(200)
        first.response.handle_part(EVENT % 1 + b"id: 2\nda")
        first.response.handle_end()
        second = gateway.pool.sent[1]
        assert second.headers[b"last-event-id"] == b"1"
        second.reply(200, EVENT % 2)
        assert responder.body == EVENT % 1 + EVENT % 2
        assert responder.ended and not responder.aborted

    def test_line_break_after_the_last_event_is_forwarded(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("ask", prompt="300,50")
        gateway.pool.sent[0].reply(200, EVENT % 1 + b"\n")
        assert responder.body == EVENT % 1 + b"\n"
        assert responder.ended and not responder.aborted

    @pytest.mark.parametrize(
        ("status", "headers"),
        [
            (500, {}),
            (503, {"x_wisteriagw_not_executed": "1"}),
            (421, {}),
            (400, {}),
            (204, {}),
        ],
    )
    def test_error_after_a_stream_has_begun_stays_out_of_it(
        self, status: int, headers: dict[str, str]
    ) -> None:
        gateway = GatewayFixture()
        responder = self.break_off(gateway)
        gateway.pool.sent[1].reply(status, b"error: text\n\n", **headers)
        assert responder.body == EVENT % 1
        assert responder.status == 200
        assert responder.aborted

    def test_error_without_a_proof_stays_out_of_the_stream(self) -> None:
        gateway = GatewayFixture()
        responder = self.break_off(gateway)
        response = gateway.pool.sent[1].response
        response.handle_head(ResponseHead(200, ((b"x-wisteriagw-request-id", b"r1"),)))
        response.handle_part(b"HTTP/1.1 500 Error\r\n\r\n")
        response.handle_end()
        assert responder.body == EVENT % 1
        assert responder.aborted

    def test_error_text_with_status_200_stays_out_of_the_stream(self) -> None:
        gateway = GatewayFixture()
        responder = self.break_off(gateway)
        sent = gateway.pool.sent[1]
        sent.start(200, content_type="application/json")
        sent.response.handle_part(b'{"error": "text"}\r\n\r\n')
        sent.response.handle_end()
        assert responder.body == EVENT % 1
        assert responder.aborted

    def test_answer_without_events_is_forwarded_whole(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("long", prompt=self.PROMPT)
        body = b'{"error": "text"}'
        gateway.pool.sent[0].reply(200, body, content_type="application/json")
        assert (responder.status, responder.body) == (200, body)
        assert responder.ended and not responder.aborted

    def test_stream_without_any_event_is_not_complete(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request("ask", prompt="300,50")
        gateway.pool.sent[0].reply(200)
        assert responder.status == 502

    def test_engine_that_ends_without_an_event_is_a_suspect(self) -> None:
        """An answer that ends with its connection has no other sign of a crash."""
        gateway = GatewayFixture()
        gateway.request("ask", prompt="300,50")
        sent = gateway.pool.sent[0]
        gateway.pool.refusing.add(sent.address)
        sent.reply(200)
        assert gateway.crashing_parts.reports.pop(gateway.clock.seconds()).crashes

    def test_resumed_stream_may_have_no_further_event(self) -> None:
        gateway = GatewayFixture()
        responder = gateway.request(
            "long", (b"last-event-id", b"7"), prompt=self.PROMPT
        )
        gateway.pool.sent[0].reply(200)
        assert responder.status == 200
        assert responder.ended and not responder.aborted
