"""Operators' interface."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource

from wisteriagw.entry._change_resource import ChangeResource
from wisteriagw.entry._operator_access import is_operator
from wisteriagw.entry._operators_audit import AuditResource
from wisteriagw.entry._operators_customers import build_customer_creation
from wisteriagw.entry._operators_decisions import DecisionsResource
from wisteriagw.entry._operators_demand import DemandResource
from wisteriagw.entry._operators_drains import build_drain, build_drain_end
from wisteriagw.entry._operators_fleet import FleetResource
from wisteriagw.entry._operators_keys import build_key_creation
from wisteriagw.entry._operators_revisions import RevisionsResource
from wisteriagw.entry._operators_sheet_checks import SheetChecksResource
from wisteriagw.entry._operators_sheets import build_publication
from wisteriagw.entry._operators_usage import UsageResource
from wisteriagw.entry._operators_withdrawals import build_key_withdrawal
from wisteriagw.entry._refusing_resource import RefusingResource

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.entry._entry_context import EntryContext

CHANGES = {
    b"customers": build_customer_creation,
    b"keys": build_key_creation,
    b"withdrawals": build_key_withdrawal,
    b"sheets": build_publication,
    b"drains": build_drain,
    b"drain-ends": build_drain_end,
}
VIEWS = {
    b"sheet-checks": SheetChecksResource,
    b"demand": DemandResource,
    b"fleet": FleetResource,
    b"revisions": RevisionsResource,
    b"decisions": DecisionsResource,
    b"audit": AuditResource,
    b"usage": UsageResource,
}


class OperatorsResource(Resource):
    """Serves ``/v1`` of the operators' interface.

    Parameters
    ----------
    context : EntryContext
        State of the process.
    token : str
        Token of the operators; empty on an interface that listens on loopback only.
    """

    def __init__(self, context: EntryContext, token: str = "") -> None:
        super().__init__()
        self._token = token
        for name, build in CHANGES.items():
            self.putChild(name, ChangeResource(context, build))
        for name, resource_type in VIEWS.items():
            self.putChild(name, resource_type(context))

    def getChildWithDefault(self, path: bytes, request: Request) -> Any:
        """Return a route, or a refusal without a valid token."""
        if not is_operator(request, self._token):
            return RefusingResource(401, "invalid_key", "no valid operator token")
        return super().getChildWithDefault(path, request)

    def getChild(self, path: bytes, request: Request) -> Any:
        """Return the refusal of an unknown route."""
        message = f"unknown route {path.decode('latin-1')!r}"
        return RefusingResource(404, "not_found", message)
