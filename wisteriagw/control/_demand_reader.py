"""Reader of the demand at the entry VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import gatherResults, inlineCallbacks

from wisteriagw.clients import VmListUnavailableError
from wisteriagw.control._demand_sum import parse_vm_demand, sum_demand
from wisteriagw.jsondata import load_json
from wisteriagw.outcomes import Done

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.clients import VmEntry, VmListClient
    from wisteriagw.control._vm_demand import VmDemand
    from wisteriagw.http import HttpClient
    from wisteriagw.roles import Demand

READ_TIMEOUT_SECONDS = 2.0
# With a cycle every 2 s, 410 entry VMs are polled within 14 s; a response is valid for
# 20 s.
MAX_READS_PER_CYCLE = 64


class DemandReader:
    """Polls the entry VMs on the VM list, least recently polled first.

    Parameters
    ----------
    client : HttpClient
        Client for the operators' interfaces.
    vm_list : VmListClient
        Client for the VM list.
    port : int
        Port of the operators' interface, which is the same on all entry VMs.
    token : str
        Operator token, or an empty string.
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
        self._requested_at: dict[str, float] = {}
        self._last_demands: dict[str, VmDemand] = {}

    @inlineCallbacks
    def read(self) -> Generator[Deferred[Any], Any, dict[str, Demand] | None]:
        """Poll some VMs; return the demand by model, None while it is not known."""
        try:
            entries = yield self._vm_list.list_vms()
            self._vms = tuple(entry for entry in entries if entry.role == "entry")
        except VmListUnavailableError:
            # The last list remains in use.
            pass
        names = {entry.name for entry in self._vms}
        for entries_by_vm in (self._requested_at, self._last_demands):
            for name in set(entries_by_vm) - names:
                del entries_by_vm[name]
        by_request_time = sorted(
            self._vms,
            key=lambda entry: (
                self._requested_at.get(entry.name, float("-inf")),
                entry,
            ),
        )
        yield gatherResults(
            [self._request_demand(vm) for vm in by_request_time[:MAX_READS_PER_CYCLE]]
        )
        return sum_demand(names, self._last_demands, self._clock())

    @inlineCallbacks
    def _request_demand(self, entry: VmEntry) -> Generator[Deferred[Any], Any, None]:
        requested_at = self._requested_at[entry.name] = self._clock()
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
            fields = load_json(outcome.body)
        except ValueError:
            return
        demand = parse_vm_demand(fields, requested_at)
        if demand is not None:
            self._last_demands[entry.name] = demand
