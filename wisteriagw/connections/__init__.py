"""HTTP/1.1 client and server connections, with the protocol state in h11."""

from __future__ import annotations

from wisteriagw.connections._buffer_budget import BufferBudget
from wisteriagw.connections._call_client import CallClient
from wisteriagw.connections._connect_failed import ConnectFailedError
from wisteriagw.connections._connection_pool import ConnectionPool
from wisteriagw.connections._http_request import HttpRequest
from wisteriagw.connections._reachability import Reachability
from wisteriagw.connections._responder import Responder
from wisteriagw.connections._response import Response
from wisteriagw.connections._response_head import ResponseHead
from wisteriagw.connections._response_lost import ResponseLostError
from wisteriagw.connections._server_factory import ServerFactory

__all__ = [
    "BufferBudget",
    "CallClient",
    "ConnectFailedError",
    "ConnectionPool",
    "HttpRequest",
    "Reachability",
    "Responder",
    "Response",
    "ResponseHead",
    "ResponseLostError",
    "ServerFactory",
]
