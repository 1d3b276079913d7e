"""In-memory HTTP client backed by stand-ins for an engine and the platform."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import succeed

from wisteriagw.clients import VmEntry
from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun
from wisteriagw.standins._backends_store import BackendsStore
from wisteriagw.standins._engine_orders import EngineOrders

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred

VM_LIST, BACKENDS, ENGINE = ("127.0.0.1", 1), ("127.0.0.1", 2), ("127.0.0.1", 3)


class FakePlatform:
    """Substitute for HttpClient whose calls complete before they return.

    Attributes
    ----------
    fault : str
        Fault injected into the next order: ``down``, ``lost`` (takes effect without a
        reply), ``late`` (takes effect at ``deliver_late_orders`` without a reply), or
        empty for none.
    calls : list of str
        Method and path of each call to an engine or to the interface.
    """

    def __init__(self, clock: Callable[[], float], *, checks_fencing: bool) -> None:
        self.fault = ""
        self.vms: list[str] = []
        self.leaving: set[str] = set()
        self.calls: list[str] = []
        self.store = BackendsStore(clock)
        self.engine = EngineOrders(clock, 3, checks_fencing=checks_fencing)
        self._late: list[Any] = []

    def send(
        self, address: Any, method: str, path: str, body: Any = None, **_: Any
    ) -> Deferred[Any]:
        """Return the outcome of a call."""
        if address == VM_LIST:
            return _reply(
                [VmEntry(vm, "d", "h", vm in self.leaving)._asdict() for vm in self.vms]
            )
        self.calls.append(f"{method} {path}")
        if method == "GET":
            return self._read(address)
        fault, self.fault = self.fault, ""
        fields = json.loads(body)
        if fault == "down":
            return succeed(FailedNotRun("down"))
        if fault == "late":
            self._late.append((address, fields))
            return succeed(MayHaveRun("no reply"))
        code = self._apply(address, fields)
        if fault == "lost":
            return succeed(MayHaveRun("reply lost"))
        return _reply({"error": {"code": code}}, 409 if code else 200)

    def deliver_late_orders(self) -> None:
        """Deliver the late orders, which then take effect."""
        late, self._late = self._late, []
        for address, fields in late:
            self._apply(address, fields)

    def _apply(self, address: Any, fields: dict[str, Any]) -> str:
        if address == ENGINE:
            return self.engine.accept(fields)
        if fields["action"] == "give_back":
            return self.store.release(fields["order_id"])
        return self.store.place_order(fields, reclaimable_available=True)

    def _read(self, address: Any) -> Deferred[Any]:
        if address == ENGINE:
            return _reply(self.engine.describe())
        return _reply([order._asdict() for order in self.store.list_orders()])


def _reply(value: Any, status: int = 200) -> Deferred[Any]:
    return succeed(Done(status, json.dumps(value).encode("utf-8")))
