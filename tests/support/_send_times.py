"""Server time of the attempts of a hedging gateway, measured from what it sends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support._gateway_fixture import RecordingResponder
from wisteriagw.connections import HttpRequest

if TYPE_CHECKING:
    from tests.support._gateway_fixture import SentRequest
    from tests.support._hedging_gateway import HedgingGateway

STEP_SECONDS = 0.005


class SendTimes:
    """Plays requests and measures their attempts, without what the gateway counts."""

    def __init__(self, gateway: HedgingGateway) -> None:
        self._gateway = gateway
        self._responders: list[RecordingResponder] = []
        self._starts: dict[SentRequest, float] = {}
        self._ends: dict[SentRequest, float] = {}
        self._answered: set[SentRequest] = set()
        self._count = 0

    def advance(self, seconds: float) -> None:
        """Advance the time in small steps, as timers are served late otherwise."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self._gateway.clock.advance(STEP_SECONDS)
            self._gateway.confirm()
            self._update()

    def act(self, kind: str, index: int) -> None:
        """Send a request, or end an attempt or a request that is open."""
        running = [sent for sent in self._starts if sent not in self._ends]
        if kind == "request":
            self._request()
        elif kind == "leave" and self._responders:
            self._responders.pop(index % len(self._responders)).on_disconnect()
        elif kind != "leave" and running:
            sent = running[index % len(running)]
            self._ends[sent] = self._gateway.clock.seconds()
            if kind == "lose":
                sent.response.handle_loss("reset")
            else:
                if kind == "answer":
                    self._answered.add(sent)
                sent.reply(200 if kind == "answer" else 500, b"x")
        self._update()

    def sum_runs(self) -> float:
        """Return the seconds of attempts that were answered."""
        return sum(self._ends[sent] - self._starts[sent] for sent in self._answered)

    def list_extra(self) -> list[float]:
        """Return the seconds that each hedge added until now."""
        now = self._gateway.clock.seconds()
        by_request: dict[bytes, list[SentRequest]] = {}
        for sent in self._starts:
            name = sent.headers[b"x-wisteriagw-request-id"]
            by_request.setdefault(name, []).append(sent)
        extra = []
        for first, *others in by_request.values():
            for second in others:
                ends = [self._ends.get(sent, now) for sent in (first, second)]
                started = self._starts[second]
                if min(ends) <= started:
                    continue
                wasted = min(ends) - started
                if second in self._answered and ends[0] == ends[1]:
                    wasted += started - self._starts[first]
                extra.append(wasted)
        return extra

    def _request(self) -> None:
        self._count += 1
        headers = (
            (b"host", b"a.example"),
            (b"x-wisteriagw-request-id", b"r%d" % self._count),
            (b"x-wisteriagw-deadline-ms", b"4000"),
            (b"authorization", b"Token k1"),
        )
        self._responders.append(RecordingResponder())
        request = HttpRequest(b"POST", b"/safe/x", headers, b"body")
        self._gateway.handler.handle(request, self._responders[-1])

    def _update(self) -> None:
        now = self._gateway.clock.seconds()
        for sent in self._gateway.pool.sent:
            self._starts.setdefault(sent, now)
            if sent.aborted:
                self._ends.setdefault(sent, now)
