"""Mesh message: notices of backend servers."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class ServerNotices(NamedTuple):
    """Sent to a relay, between relays, and by a relay to the VMs that it serves.

    Attributes
    ----------
    departures : tuple
        Rows of backend server, its start time, position in the register up to which
        it is leaving as a number, and seconds since the notice.
    pauses : tuple
        Rows of backend server, its start time, seconds for which it wants no requests,
        and seconds since the notice.
    rate_limits : tuple
        Rows of backend server, its start time, requests per second that it takes from
        all VMs, infinite if it named no limit any more, and seconds since the notice.
    """

    departures: tuple = ()
    pauses: tuple = ()
    rate_limits: tuple = ()
