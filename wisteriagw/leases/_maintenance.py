"""Maintenance of a lease by the program that holds or wants it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.clients import VmListUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.clients import VmListClient
    from wisteriagw.leases._lease_controller import LeaseController

logger = logging.getLogger(__name__)

# After this time an unwritten release is left to the next process.
RELEASE_TIMEOUT_SECONDS = 5.0


@inlineCallbacks
def maintain_lease(
    controller: LeaseController, vm_list: VmListClient, clock: Callable[[], float]
) -> Generator[Deferred[Any], Any, None]:
    """Read the VM list and run a cycle; fails with LogUnavailableError."""
    started, through = clock(), controller.through
    try:
        vms = yield vm_list.list_vms()
        controller.set_vms(frozenset(vm.name for vm in vms), started, through)
        # A leaving VM releases the authority while it is still able to.
        if (controller.process.vm, True) in [(vm.name, vm.leaving) for vm in vms]:
            controller.stopping = True
    except VmListUnavailableError as error:
        logger.warning("the VM list cannot be read: %s", error)
    yield controller.run_cycle()


@inlineCallbacks
def release_lease(
    controller: LeaseController,
    clock: Callable[[], float],
    wait: Callable[[], Deferred[None]],
) -> Generator[Deferred[Any], Any, None]:
    """Release the authority, so that another process need not wait for the term.

    The loop that calls ``maintain_lease`` writes the release; ``wait`` lets it run.
    """
    controller.stopping = True
    deadline = clock() + RELEASE_TIMEOUT_SECONDS
    while clock() < deadline and not controller.is_released():
        yield wait()
