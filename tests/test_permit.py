"""Tests of the serving permit."""

from __future__ import annotations

from itertools import product

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from tests.support import SimulatedMesh
from wisteriagw.config import hash_key
from wisteriagw.membership import (
    CONFIRMATION_SECONDS,
    NEVER,
    SETTLE_SECONDS,
    Evidence,
    PermitView,
    decide_permit,
)
from wisteriagw.messages import ConfigRecords
from wisteriagw.records import CustomerCreated, KeyWithdrawn, encode_record

NOW = 100.0
FRESH, STALE = NOW - 3.0, NOW - 3.1
VMS = 5
NAMES = [f"vm-{n}" for n in range(VMS)]
ACCEPTED_SECONDS = 5.0
GROUPS = st.sets(st.sampled_from(NAMES), min_size=1, max_size=2)
SECONDS = st.sampled_from([0, 0.5, 2, 9])


def build_evidence(votes, proved_at, revision, log_read_at) -> tuple[Evidence, ...]:
    """Return four peers of a VM on a list of five, the first of which read the log."""
    first = Evidence(1, proved_at, revision, log_read_at)
    rest = [Evidence(int(n < votes - 1), proved_at, revision) for n in range(3)]
    return (first, *rest)


class TestDecidePermit:
    """Guards against serving without any of the three conditions for a permit."""

    @pytest.mark.parametrize(
        ("log_read_at", "established", "votes", "proved_at", "peer_revision", "peer"),
        list(
            product(
                (NEVER, STALE, FRESH),
                (False, True),
                (1, 2, 3),
                (STALE, FRESH),
                (6, 7, 8),
                (NEVER, STALE, FRESH),
            )
        ),
    )
    def test_every_combination(
        self, log_read_at, established, votes, proved_at, peer_revision, peer
    ) -> None:
        evidence = build_evidence(votes, proved_at, peer_revision, peer)
        # The process started too recently to have recovered through a majority.
        view = PermitView(7, log_read_at, established, NOW - 5, VMS, evidence)
        current = peer_revision <= 7
        read_itself = log_read_at != NEVER
        confirmed_by_peer = current and peer != NEVER
        counts = established or read_itself or confirmed_by_peer
        majority = counts and votes >= 2 and proved_at == FRESH and current
        expected = ""
        if majority:
            expected = "majority"
        if peer == FRESH and current:
            expected = "peer"
        if log_read_at == FRESH:
            expected = "log"
        assert decide_permit(view, NOW) == (expected, counts)

    @pytest.mark.parametrize(
        ("age", "votes", "revision", "expected"),
        [
            (SETTLE_SECONDS, 3, 7, "majority"),
            (SETTLE_SECONDS - 0.1, 3, 7, ""),
            (SETTLE_SECONDS, 2, 7, ""),
            (SETTLE_SECONDS, 3, 8, ""),
        ],
    )
    def test_recovery_needs_a_majority_of_others_after_settling(
        self, age, votes, revision, expected
    ) -> None:
        evidence = build_evidence(votes, FRESH, revision, NEVER)
        view = PermitView(7, NEVER, False, NOW - age, VMS, evidence)
        assert decide_permit(view, NOW) == (expected, bool(expected))

    def test_lone_vm_needs_only_its_own_read(self) -> None:
        assert not decide_permit(PermitView(7, NEVER, False, 0.0, 1, ()), NOW).held
        assert decide_permit(PermitView(7, 1.0, False, 0.0, 1, ()), NOW).held


