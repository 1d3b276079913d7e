"""Mesh message: heartbeat."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class Heartbeat(NamedTuple):
    """Sent to every direct peer once a second.

    Attributes
    ----------
    vm, data_centre : str
        Identity and place of the sender.
    incarnation : int
        Rises with every start of the sender's process.
    seq : int
        Number of the heartbeat within the incarnation.
    leaving : bool
        Whether the sender is about to end.
    established : bool
        Whether the sender has recovered the configuration since its start; only then
        does it count towards a majority.
    config_revision : int
        Revision of the configuration that the sender holds.
    log_read_age_ms : int
        Milliseconds since the sender's last read of the log to its tip, -1 if none.
    vm_list_digest : int
        Digest of the sender's VM list.
    sent_at_ms : int
        Reading of the sender's clock in milliseconds, rounded down.
    echo_incarnation, echo_sent_at_ms, echo_received_at_ms : int
        Incarnation and ``sent_at_ms`` of the receiver's last heartbeat, and the reading
        of the sender's clock when it arrived, rounded up; they bound the offset of the
        two clocks.
    departures : tuple
        ``(backend_server, incarnation)`` of backend servers that are leaving.
    remote : tuple
        Empty, or a relay's summary of the other data centres: see
        ``wisteriagw.membership.RemoteSummary``.
    """

    vm: str
    data_centre: str
    incarnation: int
    seq: int
    leaving: bool
    established: bool
    config_revision: int
    log_read_age_ms: int
    vm_list_digest: int
    sent_at_ms: int
    echo_incarnation: int = 0
    echo_sent_at_ms: int = 0
    echo_received_at_ms: int = 0
    departures: tuple = ()
    remote: tuple = ()
