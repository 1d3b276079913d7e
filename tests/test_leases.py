"""Tests of the authority through the log."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.support import LeaseProcess, MemoryLog, RecordingStore, VirtualClock
from wisteriagw.leases import (
    ACT_MARGIN_SECONDS,
    LEASES_STREAM,
    TERM_SECONDS,
    apply_record,
    build_empty_leases,
    describe_lease,
    get_entry,
    lose_records,
)
from wisteriagw.records import (
    LeaseCheckpoint,
    LeaseClaim,
    LeaseRelease,
    LeaseRenewal,
    LeaseReset,
    encode_record,
)
from wisteriagw.standins._engine_orders import EngineOrders

PROCESSES = st.integers(0, 2)


class World:
    """Three VMs with a process each over one log, in real time."""

    def __init__(self, max_records: int = 1000) -> None:
        self.log = MemoryLog()
        self.log.store = RecordingStore(max_records)
        self.now = 0.0
        self.started = 0
        self.vms = ["vm-0", "vm-1", "vm-2"]
        self.processes: list = [None, None, None]
        for number in range(3):
            self.start(number)

    def start(self, number: int) -> LeaseProcess:
        """Start a new process on a VM."""
        self.started += 1
        vm = self.vms[number]
        process = LeaseProcess(self.log, vm, f"p{self.started}", self.now)
        self.processes[number] = process
        return process

    def run(self, seconds: int, *numbers: int) -> None:
        """Let time pass; these processes, or all, take a turn each second."""
        for _ in range(seconds):
            self.now += 1
            for process in self.processes:
                if process is not None:
                    process.advance(1)
            for number, process in enumerate(self.processes):
                if process is not None and number in (numbers or (0, 1, 2)):
                    process.run_turn(self.vms)

    def get_numbers(self, *, fenced: bool = True) -> list:
        """Return the fencing numbers that the processes would send orders with."""
        return [process and process.check(fenced=fenced) for process in self.processes]

    @property
    def lease(self):
        """The lease as a reader sees it that never misses a record."""
        return self.log.store.leases[-1]


class TestLogFaults:
    """Guards against a holder that believes what the log does not say."""

    def test_the_first_of_two_racing_claims_wins(self) -> None:
        world = World()
        for incarnation in ("a", "b"):
            claim = LeaseClaim("fleet", "vm-9", incarnation, "", "n", -1, 10.0)
            world.log.store.append(LEASES_STREAM, encode_record(claim))
        assert (world.lease.grant, world.lease.incarnation) == (0, "a")

    def test_lost_reply_of_a_claim_is_found_by_its_nonce(self) -> None:
        world = World()
        world.log.lose_replies = 1
        world.run(1, 0)
        assert world.get_numbers() == [None, None, None]
        world.run(1, 0)
        assert world.get_numbers() == [0, None, None]
        assert len(world.log.store.leases) == 1

    def test_append_that_lands_after_a_renewal_changes_nothing(self) -> None:
        world = World()
        world.run(1, 0)
        world.log.hold_appends = True
        world.run(3, 0)
        world.log.hold_appends = False
        world.run(3, 0)
        lease = world.lease
        world.log.release()
        assert world.lease == lease

    def test_late_claim_gives_no_term_to_its_writer(self) -> None:
        world = World()
        world.log.hold_appends = True
        world.run(1, 0)
        world.now += 60
        world.processes[0].advance(60)
        world.log.release()
        world.log.down = True
        world.run(1, 0)
        world.log.down = False
        world.log.hold_appends = True
        world.run(1, 0)
        assert world.lease.grant == 0
        assert world.get_numbers()[0] is None

    def test_outage_longer_than_the_term_ends_the_holder_and_then_resumes(self) -> None:
        world = World()
        world.run(2)
        world.log.down = True
        world.run(int(TERM_SECONDS - ACT_MARGIN_SECONDS) - 2)
        assert world.get_numbers()[0] == 0
        world.run(60)
        assert world.get_numbers() == [None, None, None]
        world.log.down = False
        world.run(3)
        # The outage was no silence of the holder, so nobody took the authority over.
        assert world.get_numbers() == [0, None, None]


class TestProofOfEnd:
    """Guards against orders from a new holder while the old one may still send."""

    def take_over(self, *, stands_still: bool) -> World:
        """Return a world in which VM 1 replaced the paused holder on VM 0."""
        world = World()
        world.run(2, 0)
        world.processes[0].paused = True
        world.processes[0].stands_still = stands_still
        world.run(20, 1)
        return world

    def test_pause_with_standing_clocks_leaves_two_believers_and_one_sender(
        self,
    ) -> None:
        world = self.take_over(stands_still=True)
        old, new, _ = world.get_numbers()
        assert old == 0 < new
        assert world.get_numbers(fenced=False) == [0, None, None]

    def test_pause_with_running_clocks_ends_the_belief(self) -> None:
        world = self.take_over(stands_still=False)
        assert world.get_numbers()[0] is None

    def test_the_end_is_proved_by_release_by_vm_list_or_by_a_new_process(self) -> None:
        for proof in ("release", "vm list", "new process"):
            world = self.take_over(stands_still=True)
            world.processes[0].paused = proof != "release"
            if proof == "vm list":
                world.vms[0] = "vm-3"
            if proof == "new process":
                world.start(0)
            world.run(3, 0, 1)
            assert world.get_numbers(fenced=False)[1] is not None, proof

    def test_a_chain_of_former_holders_needs_every_end_proved(self) -> None:
        world = self.take_over(stands_still=True)
        world.processes[1].paused = True
        world.run(20, 2)
        world.start(1)
        world.run(3, 1, 2)
        assert world.get_numbers()[2] is not None
        assert world.get_numbers(fenced=False)[2] is None

    def test_process_with_another_address_or_a_list_without_itself_proves_nothing(
        self,
    ) -> None:
        world = self.take_over(stands_still=True)
        other = world.start(0)
        process = other.keeper.process._replace(control_address="127.0.0.1:7799")
        other.keeper.process = process
        world.run(3, 0, 1)
        assert world.get_numbers(fenced=False)[1] is None
        world.vms = []
        world.run(3, 1)
        assert world.get_numbers(fenced=False)[1] is None

    def test_release_waits_for_an_order_that_may_still_take_effect(self) -> None:
        world = World()
        world.run(2, 0)
        keeper = world.processes[0].keeper
        keeper.busy, keeper.stopping = True, True
        world.run(2, 0)
        assert not keeper.is_released()
        keeper.busy = False
        world.run(2, 0)
        assert keeper.is_released()

    def test_replaced_holder_keeps_its_grant_while_an_order_is_under_way(self) -> None:
        world = self.take_over(stands_still=False)
        old = world.processes[0]
        old.paused, old.keeper.busy = False, True
        world.run(3, 0, 1)
        assert world.get_numbers(fenced=False)[1] is None
        old.keeper.busy = False
        world.run(3, 0, 1)
        assert world.get_numbers(fenced=False)[1] is not None


class TestRetention:
    """Guards against a claim by a reader that cannot know the lease."""

    def test_checkpoints_keep_a_live_lease_visible(self) -> None:
        world = World(max_records=25)
        world.run(200, 0)
        world.start(2)
        world.run(60, 0, 2)
        assert world.processes[2].keeper.entry.lease == world.lease
        assert world.lease.grant == 0

    def test_lost_lease_is_reset_after_silence_with_every_vm_unproved(self) -> None:
        world = World(max_records=10)
        world.run(2, 0)
        garbage = encode_record(LeaseRelease("usage", 0, "vm-9", "x", 0))
        for _ in range(20):
            world.log.store.append(LEASES_STREAM, garbage)
        world.processes[0].paused = True
        world.start(1)
        world.run(10, 1)
        assert world.lease.grant == 0
        world.run(10, 1)
        assert world.get_numbers()[1] is not None
        assert world.get_numbers(fenced=False)[1] is None
        world.processes[0].paused = False
        world.run(5, 0, 1, 2)
        assert world.get_numbers(fenced=False)[1] is not None


class TestReaders:
    """Guards against readers with different starts that disagree on a lease."""

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.data())
    def test_reader_that_knows_the_lease_agrees_with_a_full_reader(self, data) -> None:
        states, records = [build_empty_leases()], []
        for offset in range(data.draw(st.integers(4, 12))):
            record = data.draw(self.build_record(records, states))
            records.append(record)
            states.append(apply_record(record, states[-1], offset))
        for start in range(len(records)):
            state = lose_records(build_empty_leases(), start)
            for offset in range(start, len(records)):
                state = apply_record(records[offset], state, offset)
                lease = get_entry(state, "fleet").lease
                full = get_entry(states[offset + 1], "fleet").lease
                assert lease in (None, full) or start == 0

    def build_record(self, records, states):
        """Return a strategy of true records; changes may be based on any offset."""
        size = len(records)
        based_on = st.integers(-1, size - 1)
        lease = get_entry(states[-1], "fleet").lease
        head = st.just(lease.head) | based_on
        checkpoint = st.builds(
            lambda through: LeaseCheckpoint(
                "fleet",
                through,
                describe_lease(get_entry(states[through + 1], "fleet").lease),
            ),
            based_on,
        )
        # No record of the authority is between the first offset and the last one read.
        last = max(
            (n for n in range(size) if records[n].authority == "fleet"), default=-1
        )
        reset = st.builds(
            lambda first, through: LeaseReset(
                "fleet", first, max(first - 1, min(through, size - 1)), ("vm-1",), "r"
            ),
            st.integers(last + 1, size),
            st.integers(-1, size - 1),
        )
        late_reset = st.builds(
            lambda through: LeaseReset("fleet", through + 1, through, ("vm-1",), "r"),
            based_on,
        )
        other = st.just(LeaseRenewal("usage", 0, "n", 0))
        claim = st.builds(
            lambda base: LeaseClaim("fleet", "vm-2", "i", "a", f"n{size}", base, 9.0),
            head,
        )
        renewal = st.builds(
            lambda base: LeaseRenewal("fleet", lease.grant, f"n{size}", base), head
        )
        release = st.builds(
            lambda base: LeaseRelease("fleet", lease.grant, "vm-2", "i", base), head
        )
        return st.one_of(claim, renewal, release, checkpoint, reset, late_reset, other)


class LeaseMachine(RuleBasedStateMachine):
    """Three holders under faults; see the invariants and ``deliver``."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(max_records=25)
        self.engines = {
            fenced: EngineOrders(VirtualClock(), 0, checks_fencing=fenced)
            for fenced in (True, False)
        }
        self.next_vm = 3

    def deliver(self, number: int, *, fenced: bool) -> None:
        """Let an order arrive and end; neither receiver may take an older number."""
        engine = self.engines[fenced]
        order = {"action": "change_role", "role": "decode", "order_id": "o"}
        engine.take({**order, "fencing_number": number})
        assert engine.conflicts == 0, "older number after a newer one"

    @rule(seconds=st.integers(1, 20))
    def run_all(self, seconds: int) -> None:
        self.world.run(seconds)

    @rule(seconds=st.integers(1, 16), number=PROCESSES)
    def run_one(self, seconds: int, number: int) -> None:
        self.world.run(seconds, number)

    @rule(fenced=st.booleans())
    def order(self, fenced: bool) -> None:
        for process in self.world.processes:
            if process is None or process.paused:
                continue
            number = process.check(fenced=fenced)
            if number is not None:
                self.deliver(number, fenced=fenced)

    @rule(
        number=st.sampled_from((None, None, 0, 1, 2)),
        stands_still=st.booleans(),
        fenced=st.booleans(),
        seconds=st.sampled_from((1, 5, 16, 30)),
        wakes=st.booleans(),
    )
    def pause_between_check_and_send(
        self,
        number: int | None,
        stands_still: bool,
        fenced: bool,
        seconds: int,
        wakes: bool,
    ) -> None:
        """Pause a process, by default the holder, and let the others go on."""
        if number is None:
            numbers = self.world.get_numbers()
            number = next((n for n in range(3) if numbers[n] is not None), 0)
        process = self.world.processes[number]
        if process is None or process.paused:
            return
        process.paused, process.stands_still = True, stands_still
        process.checked = (process.check(fenced=fenced), fenced)
        self.world.run(seconds)
        self.order(fenced)
        if wakes:
            self.wake(number)

    @rule(number=PROCESSES)
    def wake(self, number: int) -> None:
        process = self.world.processes[number]
        if process is None or not process.paused:
            return
        process.paused = process.stands_still = False
        checked, fenced = process.checked
        if checked is not None:
            self.deliver(checked, fenced=fenced)

    @rule(number=PROCESSES, how=st.sampled_from(("kill", "restart", "replace")))
    def end(self, number: int, how: str) -> None:
        self.world.processes[number] = None
        if how == "replace":
            self.world.vms[number] = f"vm-{self.next_vm}"
            self.next_vm += 1
        if how != "kill":
            self.world.start(number)

    @rule(seconds=st.integers(1, 30), lost=st.integers(0, 2))
    def lose_the_log(self, seconds: int, lost: int) -> None:
        self.world.log.down = True
        self.world.run(seconds)
        self.world.log.down = False
        self.world.log.lose_replies = lost

    @rule(
        number=PROCESSES,
        seconds=st.sampled_from((1, 3)),
        between=st.sampled_from(("nothing", "silence", "others")),
        lands=st.booleans(),
    )
    def hold_appends(
        self, number: int, seconds: int, between: str, lands: bool
    ) -> None:
        """Let appends of a process wait while time passes or the others go on."""
        world = self.world
        world.log.hold_appends = True
        world.run(seconds, number)
        world.log.hold_appends = False
        if between == "others":
            world.run(16, *({0, 1, 2} - {number}))
        if between == "silence":
            world.run(11, 3)
        if lands:
            world.log.release()
            self.only_the_holder_acts_and_within_its_term()
            world.run(1, number)

    @rule()
    def land_late(self) -> None:
        self.world.log.release()

    @rule()
    def fill(self) -> None:
        for _ in range(25):
            self.world.log.store.append(LEASES_STREAM, b"")

    @invariant()
    def readers_agree(self) -> None:
        for process in self.world.processes:
            if process is None or process.keeper.through < 0:
                continue
            lease = process.keeper.entry.lease
            leases = self.world.log.store.leases
            assert lease is None or lease == leases[process.keeper.through]

    @invariant()
    def only_the_holder_acts_and_within_its_term(self) -> None:
        for process in self.world.processes:
            number = process and process.check(fenced=True)
            if number is None:
                continue
            nonce = process.keeper.entry.lease.head_nonce
            if process.lags[nonce] != process.lag:
                continue
            assert number == self.world.lease.grant
            assert self.world.now < process.started_at[nonce] + TERM_SECONDS


LeaseMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=25, deadline=None
)


class TestLeaseMachine(LeaseMachine.TestCase):
    """Guards against conflicting orders under any mix of faults."""
