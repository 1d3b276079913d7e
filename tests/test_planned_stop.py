"""Tests of requests that arrive while a process is stopping."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred

from tests.support._gateway_fixture import WINDOW_SECONDS, GatewayFixture
from wisteriagw.gateway._shutdown_sequence import ShutdownSequence
from wisteriagw.routes import Stop, can_end_before_exit

GRACE_SECONDS = 7.3
SETTINGS = SimpleNamespace(shutdown_seconds=8.0, address_seconds=5.0)
# Requests sent later than this after the signal must not be cut.
PLATFORM_EARLY_SECONDS = 3.0
EVENT = b"id: 1\ndata: t\n\n"


class StoppingGateway(GatewayFixture):
    """A gateway whose process is stopping."""

    def __init__(self) -> None:
        super().__init__()
        now = self.clock.seconds()
        self.handler.stop = Stop(now, now + GRACE_SECONDS)

    def advance(self, seconds: float) -> None:
        """Advance the time, with the configuration always just read."""
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            self.confirm()


class TestLateRequests:
    """A request taken late in the grace time was cut at its end, unanswered."""

    @pytest.mark.parametrize("route", ["ask", "unsafe", "safe"])
    @pytest.mark.parametrize("seconds", [3.5, 5.0, 7.2])
    def test_one_that_may_outlast_the_process_is_refused(
        self, route: str, seconds: float
    ) -> None:
        gateway = StoppingGateway()
        gateway.advance(seconds)
        responder = gateway.request(route)
        assert (responder.status, responder.ended) == (503, True)
        assert responder.headers[b"retry-after"] == b"0.00"
        assert gateway.pool.sent == []

    @pytest.mark.parametrize("seconds", [0.1, 1.0, 2.9, 3.2])
    def test_one_that_comes_early_or_ends_in_time_is_served(
        self, seconds: float
    ) -> None:
        gateway = StoppingGateway()
        gateway.advance(seconds)
        responder = gateway.request("ask")
        gateway.pool.sent[-1].reply(200, EVENT)
        assert (responder.status, responder.body) == (200, EVENT)

    def test_no_request_sent_late_is_open_at_the_exit(self) -> None:
        for step in range(30, 73):
            gateway = StoppingGateway()
            gateway.advance(step * 0.1)
            deadlines = [
                (b"x-wisteriagw-deadline-ms", b"%d" % ms) for ms in (500, 1000)
            ]
            responders = [gateway.request("unsafe", deadline=d) for d in deadlines]
            gateway.advance(GRACE_SECONDS - step * 0.1)
            assert all(responder.ended for responder in responders)
            assert all(responder.status in (503, 504) for responder in responders)

    @pytest.mark.parametrize("grace", [2.0, 7.3, 29.3])
    def test_early_requests_are_those_that_the_platform_excuses(
        self, grace: float
    ) -> None:
        stop = Stop(100.0, 100.0 + grace)
        late = 100.0 + min(PLATFORM_EARLY_SECONDS, 0.4 * grace) + 0.001
        if grace <= 7.5:
            assert not can_end_before_exit(stop, grace, late)
        assert can_end_before_exit(stop, 1_000.0, 100.0)
        assert not can_end_before_exit(stop, 0.5, 100.0 + grace - 0.4)


class TestExit:
    """A request that was open at the exit got no answer."""

    def test_request_that_may_have_run_is_answered(self) -> None:
        gateway = StoppingGateway()
        gateway.advance(1.0)
        responder = gateway.request("unsafe")
        gateway.handler.end_requests()
        assert (responder.status, responder.ended) == (504, True)
        assert gateway.pool.sent[-1].aborted

    def test_begun_stream_is_cut_and_does_not_look_complete(self) -> None:
        gateway = StoppingGateway()
        responder = gateway.request("ask")
        gateway.pool.sent[-1].start(200)
        gateway.pool.sent[-1].response.handle_part(EVENT)
        gateway.handler.end_requests()
        assert responder.aborted

    def test_ended_requests_are_not_ended_again(self) -> None:
        gateway = StoppingGateway()
        responder = gateway.request("unsafe")
        gateway.pool.sent[-1].reply(200, b"x")
        gateway.handler.end_requests()
        assert (responder.status, responder.body) == (200, b"x")


class TestStopDuration:
    """Idle processes were still there at the end of the grace time, and were killed."""

    def stop(
        self,
        busy: float,
        write: object,
        gateway: StoppingGateway | None = None,
        store_back: float = 60.0,
    ) -> float:
        """Return the seconds of a stop with requests open for some seconds."""
        gateway = gateway or StoppingGateway()
        clock = gateway.clock
        begun = clock.seconds()
        front = SimpleNamespace(
            closing=False, count_busy=lambda: clock.seconds() - begun < busy
        )
        sequence = ShutdownSequence(
            clock, SETTINGS, front, gateway.handler, SimpleNamespace(write=write)
        )
        clock.callLater(store_back, lambda: self.store_returns.callback(None))
        running = Deferred.fromCoroutine(sequence.run(gateway.usage.get_window))
        while not running.called:
            gateway.advance(0.1)
        assert front.closing
        return clock.seconds() - begun

    store_returns = Deferred()

    async def write_never(self, window: int) -> None:
        await Deferred()

    def test_usage_of_windows_that_begin_during_the_stop_is_written(self) -> None:
        written: list[tuple[float, int]] = []

        async def write(before: int) -> None:
            written.append((gateway.clock.seconds(), before))

        gateway = StoppingGateway()
        self.stop(6.0, write, gateway)
        ((at, before),) = written
        assert before > at // WINDOW_SECONDS

    async def write_at_once(self, window: int) -> None:
        return None

    def test_idle_process_whose_usage_is_written_ends_soon(self) -> None:
        seconds = self.stop(0.0, self.write_at_once)
        assert seconds <= SETTINGS.shutdown_seconds / 2

    def test_outage_that_ends_within_the_grace_time_loses_no_counts(self) -> None:
        """Counts were given up 0.35 s after the requests, so bills were too low."""
        written = []

        async def write(window: int) -> None:
            await self.store_returns
            written.append(window)

        self.store_returns = Deferred()
        assert self.stop(0.0, write, store_back=6.0) <= 6.2
        assert len(written) == 1

    def test_open_requests_are_waited_for(self) -> None:
        seconds = self.stop(5.0, self.write_at_once)
        assert 5.0 <= seconds <= 5.3

    def test_process_ends_before_it_is_killed(self) -> None:
        seconds = self.stop(60.0, self.write_never)
        assert seconds < SETTINGS.shutdown_seconds - 0.2
