"""Entry under which a VM registers itself."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.platform import NodeSettings


class Member(NamedTuple):
    """Entry of a VM.

    Attributes
    ----------
    vm, data_centre : str
        Names of the VM and of its data centre.
    front : str
        Address that callers use, as ``IP:PORT``.
    host, port : str and int
        Address that other VMs connect to.
    incarnation : str
        Identifier of the process, new with every start.
    capacity : float
        Processor cores of the VM, in cores of standard speed.
    """

    vm: str
    data_centre: str
    front: str
    host: str
    port: int
    incarnation: str
    capacity: float = 0.0


def build_member(settings: NodeSettings, incarnation: str) -> Member:
    """Return the membership entry of this VM."""
    host, port = settings.peers
    return Member(
        settings.vm,
        settings.data_centre,
        format_address(settings.front),
        host,
        port,
        incarnation,
        settings.core_part * settings.core_speed,
    )


def format_address(address: tuple[str, int]) -> str:
    """Return ``IP:PORT``."""
    return f"{address[0]}:{address[1]}"
