"""Part of a response that a slow caller has not read yet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.connections._buffer_budget import BufferBudget

# Bytes passed to a transport at once; it keeps what the kernel does not take.
PIECE_BYTES = 65_536


class ResponseBuffer:
    """Passes a response to its transport as fast as the caller reads.

    Load: many callers read large responses slowly, or not at all. Each transport gets
    one piece at a time, and all bytes that are not sent yet count toward the budget of
    the process. Beyond the budget the largest response is cut.

    Parameters
    ----------
    transport : ITransport
        Transport of the caller's connection.
    budget : BufferBudget
        Bound on the unsent bytes of all responses.
    on_dropped : callable
        Called without arguments if the response must be cut.

    Attributes
    ----------
    blocked : bool
        Whether the transport asked to wait.
    """

    def __init__(
        self, transport: Any, budget: BufferBudget, on_dropped: Callable[[], None]
    ) -> None:
        self.blocked = False
        self._transport = transport
        self._budget = budget
        self._on_dropped = on_dropped
        self._unsent = bytearray()
        # Bytes at the transport since it was last empty.
        self._passed = 0

    @property
    def empty(self) -> bool:
        """Whether all bytes were passed to the transport, which takes more."""
        return not self._unsent and not self.blocked

    def write(self, data: bytes) -> None:
        """Pass data to the transport, or keep what it does not take."""
        if self._unsent or self.blocked:
            self._unsent += data
        else:
            self._pass_pieces(data)
        self._count()

    def block(self) -> None:
        """Wait until the transport has sent what it has."""
        self.blocked = True
        self._count()

    def unblock(self) -> None:
        """Go on, because the transport has sent everything."""
        self.blocked = False
        self._passed = 0
        if self._unsent:
            data, self._unsent = self._unsent, bytearray()
            self._pass_pieces(data)
        self._count()

    def clear(self) -> None:
        """Forget the unsent bytes."""
        self._unsent = bytearray()
        self._passed = 0
        self._budget.set_size(self, 0)

    def drop_buffer(self, reason: str) -> None:
        """Cut the response, because all responses take too much memory."""
        self.clear()
        self._on_dropped()

    def _pass_pieces(self, data: bytes | bytearray) -> None:
        if len(data) <= PIECE_BYTES:
            self._passed += len(data)
            self._transport.write(bytes(data))
            return
        view = memoryview(data)
        position = 0
        while position < len(view) and not self.blocked:
            piece = bytes(view[position : position + PIECE_BYTES])
            position += len(piece)
            self._passed += len(piece)
            self._transport.write(piece)
        self._unsent = bytearray(view[position:])

    def _count(self) -> None:
        size = len(self._unsent) + self._passed if self.blocked else 0
        self._budget.set_size(self, size)
