"""Root of the callers' routes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.entry._refusing_resource import RefusingResource
from wisteriagw.http import PathResource

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext


class VersionResource(PathResource):
    """Serves ``/v1`` unless records of the configuration are missing."""

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def getChildWithDefault(self, path: bytes, request: Request) -> Any:
        """Return the route, or a refusal without a complete configuration."""
        if self._context.config_follower.state_incomplete:
            message = "state_incomplete: records of the configuration are missing"
            return RefusingResource(503, "no_permit", message)
        return super().getChildWithDefault(path, request)
