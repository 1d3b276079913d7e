"""Prompt parts that crash engines: evidence and quarantine, without I/O."""

from __future__ import annotations

from wisteriagw.crashes._crash_history import CrashHistory
from wisteriagw.crashes._fingerprint import compute_fingerprint
from wisteriagw.crashes._quarantine import Quarantine
from wisteriagw.crashes._quarantine_list import QuarantineList
from wisteriagw.crashes._signature import Signature
from wisteriagw.crashes._signature_search import find_signatures

__all__ = [
    "CrashHistory",
    "Quarantine",
    "QuarantineList",
    "Signature",
    "compute_fingerprint",
    "find_signatures",
]
