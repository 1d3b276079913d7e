"""Client of the platform's VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import inlineCallbacks

from wisteriagw.clients._vm_entry import VmEntry
from wisteriagw.clients._vm_list_unavailable import VmListUnavailableError
from wisteriagw.jsondata import load_json
from wisteriagw.outcomes import Done

if TYPE_CHECKING:
    from collections.abc import Generator
    from typing import Any

    from twisted.internet.defer import Deferred

    from wisteriagw.http import HttpClient

VM_LIST_TIMEOUT_SECONDS = 2.0


class VmListClient:
    """Client of the VM list over HTTP."""

    def __init__(self, client: HttpClient, address: tuple[str, int]) -> None:
        self._client = client
        self._address = address

    @inlineCallbacks
    def list_vms(self) -> Generator[Deferred[Any], Any, tuple[VmEntry, ...]]:
        """Return the VMs on the list, including those that are leaving."""
        outcome = yield self._client.send(
            self._address, "GET", "/vms", timeout=VM_LIST_TIMEOUT_SECONDS
        )
        if not isinstance(outcome, Done) or outcome.status != 200:
            raise VmListUnavailableError(str(outcome))
        try:
            return tuple(VmEntry(**fields) for fields in load_json(outcome.body))
        except (TypeError, ValueError) as error:
            raise VmListUnavailableError(f"invalid list of VMs: {error}") from error