class WithdrawalMachine(RuleBasedStateMachine):
    """Withdraws keys under faults of links, log and processes."""

    def __init__(self) -> None:
        super().__init__()
        self.mesh = SimulatedMesh(VMS)
        self.pending: dict[int, str] = {}
        self.accepted: dict[int, float] = {}
        self.mesh.run(4, self.check)

    @rule(group=GROUPS, log_too=st.booleans(), seconds=SECONDS)
    def cut(self, group, log_too, seconds) -> None:
        """Cut a group off from the others and perhaps from the log."""
        self.mesh.cut(group)
        if log_too:
            self.mesh.cut_off_log |= group
        self.mesh.run(seconds, self.check)

    @rule(log_down=st.booleans(), seconds=SECONDS)
    def heal(self, log_down, seconds) -> None:
        """Heal all links; the log may be down for all."""
        self.mesh.heal()
        self.mesh.cut_off_log.clear()
        self.mesh.log_down = log_down
        self.mesh.run(seconds, self.check)

    @rule(group=GROUPS, seconds=SECONDS)
    def pause(self, group, seconds) -> None:
        """Pause the processes of a group and resume the others."""
        self.mesh.paused = set(group)
        self.mesh.run(seconds, self.check)

    @rule(group=GROUPS, seconds=SECONDS)
    def restart(self, group, seconds) -> None:
        """Restart processes; the outcome of their pending changes stays unknown."""
        for name in group:
            self.mesh.restart(name)
        self.pending = {
            offset: vm for offset, vm in self.pending.items() if vm not in group
        }
        self.mesh.run(seconds, self.check)

    @rule(seconds=SECONDS)
    def withdraw(self, seconds) -> None:
        """Withdraw a key at the first VM that reaches the log."""
        for name in NAMES:
            if self.mesh.vms[name].log.down or name in self.mesh.paused:
                continue
            record = KeyWithdrawn(hash_key("k"), "ann", str(self.mesh.now))
            offset = self.mesh.store.append("config", encode_record(record))
            self.pending[offset] = name
            break
        self.mesh.run(seconds, self.check)

    def check(self) -> None:
        """Fail if a VM serves without a change that was accepted 5 s ago."""
        for offset, name in list(self.pending.items()):
            if self._is_accepted(offset, name):
                del self.pending[offset]
                self.accepted[offset] = self.mesh.now
        due = [
            offset
            for offset, accepted_at in self.accepted.items()
            if self.mesh.now > accepted_at + ACCEPTED_SECONDS
        ]
        for name in self.mesh.list_serving() if due else ():
            revision = self.mesh.vms[name].membership.follower.state.revision
            assert revision >= max(due), f"{name} serves without {max(due)}"

    def _is_accepted(self, offset: int, name: str) -> bool:
        if name in self.mesh.paused:
            return False
        membership = self.mesh.vms[name].membership
        confirmed = [
            confirmation
            for confirmation in membership.list_confirmations()
            if confirmation.revision >= offset
            and confirmation.vm_list_digest == membership.state.vm_list_digest
            and membership.clock() - confirmation.proved_at <= CONFIRMATION_SECONDS
        ]
        return 2 * len(confirmed) > VMS


WithdrawalMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=20, deadline=None
)


class TestWithdrawal(WithdrawalMachine.TestCase):
    """Guards against a withdrawn key that stays valid in a network partition."""


