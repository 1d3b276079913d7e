"""Mesh message: summary of a data centre."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class DigestPush(NamedTuple):
    """Sent once a second from a relay to the relay of another data centre.

    Attributes
    ----------
    data_centre : str
        The data centre that is summarised.
    sent_at : float
        Reading of the sender's clock.
    vm_list_digest : int
        VM list under which the VMs were counted.
    count : int
        Established VMs with this VM list.
    age_ms : int
        Greatest age of what is known of them, in milliseconds.
    highest_revision : int
        Highest revision of the configuration that any VM there holds.
    absent : tuple of str
        VMs there that get no callers: failed, suspected or leaving.
    signs : tuple
        As in ``Heartbeat``.
    """

    data_centre: str
    sent_at: float
    vm_list_digest: int
    count: int
    age_ms: int
    highest_revision: int
    absent: tuple = ()
    signs: tuple = ()
