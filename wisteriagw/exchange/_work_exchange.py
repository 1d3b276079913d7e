"""Exchange of the work of entry VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.exchange._ownership import READ_ALL
from wisteriagw.exchange._served_work import add_served, take_greatest
from wisteriagw.exchange._work_rows import is_figure, read_loads, read_served
from wisteriagw.membership import (
    NEVER,
    VmStatus,
    get_status,
    is_split,
    list_direct_peers,
    list_relay_peers,
)
from wisteriagw.messages import WorkReport
from wisteriagw.routing import LoadReport, PeerLoad

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.dispatch import Dispatcher
    from wisteriagw.membership import Membership

# A row takes about 20 bytes. The rows of a second to all peers together stay within
# half of the 7 KB a second of a node for all control work.
ROWS_PER_SECOND = 180
LEAST_ROWS = 4


class WorkExchange:
    """Tells peers of the own work, and the dispatcher of theirs.

    In a split mesh the relays pass the work served on: what comes from their own data
    centre to other relays, and what comes from other data centres to their own.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher of this VM.
    membership : Membership
        View of the other VMs.
    clock : callable
        Returns the time in seconds.
    send : callable
        ``send(vm, message)`` sends a message or loses it.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        membership: Membership,
        clock: Callable[[], float],
        send: Callable[[str, Any], None],
    ) -> None:
        self._dispatcher = dispatcher
        self._membership = membership
        self._clock = clock
        self._send = send
        self._own: dict[tuple[str, str], float] = {}
        self._inward: dict[tuple[str, str], float] = {}
        self._outward: dict[tuple[str, str], float] = {}
        self._reports: dict[str, LoadReport] = {}

    def note_report(self, report: LoadReport) -> None:
        """Keep a load report that this VM has read, for its peers."""
        self._reports[report.backend_server] = report

    def tick(self) -> None:
        """Send what is due; called once a second."""
        state, now = self._membership.state, self._clock()
        served = self._dispatcher.pop_served_work()
        inner, outer = list_direct_peers(state), self._list_relays(now)
        if inner:
            add_served(self._own, served)
            limit = max(LEAST_ROWS, ROWS_PER_SECOND // len(inner))
            remote = take_greatest(self._inward, limit // 2)
            message = WorkReport(
                take_greatest(self._own, limit - len(remote)),
                self._list_loads(),
                self._list_reports(limit),
                remote,
            )
            for peer in inner:
                self._send(peer, message)
        self._reports = {}
        if not outer:
            # Another VM is the relay; what was kept for it must not go out later.
            self._outward = {}
            return
        add_served(self._outward, served)
        limit = max(LEAST_ROWS, ROWS_PER_SECOND // len(outer))
        message = WorkReport(take_greatest(self._outward, limit))
        for peer in outer:
            self._send(peer, message)

    def handle(self, sender: str, message: WorkReport) -> None:
        """Take in the work of a peer; one that is not on the VM list is ignored."""
        state, now = self._membership.state, self._clock()
        member = state.members.get(sender)
        if member is None or sender == state.vm:
            return
        served = read_served(message.served)
        for works in (served, read_served(message.remote)):
            self._dispatcher.apply_served_work(works, now)
        if is_split(state):
            near = member.data_centre == state.data_centre
            add_served(self._outward if near else self._inward, served)
        else:
            peer = PeerLoad(sender, read_loads(message.loads))
            self._dispatcher.table.apply_peer_load(peer, now)
        if member.clock_offset == NEVER:
            # The reports of a peer cannot be dated before its clock is known.
            return
        for row in message.reports:
            if len(row) != 4 or not all(is_figure(value) for value in row[1:]):
                continue
            server, as_of_ms, tokens, streams = row
            as_of = min(now, as_of_ms / 1000.0 + member.clock_offset)
            report = LoadReport(server, as_of, float(tokens), int(streams))
            self._dispatcher.table.apply_report(report)

    def _list_relays(self, now: float) -> list[str]:
        """Return one live relay per data centre, so that no work counts twice there."""
        state = self._membership.state
        relays: dict[str, str] = {}
        for peer in list_relay_peers(state, now):
            member = state.members[peer]
            if get_status(state, member, now) is VmStatus.ALIVE:
                relays.setdefault(member.data_centre, peer)
        return list(relays.values())

    def _list_loads(self) -> tuple[tuple[str, float, int], ...]:
        """Return the own outstanding work where the peers make use of it."""
        table = self._dispatcher.table
        if len(table.views) > READ_ALL or is_split(self._membership.state):
            return ()
        return tuple((name, *own) for name, own in table.list_own_load().items())

    def _list_reports(self, limit: int) -> tuple[tuple[str, int, float, int], ...]:
        # With few backend servers every VM reads the reports itself.
        if len(self._dispatcher.table.views) <= READ_ALL:
            return ()
        fresh = sorted(
            self._reports.values(), key=lambda report: report.as_of, reverse=True
        )
        return tuple(
            (one.backend_server, int(one.as_of * 1000), *one[2:])
            for one in fresh[:limit]
        )
