"""Authority of one process at a time, by conditional appends to the store."""

from __future__ import annotations

from wisteriagw.authority._authority_step import AuthorityStep
from wisteriagw.authority._decisions import compute_term_end, decide_step
from wisteriagw.authority._grant import (
    NOBODY,
    Grant,
    build_claim,
    revoke_earlier_era,
)

__all__ = [
    "AuthorityStep",
    "Grant",
    "NOBODY",
    "build_claim",
    "compute_term_end",
    "decide_step",
    "revoke_earlier_era",
]
