"""Exchange of reports of one kind with the other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.relays import RelayPeers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisteriagw.mesh import Mesh

# Relays repeat what is in force at this interval, for VMs that have just started or
# missed a report.
REPEAT_INTERVAL_SECONDS = 0.5
# Reports do not wait for the next update, whose interval grows with the number of VMs.
# Those of this time are sent together.
SEND_DELAY_SECONDS = 0.05


class ReportExchange:
    """Sends reports through the relays, as the other updates; most of the time none.

    Parameters
    ----------
    source : object
        State of this VM. Its ``reports`` is the queue of own reports, its ``on_report``
        is called without arguments when one was added. ``apply_reports(reports, now)``
        returns what other VMs have to know too, ``list_repeated(now)`` what is in
        force; both return a message.
    kind : type
        Message, a ``NamedTuple`` of tuples of rows.
    create_queue : callable
        Returns an empty queue of reports, with ``add_all(reports, now)`` and
        ``pop(now)``.
    """

    def __init__(
        self,
        mesh: Mesh,
        source: Any,
        reactor: Any,
        kind: type,
        create_queue: Callable[[], Any],
    ) -> None:
        self._mesh = mesh
        self._source = source
        self._reactor = reactor
        self._peers = RelayPeers()
        self._scheduled = False
        self._for_relays = create_queue()
        self._for_served_vms = create_queue()
        self._repeated_at = float("-inf")
        source.on_report = self._schedule
        mesh.subscribe(kind, self._handle)

    def send(self, peers: RelayPeers, now: float) -> None:
        """Send what was reported since the last message."""
        own = self._source.reports.pop(now)
        self._peers = peers
        if not peers.is_relay:
            self._send(peers.relays[:1], own)
            return
        self._for_relays.add_all(own, now)
        self._for_served_vms.add_all(own, now)
        update, served_update = self._for_relays.pop(now), self._for_served_vms.pop(now)
        if now - self._repeated_at >= REPEAT_INTERVAL_SECONDS:
            self._repeated_at = now
            repeated = self._source.list_repeated(now)
            update = join_reports(update, repeated)
            served_update = join_reports(served_update, repeated)
        self._send((*peers.selected_relays, *peers.reply_peers), update)
        self._send(peers.served_vms, served_update)

    def _send(self, vms: Iterable[str], reports: Any) -> None:
        if any(reports):
            self._mesh.multicast(vms, reports)

    def _handle(self, sender: str, reports: Any) -> None:
        now = self._reactor.seconds()
        forwarded = self._source.apply_reports(reports, now)
        if not self._peers.is_relay or not any(forwarded):
            return
        self._for_served_vms.add_all(forwarded, now)
        if sender in self._peers.served_vms:
            self._for_relays.add_all(forwarded, now)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._reactor.callLater(SEND_DELAY_SECONDS, self._send_scheduled)

    def _send_scheduled(self) -> None:
        self._scheduled = False
        self.send(self._peers, self._reactor.seconds())


def join_reports(first: Any, second: Any) -> Any:
    """Return one message with the rows of two."""
    return type(first)(*(rows + more for rows, more in zip(first, second, strict=True)))
