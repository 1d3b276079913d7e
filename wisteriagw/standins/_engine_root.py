"""Routes of the engine stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource

if TYPE_CHECKING:
    from twisted.web.server import Request


class EngineRoot(Resource):
    """Routes orders and state to one resource and all other paths to another."""

    def __init__(self, requests: Resource, orders: Resource) -> None:
        super().__init__()
        self._requests = requests
        for path in (b"orders", b"state", b"conflicts"):
            self.putChild(path, orders)

    def getChild(self, path: bytes, request: Request) -> Any:
        """Return the resource that serves model requests."""
        return self._requests
