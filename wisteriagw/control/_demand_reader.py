"""Reader of the demand at the entry VMs."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import gatherResults, inlineCallbacks

from wisteriagw.clients import VmListUnavailableError
from wisteriagw.control._demand_sum import read_vm_demand, sum_demand
from wisteriagw.outcomes import Done

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.clients import VmEntry, VmListClient
    from wisteriagw.control._vm_demand import VmDemand
    from wisteriagw.http import HttpClient
    from wisteriagw.roles import Demand

READ_TIMEOUT_SECONDS = 2.0
# 410 entry VMs are then asked within 14 s at a turn every 2 s, while an answer counts
# for 20 s.
MAX_READS_PER_TURN = 64


class DemandReader:
    """Asks the entry VMs on the VM list, those asked longest ago first.

    Parameters
    ----------
    client : HttpClient
        Client for the operators' interfaces.
    vm_list : VmListClient
        Client for the VM list.
    port : int
        Port of the operators' interface, which is the same on all entry VMs.
    token : str
        Token of operators, or an empty text.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self,
        client: HttpClient,
        vm_list: VmListClient,
        port: int,
        token: str,
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._vm_list = vm_list
        self._port = port
        self._headers = {"authorization": f"Bearer {token}"} if token else {}
        self._clock = clock
        self._vms: tuple[VmEntry, ...] = ()
        self._asked_at: dict[str, float] = {}
        self._known: dict[str, VmDemand] = {}

    @inlineCallbacks
    def read(self) -> Generator[Deferred[Any], Any, dict[str, Demand] | None]:
        """Ask some VMs; gives the demand by model, None while it is not known."""
        try:
            entries = yield self._vm_list.list_vms()
            self._vms = tuple(entry for entry in entries if entry.role == "entry")
        except VmListUnavailableError:
            # The last list stays in use.
            pass
        names = {entry.name for entry in self._vms}
        for kept in (self._asked_at, self._known):
            for name in set(kept) - names:
                del kept[name]
        order = sorted(
            self._vms,
            key=lambda entry: (self._asked_at.get(entry.name, float("-inf")), entry),
        )
        yield gatherResults([self._ask(vm) for vm in order[:MAX_READS_PER_TURN]])
        return sum_demand(names, self._known, self._clock())

    @inlineCallbacks
    def _ask(self, entry: VmEntry) -> Generator[Deferred[Any], Any, None]:
        asked_at = self._asked_at[entry.name] = self._clock()
        outcome = yield self._client.send(
            (entry.host, self._port),
            "GET",
            "/v1/demand",
            headers=self._headers,
            timeout=READ_TIMEOUT_SECONDS,
        )
        if not isinstance(outcome, Done) or outcome.status != 200:
            return
        try:
            fields = json.loads(outcome.body)
        except ValueError:
            return
        demand = read_vm_demand(fields, asked_at)
        if demand is not None:
            self._known[entry.name] = demand
