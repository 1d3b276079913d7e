"""Membership of a running VM."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.membership._confirmations import list_confirmations
from wisteriagw.membership._departures import (
    expire_departures,
    is_backend_leaving,
    merge_departures,
    select_departures,
)
from wisteriagw.membership._evidence import PERMIT_SECONDS
from wisteriagw.membership._handling import handle_message
from wisteriagw.membership._heartbeat_content import HeartbeatContent
from wisteriagw.membership._heartbeats import build_heartbeat
from wisteriagw.membership._member import NEVER
from wisteriagw.membership._peers import list_direct_peers, list_relay_peers
from wisteriagw.membership._permit_decision import decide_permit
from wisteriagw.membership._permit_view import PermitView
from wisteriagw.membership._probes import choose_probes
from wisteriagw.membership._status import list_available
from wisteriagw.membership._summaries import (
    list_evidence,
    summarise_data_centre,
)
from wisteriagw.membership._updates import apply_vm_list, begin_tick
from wisteriagw.messages import ProbeRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisteriagw.clients import VmEntry
    from wisteriagw.follower import RecordHistory, StreamFollower
    from wisteriagw.membership._backend_departure import BackendDeparture
    from wisteriagw.membership._confirmation import Confirmation
    from wisteriagw.membership._member import Member
    from wisteriagw.membership._membership_state import MembershipState
    from wisteriagw.membership._permit import Permit


class Membership:
    """Applies the decisions of this package to the messages of one VM.

    Parameters
    ----------
    state : MembershipState
        View to start from; see ``build_membership``.
    follower : StreamFollower
        Reader of the configuration.
    history : RecordHistory
        Records of the configuration that peers may request.
    clock : callable
        Returns the time in seconds.
    send : callable
        ``send(vm, message)`` sends a message without a guarantee of delivery.

    Attributes
    ----------
    leaving : bool
        Set when the process shuts down: the VM is left out of answers to callers.
    departures : dict of str to BackendDeparture
        Departures of backend servers.
    """

    def __init__(
        self,
        state: MembershipState,
        follower: StreamFollower,
        history: RecordHistory,
        clock: Callable[[], float],
        send: Callable[[str, Any], None],
    ) -> None:
        self.state = state
        self.follower = follower
        self.history = history
        self.clock = clock
        self.send = send
        self.leaving = False
        self.departures: dict[str, BackendDeparture] = {}
        self.last_config_request_at = NEVER
        self._established = False
        self._seq = 0

    def tick(self) -> None:
        """Send what is due; called once per heartbeat interval."""
        now = self.clock()
        self.state = begin_tick(self.state, now)
        rows = self.follower.state.sheet["backend_servers"]
        self.departures = expire_departures(
            self.departures, {row["name"] for row in rows}, now
        )
        content = self._build_heartbeat_content()
        for peer in list_direct_peers(self.state):
            self.send(peer, build_heartbeat(self.state, peer, content, now))
        self._send_to_relay_peers(content, now)
        for probe in choose_probes(self.state, now):
            self.send(probe.peer, ProbeRequest(probe.target))

    def handle(self, sender: str, message: Any) -> None:
        """Apply a message of a peer; a sender that is not on the VM list is ignored."""
        if sender not in self.state.members:
            return
        handle_message(message, self, sender)

    def set_vm_list(self, entries: Iterable[VmEntry]) -> None:
        """Apply a VM list, which stays in use until another one is applied."""
        entries = tuple(entries)
        self.state = apply_vm_list(self.state, entries)
        self.merge_departures(
            (entry.name, 0)
            for entry in entries
            if entry.leaving and entry.role == "backend"
        )

    def merge_departures(self, received: Iterable[tuple[str, int]]) -> None:
        """Merge received departures of backend servers."""
        self.departures = merge_departures(self.departures, received, self.clock())

    def is_backend_leaving(self, backend_server: str, incarnation: int = 0) -> bool:
        """Return whether a backend server is known to be leaving."""
        return is_backend_leaving(self.departures, backend_server, incarnation)

    def get_permit(self) -> Permit:
        """Return whether this VM may serve now."""
        now = self.clock()
        log_read_at = self._get_log_read_at()
        # With a fresh read of the log no evidence about other VMs is needed.
        fresh = now - log_read_at <= PERMIT_SECONDS
        view = PermitView(
            revision=self.follower.state.revision,
            log_read_at=log_read_at,
            established=self._established,
            started_at=self.state.started_at,
            listed_vms=len(self.state.members) - int(not self.state.listed),
            evidence=() if fresh else list_evidence(self.state, now),
            own_votes=int(self.state.listed),
        )
        permit = decide_permit(view, now)
        self._established = permit.established
        return permit

    def list_available(self) -> list[Member]:
        """Return the VMs whose addresses may be given to callers."""
        available = list_available(self.state, self.clock())
        if not self.leaving and self.get_permit().held:
            return available
        return [member for member in available if member.vm != self.state.vm]

    def list_confirmations(self) -> list[Confirmation]:
        """Return the confirmations of all VMs on the VM list."""
        return list_confirmations(
            self.state,
            self.follower.state.revision,
            self.get_permit().established,
            self.clock(),
        )

    def _build_heartbeat_content(self) -> HeartbeatContent:
        self._seq += 1
        return HeartbeatContent(
            seq=self._seq,
            leaving=self.leaving or self.state.members[self.state.vm].listed_leaving,
            established=self.get_permit().established,
            revision=self.follower.state.revision,
            log_read_at=self._get_log_read_at(),
            departures=select_departures(self.departures, self._seq, self.clock()),
        )

    def _send_to_relay_peers(self, content: HeartbeatContent, now: float) -> None:
        peers = list_relay_peers(self.state, now)
        if not peers:
            return
        digest = summarise_data_centre(
            self.state, content.revision, content.established, now
        )._replace(departures=content.departures)
        for peer in peers:
            self.send(peer, build_heartbeat(self.state, peer, content, now))
            self.send(peer, digest)

    def _get_log_read_at(self) -> float:
        read_at = self.follower.last_tip_read_at
        return NEVER if read_at is None else read_at
