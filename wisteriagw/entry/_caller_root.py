"""Root of the caller interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.entry._shutting_down_resource import ShuttingDownResource
from wisteriagw.http import PathResource

if TYPE_CHECKING:
    from twisted.web.resource import Resource
    from twisted.web.server import Request

    from wisteriagw.entry._shutdown import Shutdown


class CallerRoot(PathResource):
    """Counts every request, and refuses new ones once the drain period is over."""

    def __init__(self, shutdown: Shutdown) -> None:
        super().__init__()
        self._shutdown = shutdown

    def getChildWithDefault(self, path: bytes, request: Request) -> Resource:
        """Return the resource of the first part of a path."""
        if self._shutdown.leaving:
            request.setHeader(b"wisteriagw-leaving", b"true")
            request.setHeader(b"connection", b"close")
        if path == b"healthz":
            return super().getChildWithDefault(path, request)
        if self._shutdown.refusing:
            return ShuttingDownResource()
        self._shutdown.track(request)
        return super().getChildWithDefault(path, request)
