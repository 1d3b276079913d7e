"""HTTP connections of both sides, with their protocol state in h11."""

from __future__ import annotations

from wisteriagw.connections._answer import Answer
from wisteriagw.connections._answer_head import AnswerHead
from wisteriagw.connections._answer_lost import AnswerLostError
from wisteriagw.connections._call_client import CallClient
from wisteriagw.connections._connect_failed import ConnectFailedError
from wisteriagw.connections._connection_pool import ConnectionPool
from wisteriagw.connections._http_request import HttpRequest
from wisteriagw.connections._responder import Responder
from wisteriagw.connections._server_factory import ServerFactory

__all__ = [
    "Answer",
    "AnswerHead",
    "AnswerLostError",
    "CallClient",
    "ConnectFailedError",
    "ConnectionPool",
    "HttpRequest",
    "Responder",
    "ServerFactory",
]
