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
    from wisteriagw.leases._lease_keeper import LeaseKeeper

logger = logging.getLogger(__name__)

# A release that the log does not take in this time is left to the next process.
RELEASE_SECONDS = 5.0


@inlineCallbacks
def keep_lease(
    keeper: LeaseKeeper, vm_list: VmListClient, clock: Callable[[], float]
) -> Generator[Deferred[Any], Any, None]:
    """Read the VM list and take a turn; fails with LogUnavailableError."""
    started, through = clock(), keeper.through
    try:
        vms = yield vm_list.list_vms()
        keeper.set_vms(frozenset(vm.name for vm in vms), started, through)
        # A leaving VM hands the authority over while it still can.
        if (keeper.process.vm, True) in [(vm.name, vm.leaving) for vm in vms]:
            keeper.stopping = True
    except VmListUnavailableError as error:
        logger.warning("the VM list cannot be read: %s", error)
    yield keeper.run_turn()


@inlineCallbacks
def release_lease(
    keeper: LeaseKeeper,
    clock: Callable[[], float],
    wait: Callable[[], Deferred[None]],
) -> Generator[Deferred[Any], Any, None]:
    """Give the authority up, so that another process need not wait for the term.

    The loop that calls ``keep_lease`` writes the release; ``wait`` lets it run.
    """
    keeper.stopping = True
    deadline = clock() + RELEASE_SECONDS
    while clock() < deadline and not keeper.is_released():
        yield wait()
