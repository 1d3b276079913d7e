"""Membership, serving permits and entry addresses, as decisions without I/O."""

from __future__ import annotations

from wisteriagw.membership._acceptance import Acceptance
from wisteriagw.membership._acceptance_decision import decide_acceptance
from wisteriagw.membership._addresses import choose_entry_vms
from wisteriagw.membership._backend_departure import BackendDeparture
from wisteriagw.membership._confirmation import Confirmation
from wisteriagw.membership._confirmations import (
    CONFIRMATION_SECONDS,
    list_confirmations,
)
from wisteriagw.membership._copy_peers import choose_copy_peers
from wisteriagw.membership._departures import is_backend_leaving, merge_departures
from wisteriagw.membership._evidence import PERMIT_SECONDS, SUMMARY_SECONDS, Evidence
from wisteriagw.membership._heartbeat_content import HeartbeatContent
from wisteriagw.membership._heartbeats import build_heartbeat
from wisteriagw.membership._member import NEVER, Member
from wisteriagw.membership._membership import Membership
from wisteriagw.membership._membership_state import MembershipState
from wisteriagw.membership._peers import list_direct_peers, list_relay_peers
from wisteriagw.membership._permit import Permit
from wisteriagw.membership._permit_decision import (
    SETTLE_SECONDS,
    decide_permit,
)
from wisteriagw.membership._permit_view import PermitView
from wisteriagw.membership._probe import Probe
from wisteriagw.membership._probes import choose_probes, decide_probe_reply
from wisteriagw.membership._remote_summary import RemoteSummary
from wisteriagw.membership._status import (
    FAIL_SECONDS,
    HEARTBEAT_SECONDS,
    SUSPECT_SECONDS,
    get_status,
    is_leaving,
    list_available,
)
from wisteriagw.membership._summaries import (
    apply_digest,
    list_evidence,
    sum_digests,
    summarise_data_centre,
)
from wisteriagw.membership._topology import (
    choose_pair_relay,
    uses_relays,
)
from wisteriagw.membership._updates import (
    apply_heartbeat,
    apply_probe_reply,
    apply_vm_list,
    begin_tick,
    build_membership,
)
from wisteriagw.membership._vm_list_digest import compute_vm_list_digest
from wisteriagw.membership._vm_status import VmStatus
from wisteriagw.relays import choose_relays
from wisteriagw.rendezvous import rank_names

__all__ = [
    "CONFIRMATION_SECONDS",
    "FAIL_SECONDS",
    "HEARTBEAT_SECONDS",
    "NEVER",
    "PERMIT_SECONDS",
    "SETTLE_SECONDS",
    "SUMMARY_SECONDS",
    "SUSPECT_SECONDS",
    "Acceptance",
    "BackendDeparture",
    "Confirmation",
    "Evidence",
    "HeartbeatContent",
    "Member",
    "Membership",
    "MembershipState",
    "Permit",
    "PermitView",
    "Probe",
    "RemoteSummary",
    "VmStatus",
    "apply_digest",
    "apply_heartbeat",
    "apply_probe_reply",
    "apply_vm_list",
    "begin_tick",
    "build_heartbeat",
    "build_membership",
    "choose_copy_peers",
    "choose_entry_vms",
    "choose_pair_relay",
    "choose_probes",
    "choose_relays",
    "compute_vm_list_digest",
    "decide_acceptance",
    "decide_permit",
    "decide_probe_reply",
    "get_status",
    "is_backend_leaving",
    "is_leaving",
    "list_available",
    "list_confirmations",
    "list_direct_peers",
    "list_evidence",
    "list_relay_peers",
    "merge_departures",
    "rank_names",
    "sum_digests",
    "summarise_data_centre",
    "uses_relays",
]
