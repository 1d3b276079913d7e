"""Membership of a running VM."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.membership._confirmations import list_confirmations
from wisteriagw.membership._evidence import PERMIT_SECONDS
from wisteriagw.membership._handling import handle_message
from wisteriagw.membership._heartbeat_facts import HeartbeatFacts
from wisteriagw.membership._heartbeats import build_heartbeat
from wisteriagw.membership._links import list_direct_peers, list_relay_peers
from wisteriagw.membership._member import NEVER
from wisteriagw.membership._permit_decision import decide_permit
from wisteriagw.membership._permit_view import PermitView
from wisteriagw.membership._probes import choose_probes
from wisteriagw.membership._signs import (
    forget_signs,
    is_backend_leaving,
    merge_signs,
    select_signs,
)
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
    from wisteriagw.membership._backend_sign import BackendSign
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
        Records of the configuration for peers.
    clock : callable
        Returns the time in seconds.
    send : callable
        ``send(vm, message)`` sends a message or loses it.

    Attributes
    ----------
    leaving : bool
        Set when the process shuts down: the VM is dropped from answers to callers.
    signs : dict of str to BackendSign
        Signs that backend servers are leaving.
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
        self.signs: dict[str, BackendSign] = {}
        self.last_config_request_at = NEVER
        self._established = False
        self._seq = 0

    def tick(self) -> None:
        """Send what is due; called once per heartbeat interval."""
        now = self.clock()
        self.state = begin_tick(self.state, now)
        rows = self.follower.state.sheet["backend_servers"]
        self.signs = forget_signs(self.signs, {row["name"] for row in rows}, now)
        facts = self._describe_self()
        for peer in list_direct_peers(self.state):
            self.send(peer, build_heartbeat(self.state, peer, facts, now))
        self._inform_relays(facts, now)
        for probe in choose_probes(self.state, now):
            self.send(probe.peer, ProbeRequest(probe.target))

    def handle(self, sender: str, message: Any) -> None:
        """Apply a message of a peer; a sender that is not on the VM list is ignored."""
        if sender not in self.state.members:
            return
        handle_message(message, self, sender)

    def set_vm_list(self, entries: Iterable[VmEntry]) -> None:
        """Take a new VM list; without one the last list stays in use."""
        entries = tuple(entries)
        self.state = apply_vm_list(self.state, entries)
        self.merge_signs(
            (entry.name, 0)
            for entry in entries
            if entry.leaving and entry.role == "backend"
        )

    def merge_signs(self, heard: Iterable[tuple[str, int]]) -> None:
        """Take signs that backend servers are leaving."""
        self.signs = merge_signs(self.signs, heard, self.clock())

    def is_backend_leaving(self, backend_server: str, incarnation: int = 0) -> bool:
        """Return whether any sign says that a backend server is leaving."""
        return is_backend_leaving(self.signs, backend_server, incarnation)

    def get_permit(self) -> Permit:
        """Return whether this VM may serve now."""
        now = self.clock()
        log_read_at = self._get_log_read_at()
        # With a fresh read of the log the others need not be looked at.
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
        """Return the VMs that may be named to callers."""
        available = list_available(self.state, self.clock())
        if not self.leaving and self.get_permit().held:
            return available
        return [member for member in available if member.vm != self.state.vm]

    def list_confirmations(self) -> list[Confirmation]:
        """Return what every VM on the VM list is known to hold."""
        return list_confirmations(
            self.state,
            self.follower.state.revision,
            self.get_permit().established,
            self.clock(),
        )

    def _describe_self(self) -> HeartbeatFacts:
        self._seq += 1
        return HeartbeatFacts(
            seq=self._seq,
            leaving=self.leaving or self.state.members[self.state.vm].listed_leaving,
            established=self.get_permit().established,
            revision=self.follower.state.revision,
            log_read_at=self._get_log_read_at(),
            signs=select_signs(self.signs, self._seq, self.clock()),
        )

    def _inform_relays(self, facts: HeartbeatFacts, now: float) -> None:
        peers = list_relay_peers(self.state, now)
        if not peers:
            return
        digest = summarise_data_centre(
            self.state, facts.revision, facts.established, now
        )._replace(leaving_servers=facts.signs)
        for peer in peers:
            self.send(peer, build_heartbeat(self.state, peer, facts, now))
            self.send(peer, digest)

    def _get_log_read_at(self) -> float:
        read_at = self.follower.last_tip_read_at
        return NEVER if read_at is None else read_at
