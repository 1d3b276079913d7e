"""Route that tells callers which entry addresses to use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.http import write_json

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext

ADDRESSES_VALID_SECONDS = 30


class AddressesResource(Resource):
    """Serves ``GET /v1/addresses``."""

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render_GET(self, request: Request) -> Any:
        """Answer with the addresses and how long they may be used."""
        addresses = self._context.settings["entry-addresses"] or (
            self._context.settings["listen"],
        )
        if self._context.shutdown.leaving:
            own = self._context.settings["listen"]
            addresses = [address for address in addresses if address != own]
        answer = {
            "addresses": [f"{host}:{port}" for host, port in addresses],
            "valid_seconds": ADDRESSES_VALID_SECONDS,
        }
        write_json(request, 200, answer)
        return NOT_DONE_YET
