"""Decisions on which process writes the usage of a VM, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.relays import RelayPeers

# With two VMs in a data centre both are relays, and each writes its own usage.
MAX_SEPARATE_VMS = 2
# A relay waits this long for the other VMs of its data centre. Their counts arrive one
# update interval (0.33 s at 87 VMs) after the end of the window, and the holder of the
# authority seals a complete window 1.5 s after its end at the earliest.
COLLECT_SECONDS = 0.6


def choose_usage_relay(
    vm: str, peers: RelayPeers, local_vms: int, serves_usage: bool
) -> str | None:
    """Return the VM that writes the usage of a VM, None if it is written separately.

    Load: appends of many VMs after each window.

    Parameters
    ----------
    local_vms : int
        Number of VMs that are registered in the data centre.
    serves_usage : bool
        Whether other VMs have recently chosen this VM. A relay without such VMs
        chooses the other relay, so one relay writes for the whole data centre.
    """
    if local_vms <= MAX_SEPARATE_VMS:
        return None
    if peers.is_relay and serves_usage:
        return vm
    return peers.relays[0] if peers.relays else None


def is_append_due(newest: set[str], previous: set[str], waited: float) -> bool:
    """Return whether a relay appends now what it has received.

    Load: appends of many VMs after each window.

    Parameters
    ----------
    newest, previous : set of str
        VMs whose counts of the newest window and of the one before were received.
    waited : float
        Seconds since the first counts that are not stored were received.
    """
    return waited >= COLLECT_SECONDS or (bool(previous) and previous <= newest)


def is_own_write_due(ended_ago: float, deadline: float, delegated: bool) -> bool:
    """Return whether a VM writes by itself what no relay has confirmed.

    Load: appends of many VMs after each window.

    Parameters
    ----------
    ended_ago : float
        Seconds since the end of the newest window that has ended.
    deadline : float
        Seconds after the end by which a relay has to confirm its counts.
    """
    return not delegated or ended_ago >= deadline
