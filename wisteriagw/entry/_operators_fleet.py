"""Operators' interface: state of the fleet."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.entry._plain_values import to_plain
from wisteriagw.http import write_json

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext


class FleetResource(Resource):
    """Serves ``GET /v1/fleet``."""

    isLeaf = True

    def __init__(self, context: EntryContext) -> None:
        super().__init__()
        self._context = context

    def render_GET(self, request: Request) -> Any:
        """Answer with the fleet as this VM sees it."""
        write_json(request, 200, build_fleet(self._context))
        return NOT_DONE_YET


def build_fleet(context: EntryContext) -> dict[str, Any]:
    """Return the VMs, customers and backend servers as one VM sees them."""
    config, follower, now = context.config, context.config_follower, context.clock()
    keys = Counter(config.key_customers.values())
    read_at = follower.last_tip_read_at
    vms = []
    for entry in context.list_confirmations():
        age = now - entry.proved_at
        vm = {
            "name": entry.vm,
            "revision": entry.revision,
            # A VM that was never seen has an infinite age, which JSON cannot represent.
            "heard_age_seconds": age if math.isfinite(age) else None,
        }
        vms.append(vm)
    return {
        "vm": context.settings["vm"],
        "revision": config.revision,
        "sheet_revision": config.sheet_revision,
        "sheet_operator": config.sheet_operator,
        "read_age_seconds": None if read_at is None else now - read_at,
        "state_incomplete": follower.state_incomplete,
        "vms": vms,
        "customers": [
            {"name": name, "keys": keys[name]} for name in sorted(config.customers)
        ],
        "backend_servers": to_plain(context.list_views()),
        "findings": [finding._asdict() for finding in follower.findings],
    }
