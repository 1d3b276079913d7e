"""Streams that are open to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.web.server import Request


class OpenStreams:
    """Requests that are answered with a stream and are not finished."""

    def __init__(self) -> None:
        self._requests: set[Request] = set()

    def __len__(self) -> int:
        """Return the number of open streams."""
        return len(self._requests)

    def add(self, request: Request) -> None:
        """Track a request until it ends."""
        self._requests.add(request)
        request.notifyFinish().addBoth(lambda _: self._requests.discard(request))

    def abort_all(self) -> None:
        """Abort all streams; callers resume them at another VM."""
        for request in list(self._requests):
            if request.transport is not None:
                request.transport.abortConnection()
