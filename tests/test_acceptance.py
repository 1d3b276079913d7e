"""Tests of the acceptance of a revision."""

from __future__ import annotations

import pytest

from wisteriagw.membership import PERMIT_SECONDS, Confirmation, decide_acceptance

NOW = 100.0
OWN_LIST, OTHER_LIST = 1, 2
NEVER = float("-inf")


def decide(confirmed: dict, accepted_at: float | None = None, now: float = NOW):
    """Decide on revision 5 from the revision and time that each VM confirmed."""
    entries = [Confirmation(vm, OWN_LIST, *entry) for vm, entry in confirmed.items()]
    return decide_acceptance(entries, OWN_LIST, 5, now, PERMIT_SECONDS, accepted_at)


class TestAcceptance:
    """Guards against a revision reported as in force while a VM lacks it."""

    @pytest.mark.parametrize(
        ("confirmed", "accepted_at", "accepted", "in_force"),
        [
            ({"a": (5, 99.0), "b": (5, 99.0), "c": (5, 99.0)}, None, True, True),
            ({"a": (5, 99.0), "b": (5, 99.0), "c": (4, 99.0)}, 90.0, True, False),
            ({"a": (5, 99.0), "b": (5, 99.0), "c": (4, 96.9)}, 90.0, True, True),
            ({"a": (5, 99.0), "b": (5, 99.0), "c": (-1, NEVER)}, 90.0, True, True),
            ({"a": (5, 99.0), "b": (4, 10.0), "c": (4, 10.0)}, None, False, False),
            ({"a": (5, 99.0), "b": (5, 90.0), "c": (4, 10.0)}, None, False, False),
        ],
    )
    def test_majority_and_unresponsive_vms(
        self, confirmed, accepted_at, accepted, in_force
    ):
        found = decide(confirmed, accepted_at)
        assert (found.accepted, found.in_force) == (accepted, in_force)

    def test_senders_with_another_vm_list_do_not_count(self) -> None:
        entries = [
            Confirmation("a", OWN_LIST, 5, NOW),
            Confirmation("b", OTHER_LIST, 5, NOW),
        ]
        found = decide_acceptance(entries, OWN_LIST, 5, NOW, PERMIT_SECONDS)
        assert not found.accepted

    def test_unresponsive_time_counts_from_the_acceptance(self) -> None:
        confirmed = {"a": (5, NOW), "b": (5, NOW), "c": (4, 1.0)}
        assert not decide(confirmed).in_force
        assert not decide(confirmed, accepted_at=97.5).in_force
        assert decide(confirmed, accepted_at=96.9).in_force
