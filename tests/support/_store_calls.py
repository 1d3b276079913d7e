"""Call client that is backed by the store stand-in, in virtual time."""

from __future__ import annotations

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from wisteriagw.connections import HttpRequest
from wisteriagw.outcomes import Done, MayHaveRun
from wisteriagw.standins._store_server import StoreServer

CALL_SECONDS = 0.01


class CallResponder:
    """Takes the response to one call."""

    def __init__(self) -> None:
        self.ended = False
        self.result: Deferred = Deferred()

    def reply(self, status: int, headers: tuple = (), body: bytes = b"") -> None:
        """Complete the call."""
        self._end(Done(status, body, headers=tuple(headers)))

    def abort(self) -> None:
        """Lose the response."""
        self._end(MayHaveRun("connection lost"))

    def _end(self, outcome) -> None:
        if not self.ended:
            self.ended = True
            self.result.callback(outcome)


class StoreCalls:
    """Substitute for CallClient; calls of several VMs may use one store.

    Attributes
    ----------
    server : StoreServer
        The store.
    hold : bool
        Whether calls are kept until ``release``, as those of a VM that is cut off.
    """

    def __init__(self, clock, server: StoreServer | None = None) -> None:
        self.server = server or StoreServer(clock)
        self.hold = False
        self._clock = clock
        self._held: list[Deferred] = []

    async def send(self, address, method, target, body=b"", timeout=2.0, headers=()):
        """Return the outcome of a call."""
        await deferLater(self._clock, CALL_SECONDS)
        if self.hold:
            held: Deferred = Deferred()
            self._held.append(held)
            await held
        responder = CallResponder()
        request = HttpRequest(method.encode(), target.encode(), (), body)
        self.server.handle(request, responder)
        return await responder.result

    def release(self) -> None:
        """Let the held calls reach the store."""
        self.hold = False
        held, self._held = self._held, []
        for call in held:
            call.callback(None)
