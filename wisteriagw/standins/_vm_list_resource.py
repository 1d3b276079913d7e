"""HTTP interface of the VM list stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from wisteriagw.clients import VmEntry
from wisteriagw.http import read_json_object, write_error, write_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.server import Request


class VmListResource(Resource):
    """Serves ``GET /vms`` with a lag, and accepts changes at ``POST /vms``."""

    isLeaf = True

    def __init__(self, lag_seconds: float, clock: Callable[[], float]) -> None:
        super().__init__()
        self._lag_seconds = lag_seconds
        self._clock = clock
        self._versions: list[tuple[float, dict[str, VmEntry]]] = [(clock(), {})]

    def render_GET(self, request: Request) -> Any:
        """Return the list as it was one lag ago."""
        visible_until = self._clock() - self._lag_seconds
        while len(self._versions) > 1 and self._versions[1][0] <= visible_until:
            self._versions.pop(0)
        vms = self._versions[0][1]
        write_json(request, 200, [vm._asdict() for vm in vms.values()])
        return NOT_DONE_YET

    def render_POST(self, request: Request) -> Any:
        """Add or change a VM, or remove it if ``removed`` is true."""
        try:
            body = read_json_object(request)
            removed = body.pop("removed", False)
            vm = VmEntry(**body)
        except (TypeError, ValueError) as error:
            write_error(request, 400, "invalid_request", str(error), not_run=True)
            return NOT_DONE_YET
        vms = {**self._versions[-1][1], vm.name: vm}
        if removed:
            del vms[vm.name]
        self._versions.append((self._clock(), vms))
        write_json(request, 200, vm._asdict())
        return NOT_DONE_YET
