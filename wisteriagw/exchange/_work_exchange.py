"""Exchange of served work and load reports between entry VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.exchange._reader_assignment import SMALL_FLEET_SERVERS
from wisteriagw.exchange._served_work import add_served_work, pop_largest
from wisteriagw.exchange._work_rows import (
    is_finite_number,
    parse_loads,
    parse_served_work,
)
from wisteriagw.membership import (
    NEVER,
    VmStatus,
    get_status,
    list_direct_peers,
    list_relay_peers,
    uses_relays,
)
from wisteriagw.messages import WorkReport
from wisteriagw.routing import LoadReport, PeerLoad

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.dispatch import Dispatcher
    from wisteriagw.membership import Membership

# A row takes about 20 bytes. The rows that a node sends to all peers in a second stay
# within half of its limit of 7 KB/s for all control traffic.
ROWS_PER_SECOND = 180
MIN_ROWS = 4


class WorkExchange:
    """Sends the work of this VM to peers, and applies theirs to the dispatcher.

    In a mesh with relays, these forward served work: from their own data centre to
    relays of other data centres, and from other data centres to their own.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher of this VM.
    membership : Membership
        View of the other VMs.
    clock : callable
        Returns the time in seconds.
    send : callable
        ``send(vm, message)`` sends a message without a guarantee of delivery.
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
        self._pending_own: dict[tuple[str, str], float] = {}
        self._pending_inbound: dict[tuple[str, str], float] = {}
        self._pending_outbound: dict[tuple[str, str], float] = {}
        self._reports: dict[str, LoadReport] = {}

    def record_report(self, report: LoadReport) -> None:
        """Record a load report that this VM has read, to send it to peers."""
        self._reports[report.backend_server] = report

    def tick(self) -> None:
        """Send pending work, loads and reports; called once a second."""
        state, now = self._membership.state, self._clock()
        served = self._dispatcher.pop_served_work()
        peers, relays = list_direct_peers(state), self._list_live_relays(now)
        if peers:
            add_served_work(self._pending_own, served)
            limit = max(MIN_ROWS, ROWS_PER_SECOND // len(peers))
            remote = pop_largest(self._pending_inbound, limit // 2)
            message = WorkReport(
                pop_largest(self._pending_own, limit - len(remote)),
                self._list_loads(),
                self._list_reports(limit),
                remote,
            )
            for peer in peers:
                self._send(peer, message)
        self._reports = {}
        if not relays:
            # Another VM is the relay; pending work must not be sent later.
            self._pending_outbound = {}
            return
        add_served_work(self._pending_outbound, served)
        limit = max(MIN_ROWS, ROWS_PER_SECOND // len(relays))
        message = WorkReport(pop_largest(self._pending_outbound, limit))
        for peer in relays:
            self._send(peer, message)

    def handle(self, sender: str, message: WorkReport) -> None:
        """Apply the report of a peer; senders not on the VM list are ignored."""
        state, now = self._membership.state, self._clock()
        member = state.members.get(sender)
        if member is None or sender == state.vm:
            return
        served = parse_served_work(message.served)
        for works in (served, parse_served_work(message.remote)):
            self._dispatcher.apply_served_work(works, now)
        if uses_relays(state):
            same_data_centre = member.data_centre == state.data_centre
            add_served_work(
                self._pending_outbound if same_data_centre else self._pending_inbound,
                served,
            )
        else:
            peer = PeerLoad(sender, parse_loads(message.loads))
            self._dispatcher.table.apply_peer_load(peer, now)
        if member.clock_offset == NEVER:
            # The reports of a peer cannot be dated before its clock offset is known.
            return
        for row in message.reports:
            if len(row) != 4 or not all(is_finite_number(value) for value in row[1:]):
                continue
            server, as_of_ms, tokens, streams = row
            as_of = min(now, as_of_ms / 1000.0 + member.clock_offset)
            report = LoadReport(server, as_of, float(tokens), int(streams))
            self._dispatcher.table.apply_report(report)

    def _list_live_relays(self, now: float) -> list[str]:
        """Return one live relay per data centre, so that no work counts twice there."""
        state = self._membership.state
        relays: dict[str, str] = {}
        for peer in list_relay_peers(state, now):
            member = state.members[peer]
            if get_status(state, member, now) is VmStatus.ALIVE:
                relays.setdefault(member.data_centre, peer)
        return list(relays.values())

    def _list_loads(self) -> tuple[tuple[str, float, int], ...]:
        """Return the outstanding work of this VM, or nothing if peers do not use it."""
        table = self._dispatcher.table
        if len(table.views) > SMALL_FLEET_SERVERS or uses_relays(
            self._membership.state
        ):
            return ()
        return tuple((name, *own) for name, own in table.list_own_load().items())

    def _list_reports(self, limit: int) -> tuple[tuple[str, int, float, int], ...]:
        # With few backend servers every VM reads the reports itself.
        if len(self._dispatcher.table.views) <= SMALL_FLEET_SERVERS:
            return ()
        newest = sorted(
            self._reports.values(), key=lambda report: report.as_of, reverse=True
        )
        return tuple(
            (report.backend_server, int(report.as_of * 1000), *report[2:])
            for report in newest[:limit]
        )
