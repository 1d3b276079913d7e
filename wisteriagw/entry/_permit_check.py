"""Refusal of requests without a serving permit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.http import write_error

if TYPE_CHECKING:
    from twisted.web.server import Request

    from wisteriagw.membership import Membership


def refuse_without_permit(
    request: Request, membership: Membership, *, not_run: bool
) -> bool:
    """Refuse a request if this VM holds no permit; return whether it was refused."""
    if membership.get_permit().held:
        return False
    message = "this VM is isolated and its configuration may be outdated"
    write_error(request, 503, "no_permit", message, not_run=not_run)
    return True
