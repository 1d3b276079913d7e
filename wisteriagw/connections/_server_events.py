"""Protocol events of a caller's connection."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

import h11

if TYPE_CHECKING:
    from wisteriagw.connections._server_connection import ServerConnection


@singledispatch
def handle_event(event: Any, connection: ServerConnection) -> None:
    """Apply an h11 event to a connection."""


@handle_event.register(h11.Request)
def _(event: h11.Request, connection: ServerConnection) -> None:
    connection.handle_head(event)


@handle_event.register(h11.Data)
def _(event: h11.Data, connection: ServerConnection) -> None:
    connection.handle_data(bytes(event.data))


@handle_event.register(h11.EndOfMessage)
def _(event: h11.EndOfMessage, connection: ServerConnection) -> None:
    connection.handle_end()


@handle_event.register(h11.ConnectionClosed)
def _(event: h11.ConnectionClosed, connection: ServerConnection) -> None:
    connection.close()