class TestPermitInMesh:
    """Guards against faults that need an exact order of events."""

    def test_plain_log_outage_stops_no_vm(self) -> None:
        mesh = SimulatedMesh(VMS)
        mesh.run(4)
        mesh.log_down = True
        for _ in range(120):
            mesh.run(0.25)
            assert mesh.list_serving() == set(NAMES)

    def test_plain_log_outage_stops_no_vm_of_a_relayed_mesh(self) -> None:
        mesh = SimulatedMesh(18, data_centres=3, step=0.125)
        mesh.run(8)
        mesh.log_down = True
        for _ in range(60):
            mesh.run(0.25)
            assert len(mesh.list_serving()) == 18

    def test_vm_cut_off_from_log_takes_changes_from_peers(self) -> None:
        mesh = SimulatedMesh(VMS)
        mesh.run(4)
        mesh.cut_off_log.add("vm-1")
        record = encode_record(KeyWithdrawn(hash_key("k"), "ann", "n"))
        offset = mesh.store.append("config", record)
        mesh.run(3)
        assert mesh.vms["vm-1"].membership.follower.state.revision == offset
        assert "vm-1" in mesh.list_serving()

    def test_vm_that_starts_with_the_log_down_recovers_through_peers(self) -> None:
        mesh = SimulatedMesh(VMS)
        record = encode_record(KeyWithdrawn(hash_key("k"), "ann", "n"))
        offset = mesh.store.append("config", record)
        mesh.run(4)
        mesh.log_down = True
        mesh.run(10)
        mesh.restart("vm-1")
        mesh.run(6)
        assert "vm-1" not in mesh.list_serving()
        mesh.run(4)
        assert "vm-1" in mesh.list_serving()
        assert mesh.vms["vm-1"].membership.follower.state.revision == offset

    def test_vm_takes_the_whole_state_when_peers_lack_the_first_records(self) -> None:
        mesh = SimulatedMesh(VMS)
        mesh.store.append("config", encode_record(CustomerCreated("a", "ann", "n")))
        last = mesh.store.append(
            "config", encode_record(CustomerCreated("b", "ann", "n"))
        )
        mesh.run(4)
        for vm in mesh.vms.values():
            # As after a start from a checkpoint through the first record.
            vm.membership.history.add(last, b"")
            vm.membership.history.add(last + 1, b"")
        mesh.log_down = True
        mesh.run(10)
        mesh.restart("vm-1")
        mesh.run(10)
        assert mesh.vms["vm-1"].membership.follower.state.customers == {"a", "b"}
        assert "vm-1" in mesh.list_serving()

    def test_lone_vm_stops_after_3_seconds(self) -> None:
        mesh = SimulatedMesh(VMS)
        mesh.run(4)
        mesh.cut(["vm-1"])
        mesh.cut_off_log.add("vm-1")
        mesh.run(3.5)
        assert mesh.list_serving() == set(NAMES) - {"vm-1"}

    def test_heartbeats_buffered_during_a_pause_prove_nothing(self) -> None:
        # The process resumes inside a partition and reads what was sent before it.
        mesh = SimulatedMesh(VMS)
        mesh.run(4)
        mesh.paused.add("vm-1")
        mesh.run(2)
        mesh.cut(["vm-1"])
        mesh.cut_off_log.add("vm-1")
        mesh.run(10)
        mesh.paused.clear()
        mesh.run(0.5)
        assert "vm-1" not in mesh.list_serving()

    def test_restarted_vm_does_not_vote_before_it_has_recovered(self) -> None:
        # The change rests on vm-0, vm-1 and the old process of vm-2.
        mesh = SimulatedMesh(VMS)
        mesh.run(4)
        mesh.cut_off_log |= {"vm-2", "vm-3", "vm-4"}
        mesh.cut(["vm-3", "vm-4"])
        mesh.store.append("config", encode_record(KeyWithdrawn(b"k", "ann", "n")))
        mesh.run(3)
        assert mesh.vms["vm-2"].membership.follower.state.revision == 0
        mesh.restart("vm-2")
        mesh.heal()
        mesh.cut(["vm-0", "vm-1"])
        mesh.run(4)
        for _ in range(60):
            mesh.run(0.25)
            assert mesh.list_serving() == {"vm-0", "vm-1"}

    def test_votes_under_another_vm_list_do_not_count(self) -> None:
        mesh = SimulatedMesh(VMS)
        mesh.run(4)
        other = (*mesh.entries, mesh.entries[0]._replace(name="vm-9"))
        for name in NAMES[2:]:
            mesh.vms[name].membership.set_vm_list(other)
        mesh.log_down = True
        mesh.run(4)
        assert mesh.list_serving() == set()

    def test_vm_that_is_on_no_list_has_no_vote(self) -> None:
        mesh = SimulatedMesh(1)
        mesh.run(4)
        mesh.log_down = True
        mesh.run(10)
        assert mesh.list_serving() == {"vm-0"}
        mesh.vms["vm-0"].membership.set_vm_list(())
        assert mesh.list_serving() == set()

    def test_records_of_an_unlisted_vm_are_ignored(self) -> None:
        mesh = SimulatedMesh(1)
        data = encode_record(KeyWithdrawn(b"k", "ann", "n"))
        membership = mesh.vms["vm-0"].membership
        membership.handle("vm-9", ConfigRecords(0, ((0, data),)))
        assert membership.follower.state.revision == -1
