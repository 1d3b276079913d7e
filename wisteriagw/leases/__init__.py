"""Authority of one process at a time, agreed through the log alone."""

from __future__ import annotations

from wisteriagw.leases._decisions import (
    ACT_MARGIN_SECONDS,
    CLAIM_MARGIN_SECONDS,
    TERM_SECONDS,
    compute_act_until,
    decide_append,
    find_unproved,
    observe_tip,
)
from wisteriagw.leases._fold import (
    apply_record,
    build_empty_leases,
    describe_lease,
    get_entry,
    lose_records,
)
from wisteriagw.leases._former_holder import FormerHolder
from wisteriagw.leases._lease import NO_OFFSET, Lease
from wisteriagw.leases._lease_entry import LeaseEntry
from wisteriagw.leases._lease_keeper import LEASES_STREAM, LeaseKeeper
from wisteriagw.leases._lease_state import LeaseState
from wisteriagw.leases._lease_view import LeaseView
from wisteriagw.leases._maintenance import keep_lease, release_lease
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
    "LeaseEntry",
    "LeaseKeeper",
    "LeaseState",
    "LeaseView",
    "Observation",
    "ProcessIdentity",
    "apply_record",
    "build_empty_leases",
    "compute_act_until",
    "decide_append",
    "describe_lease",
    "find_unproved",
    "get_entry",
    "lose_records",
    "keep_lease",
    "observe_tip",
    "release_lease",
]
