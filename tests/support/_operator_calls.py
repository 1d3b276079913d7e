"""Calls of the operators' interface without a network."""

from __future__ import annotations

import json
from collections import Counter
from io import BytesIO
from typing import Any

from twisted.internet.task import Clock
from twisted.web.resource import getChildForRequest
from twisted.web.test.requesthelper import DummyRequest

from tests.support._memory_log import MemoryLog
from tests.support._virtual_clock import VirtualClock
from wisteriagw.entry._entry_context import EntryContext
from wisteriagw.entry._operators_resource import OperatorsResource
from wisteriagw.http import HttpClient


class OperatorCalls:
    """An entry process with an in-memory log, and its operators' interface."""

    def __init__(self, token: str = "", log: MemoryLog | None = None) -> None:
        self.log, self.clock = log or MemoryLog(), VirtualClock()
        self.context = EntryContext(
            {
                "vm": "vm-1",
                "data-centre": "dc1",
                "listen": ("127.0.0.1", 1),
                "vm-list": None,
                "drain-seconds": 1.0,
            },
            HttpClient(Clock()),
            self.log,
            self.clock,
            Counter(),
        )
        self._root = OperatorsResource(self.context, token)

    def call(self, path: str, body: Any = None, token: str = "") -> tuple[int, Any]:
        """Return the status and the body of the answer."""
        path, _, query = path.partition("?")
        request = DummyRequest([part.encode() for part in path.split("/")])
        request.path = b"/v1/" + path.encode()
        request.method = b"GET" if body is None else b"POST"
        request.content = BytesIO(json.dumps(body).encode())
        request.body_too_large = False
        for pair in filter(None, query.split("&")):
            name, _, value = pair.partition("=")
            request.args[name.encode()] = [value.encode()]
        if token:
            request.requestHeaders.addRawHeader("authorization", f"Bearer {token}")
        resource = getChildForRequest(self._root, request)
        resource.render(request)
        return request.responseCode, json.loads(b"".join(request.written))
