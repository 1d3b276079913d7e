"""Open requests of callers by the key that they use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Container

    from twisted.web.server import Request


class RequestsByKey:
    """Tracks open requests, to abort those whose key was withdrawn."""

    def __init__(self) -> None:
        self._requests: dict[bytes, set[Request]] = {}

    def add(self, key_hash: bytes, request: Request) -> None:
        """Track a request until it is finished or its connection is lost."""
        self._requests.setdefault(key_hash, set()).add(request)
        request.notifyFinish().addBoth(self._remove, key_hash, request)

    def abort_withdrawn(self, valid_keys: Container[bytes]) -> int:
        """Abort the requests with other keys; return their number."""
        withdrawn = [key for key in self._requests if key not in valid_keys]
        ended = [request for key in withdrawn for request in self._requests[key]]
        for request in ended:
            request.transport.abortConnection()
        return len(ended)

    def _remove(self, result: Any, key_hash: bytes, request: Request) -> None:
        requests = self._requests.get(key_hash, set())
        requests.discard(request)
        if not requests:
            self._requests.pop(key_hash, None)
