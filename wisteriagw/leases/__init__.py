"""Leases that give an authority to one process at a time, through the log alone."""

from __future__ import annotations

from wisteriagw.leases._decisions import (
    ACT_MARGIN_SECONDS,
    CLAIM_MARGIN_SECONDS,
    TERM_SECONDS,
    compute_act_until,
    decide_append,
    list_unproved_holders,
    observe_tip,
)
from wisteriagw.leases._fold import (
    apply_record,
    apply_record_loss,
    build_empty_leases,
    describe_lease,
    get_entry,
)
from wisteriagw.leases._former_holder import FormerHolder
from wisteriagw.leases._lease import NO_OFFSET, Lease
from wisteriagw.leases._lease_controller import LEASES_STREAM, LeaseController
from wisteriagw.leases._lease_entry import LeaseEntry
from wisteriagw.leases._lease_state import LeaseState
from wisteriagw.leases._lease_view import LeaseView
from wisteriagw.leases._maintenance import maintain_lease, release_lease
from wisteriagw.leases._observation import Observation
from wisteriagw.leases._process_identity import ProcessIdentity

__all__ = [
    "ACT_MARGIN_SECONDS",
    "CLAIM_MARGIN_SECONDS",
    "LEASES_STREAM",
    "NO_OFFSET",
    "TERM_SECONDS",
    "FormerHolder",
    "Lease",
    "LeaseController",
    "LeaseEntry",
    "LeaseState",
    "LeaseView",
    "Observation",
    "ProcessIdentity",
    "apply_record",
    "apply_record_loss",
    "build_empty_leases",
    "compute_act_until",
    "decide_append",
    "describe_lease",
    "get_entry",
    "list_unproved_holders",
    "maintain_lease",
    "observe_tip",
    "release_lease",
]
