"""Route that lists the entry addresses for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.http import write_json
from wisteriagw.membership import choose_entry_vms

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
        """Answer with the addresses and their period of validity."""
        addresses = self._list_addresses(request)
        answer = {
            "addresses": [f"{host}:{port}" for host, port in addresses],
            "valid_seconds": ADDRESSES_VALID_SECONDS,
        }
        write_json(request, 200, answer)
        return NOT_DONE_YET

    def _list_addresses(self, request: Request) -> list[tuple[str, int]]:
        settings = self._context.settings
        host, port = settings["listen"]
        if settings["vm-list"] is None:
            addresses = settings["entry-addresses"] or ((host, port),)
            if not self._context.shutdown.leaving:
                return list(addresses)
            return [address for address in addresses if address != (host, port)]
        # All VMs run the same programs with the same ports.
        chosen = choose_entry_vms(
            request.getClientAddress().host,
            settings["data-centre"],
            self._context.membership.list_available(),
        )
        return [(member.host, port) for member in chosen] or [(host, port)]
