"""Pool of reusable client connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectingCancelledError, ConnectionRefusedError

from wisteriagw.connections._buffer_budget import BufferBudget
from wisteriagw.connections._client_connection import ClientConnection
from wisteriagw.connections._connect_failed import ConnectFailedError
from wisteriagw.connections._reachability import Reachability

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.connections._http_request import HttpRequest
    from wisteriagw.connections._response import Response
    from wisteriagw.connections._response_head import ResponseHead

# A server in the same deployment accepts within milliseconds; one that does not is
# down.
CONNECT_TIMEOUT_SECONDS = 0.5
MAX_IDLE_PER_ADDRESS = 32


class ConnectionPool:
    """Opens connections and keeps idle ones for reuse.

    Attributes
    ----------
    opened : int
        Connections opened since the start.
    budget : BufferBudget
        Bound on the bodies that are being received.
    """

    def __init__(self, reactor: Any, budget: BufferBudget | None = None) -> None:
        self.opened = 0
        self.budget = budget or BufferBudget()
        self._reactor = reactor
        self._idle: dict[tuple[str, int], list[tuple[float, ClientConnection]]] = {}
        self._open: dict[tuple[str, int], set[ClientConnection]] = {}

    async def send(
        self,
        address: tuple[str, int],
        request: HttpRequest,
        accepts: Callable[[ResponseHead], bool] | None,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
    ) -> Response:
        """Send a request; raises ConnectFailedError if nothing was sent.

        ``accepts`` tells whether a response belongs to the request; None accepts any. A
        connection whose last response would be accepted is not reused: a faulty server
        may send that response once more.
        """
        connection = self._pop_idle(address, accepts)
        if connection is None:
            connection = await self._connect(address, connect_timeout)
        return connection.send(request, accepts or _accept_any, self.budget)

    async def probe(self, address: tuple[str, int]) -> Reachability:
        """Open a connection to an address, and keep it if it is accepted."""
        try:
            connection = await self._connect(address, CONNECT_TIMEOUT_SECONDS)
        except ConnectFailedError as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return Reachability.REFUSED if refused else Reachability.SILENT
        self._release(address, connection)
        return Reachability.OPEN

    def count_open(self, address: tuple[str, int]) -> int:
        """Return the number of connections to an address."""
        return len(self._open.get(address, ()))

    def close_idle(self) -> None:
        """Close connections past their idle time; must be called periodically."""
        now = self._reactor.seconds()
        for address, idle in list(self._idle.items()):
            kept = []
            for until, connection in idle:
                if now < until:
                    kept.append((until, connection))
                    continue
                connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close_address(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        for _, connection in self._idle.pop(address, ()):
            connection.close()

    def _pop_idle(
        self,
        address: tuple[str, int],
        accepts: Callable[[ResponseHead], bool] | None,
    ) -> ClientConnection | None:
        now = self._reactor.seconds()
        idle = self._idle.get(address, [])
        kept = []
        found = None
        while idle and found is None:
            until, connection = idle.pop()
            if connection.closed or now >= until:
                connection.close()
                continue
            last_head = connection.last_head
            if accepts is not None and last_head is not None and accepts(last_head):
                kept.append((until, connection))
                continue
            found = connection
        idle.extend(reversed(kept))
        return found

    async def _connect(
        self, address: tuple[str, int], timeout: float
    ) -> ClientConnection:
        host, port = address
        endpoint = TCP4ClientEndpoint(self._reactor, host, port, timeout=timeout)
        connection = ClientConnection(
            lambda used: self._release(address, used),
            lambda closed: self._remove(address, closed),
            self._reactor.callLater,
        )
        try:
            await connectProtocol(endpoint, connection)
        except CancelledError:
            raise
        except ConnectingCancelledError as error:
            # An endpoint reports its cancellation with an error of its own.
            raise CancelledError from error
        except Exception as error:
            raise ConnectFailedError(f"{type(error).__name__}: {error}") from error
        self.opened += 1
        self._open.setdefault(address, set()).add(connection)
        return connection

    def _release(self, address: tuple[str, int], connection: ClientConnection) -> None:
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        idle.append((self._reactor.seconds() + connection.idle_seconds, connection))

    def _remove(self, address: tuple[str, int], connection: ClientConnection) -> None:
        opened = self._open.get(address)
        if opened is not None:
            opened.discard(connection)
            if not opened:
                del self._open[address]
        idle = self._idle.get(address)
        if idle:
            self._idle[address] = [pair for pair in idle if pair[1] is not connection]


def _accept_any(head: ResponseHead) -> bool:
    return True
