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
    apply_record_loss,
    build_empty_leases,
    describe_lease,
    get_entry,
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


class LeaseSimulation:
    """Three VMs with one process each over a shared log, in simulated time."""

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
        """Advance the time; the given processes, or all, run once each second."""
        for _ in range(seconds):
            self.now += 1
            for process in self.processes:
                if process is not None:
                    process.advance(1)
            for number, process in enumerate(self.processes):
                if process is not None and number in (numbers or (0, 1, 2)):
                    process.run_cycle(self.vms)

    def get_numbers(self, *, fenced: bool = True) -> list:
        """Return the fencing numbers that the processes would put in orders."""
        return [process and process.check(fenced=fenced) for process in self.processes]

    @property
    def lease(self):
        """Lease as seen by a reader that never misses a record."""
        return self.log.store.leases[-1]


class TestLogFaults:
    """Guards against a holder whose lease differs from the log after log faults."""

    def test_the_first_of_two_racing_claims_wins(self) -> None:
        simulation = LeaseSimulation()
        for incarnation in ("a", "b"):
            claim = LeaseClaim("fleet", "vm-9", incarnation, "", "n", -1, 10.0)
            simulation.log.store.append(LEASES_STREAM, encode_record(claim))
        assert (simulation.lease.grant, simulation.lease.incarnation) == (0, "a")

    def test_lost_reply_of_a_claim_is_found_by_its_nonce(self) -> None:
        simulation = LeaseSimulation()
        simulation.log.lose_replies = 1
        simulation.run(1, 0)
        assert simulation.get_numbers() == [None, None, None]
        simulation.run(1, 0)
        assert simulation.get_numbers() == [0, None, None]
        assert len(simulation.log.store.leases) == 1

    def test_append_that_takes_effect_after_a_renewal_changes_nothing(self) -> None:
        simulation = LeaseSimulation()
        simulation.run(1, 0)
        simulation.log.hold_appends = True
        simulation.run(3, 0)
        simulation.log.hold_appends = False
        simulation.run(3, 0)
        lease = simulation.lease
        simulation.log.release()
        assert simulation.lease == lease

    def test_delayed_claim_gives_no_term_to_its_writer(self) -> None:
        simulation = LeaseSimulation()
        simulation.log.hold_appends = True
        simulation.run(1, 0)
        simulation.now += 60
        simulation.processes[0].advance(60)
        simulation.log.release()
        simulation.log.down = True
        simulation.run(1, 0)
        simulation.log.down = False
        simulation.log.hold_appends = True
        simulation.run(1, 0)
        assert simulation.lease.grant == 0
        assert simulation.get_numbers()[0] is None

    def test_outage_longer_than_the_term_ends_the_holder_and_then_resumes(self) -> None:
        simulation = LeaseSimulation()
        simulation.run(2)
        simulation.log.down = True
        simulation.run(int(TERM_SECONDS - ACT_MARGIN_SECONDS) - 2)
        assert simulation.get_numbers()[0] == 0
        simulation.run(60)
        assert simulation.get_numbers() == [None, None, None]
        simulation.log.down = False
        simulation.run(3)
        # An outage does not count as inactivity of the holder, so no process claimed.
        assert simulation.get_numbers() == [0, None, None]


class TestProofOfEnd:
    """Guards against orders of a new holder while the old one may still send some."""

    def start_takeover(self, *, clock_stopped: bool) -> LeaseSimulation:
        """Return a simulation in which VM 1 has replaced the paused holder on VM 0."""
        simulation = LeaseSimulation()
        simulation.run(2, 0)
        simulation.processes[0].paused = True
        simulation.processes[0].clock_stopped = clock_stopped
        simulation.run(20, 1)
        return simulation

    def test_pause_with_stopped_clock_leaves_two_holders_and_one_sender(
        self,
    ) -> None:
        simulation = self.start_takeover(clock_stopped=True)
        old, new, _ = simulation.get_numbers()
        assert old == 0 < new
        assert simulation.get_numbers(fenced=False) == [0, None, None]

    def test_pause_with_running_clock_ends_the_lease(self) -> None:
        simulation = self.start_takeover(clock_stopped=False)
        assert simulation.get_numbers()[0] is None

    def test_the_end_is_proved_by_release_by_vm_list_or_by_a_new_process(self) -> None:
        for proof in ("release", "vm list", "new process"):
            simulation = self.start_takeover(clock_stopped=True)
            simulation.processes[0].paused = proof != "release"
            if proof == "vm list":
                simulation.vms[0] = "vm-3"
            if proof == "new process":
                simulation.start(0)
            simulation.run(3, 0, 1)
            assert simulation.get_numbers(fenced=False)[1] is not None, proof

    def test_all_former_holders_need_a_proved_end(self) -> None:
        simulation = self.start_takeover(clock_stopped=True)
        simulation.processes[1].paused = True
        simulation.run(20, 2)
        simulation.start(1)
        simulation.run(3, 1, 2)
        assert simulation.get_numbers()[2] is not None
        assert simulation.get_numbers(fenced=False)[2] is None

    def test_process_with_another_address_or_a_list_without_itself_proves_nothing(
        self,
    ) -> None:
        simulation = self.start_takeover(clock_stopped=True)
        other = simulation.start(0)
        process = other.controller.process._replace(control_address="127.0.0.1:7799")
        other.controller.process = process
        simulation.run(3, 0, 1)
        assert simulation.get_numbers(fenced=False)[1] is None
        simulation.vms = []
        simulation.run(3, 1)
        assert simulation.get_numbers(fenced=False)[1] is None

    def test_release_waits_for_an_order_that_may_still_take_effect(self) -> None:
        simulation = LeaseSimulation()
        simulation.run(2, 0)
        controller = simulation.processes[0].controller
        controller.busy, controller.stopping = True, True
        simulation.run(2, 0)
        assert not controller.is_released()
        controller.busy = False
        simulation.run(2, 0)
        assert controller.is_released()

    def test_replaced_holder_keeps_its_grant_while_an_order_is_under_way(self) -> None:
        simulation = self.start_takeover(clock_stopped=False)
        old = simulation.processes[0]
        old.paused, old.controller.busy = False, True
        simulation.run(3, 0, 1)
        assert simulation.get_numbers(fenced=False)[1] is None
        old.controller.busy = False
        simulation.run(3, 0, 1)
        assert simulation.get_numbers(fenced=False)[1] is not None


class TestRetention:
    """Guards against a claim by a process that missed removed lease records."""

    def test_checkpoints_keep_a_live_lease_visible(self) -> None:
        simulation = LeaseSimulation(max_records=25)
        simulation.run(200, 0)
        simulation.start(2)
        simulation.run(60, 0, 2)
        assert simulation.processes[2].controller.entry.lease == simulation.lease
        assert simulation.lease.grant == 0

    def test_lost_lease_is_reset_after_inactivity_with_every_vm_unproved(self) -> None:
        simulation = LeaseSimulation(max_records=10)
        simulation.run(2, 0)
        garbage = encode_record(LeaseRelease("usage", 0, "vm-9", "x", 0))
        for _ in range(20):
            simulation.log.store.append(LEASES_STREAM, garbage)
        simulation.processes[0].paused = True
        simulation.start(1)
        simulation.run(10, 1)
        assert simulation.lease.grant == 0
        simulation.run(10, 1)
        assert simulation.get_numbers()[1] is not None
        assert simulation.get_numbers(fenced=False)[1] is None
        simulation.processes[0].paused = False
        simulation.run(5, 0, 1, 2)
        assert simulation.get_numbers(fenced=False)[1] is not None


class TestReaders:
    """Guards against readers with different start offsets disagreeing on a lease."""

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.data())
    def test_reader_that_knows_the_lease_agrees_with_a_full_reader(self, data) -> None:
        states, records = [build_empty_leases()], []
        for offset in range(data.draw(st.integers(4, 12))):
            record = data.draw(self.build_record(records, states))
            records.append(record)
            states.append(apply_record(record, states[-1], offset))
        for start in range(len(records)):
            state = apply_record_loss(build_empty_leases(), start)
            for offset in range(start, len(records)):
                state = apply_record(records[offset], state, offset)
                lease = get_entry(state, "fleet").lease
                full = get_entry(states[offset + 1], "fleet").lease
                assert lease in (None, full) or start == 0

    def build_record(self, records, states):
        """Return a strategy of valid records; changes may be based on any offset."""
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
    """Three processes under faults; see the invariants and ``deliver``."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = LeaseSimulation(max_records=25)
        self.engines = {
            fenced: EngineOrders(VirtualClock(), 0, checks_fencing=fenced)
            for fenced in (True, False)
        }
        self.next_vm = 3

    def deliver(self, number: int, *, fenced: bool) -> None:
        """Deliver an order; no receiver may get an older fencing number afterwards."""
        engine = self.engines[fenced]
        order = {"action": "change_role", "role": "decode", "order_id": "o"}
        engine.accept({**order, "fencing_number": number})
        assert engine.conflicts == 0, "older number after a newer one"

    @rule(seconds=st.integers(1, 20))
    def run_all(self, seconds: int) -> None:
        self.simulation.run(seconds)

    @rule(seconds=st.integers(1, 16), number=PROCESSES)
    def run_one(self, seconds: int, number: int) -> None:
        self.simulation.run(seconds, number)

    @rule(fenced=st.booleans())
    def order(self, fenced: bool) -> None:
        for process in self.simulation.processes:
            if process is None or process.paused:
                continue
            number = process.check(fenced=fenced)
            if number is not None:
                self.deliver(number, fenced=fenced)

    @rule(
        number=st.sampled_from((None, None, 0, 1, 2)),
        clock_stopped=st.booleans(),
        fenced=st.booleans(),
        seconds=st.sampled_from((1, 5, 16, 30)),
        resumes=st.booleans(),
    )
    def pause_between_check_and_send(
        self,
        number: int | None,
        clock_stopped: bool,
        fenced: bool,
        seconds: int,
        resumes: bool,
    ) -> None:
        """Pause a process, by default the holder, while the others continue."""
        if number is None:
            numbers = self.simulation.get_numbers()
            number = next((n for n in range(3) if numbers[n] is not None), 0)
        process = self.simulation.processes[number]
        if process is None or process.paused:
            return
        process.paused, process.clock_stopped = True, clock_stopped
        process.checked = (process.check(fenced=fenced), fenced)
        self.simulation.run(seconds)
        self.order(fenced)
        if resumes:
            self.resume(number)

    @rule(number=PROCESSES)
    def resume(self, number: int) -> None:
        process = self.simulation.processes[number]
        if process is None or not process.paused:
            return
        process.paused = process.clock_stopped = False
        checked, fenced = process.checked
        if checked is not None:
            self.deliver(checked, fenced=fenced)

    @rule(number=PROCESSES, how=st.sampled_from(("kill", "restart", "replace")))
    def end(self, number: int, how: str) -> None:
        self.simulation.processes[number] = None
        if how == "replace":
            self.simulation.vms[number] = f"vm-{self.next_vm}"
            self.next_vm += 1
        if how != "kill":
            self.simulation.start(number)

    @rule(seconds=st.integers(1, 30), lost=st.integers(0, 2))
    def interrupt_log(self, seconds: int, lost: int) -> None:
        self.simulation.log.down = True
        self.simulation.run(seconds)
        self.simulation.log.down = False
        self.simulation.log.lose_replies = lost

    @rule(
        number=PROCESSES,
        seconds=st.sampled_from((1, 3)),
        between=st.sampled_from(("nothing", "time", "others")),
        take_effect=st.booleans(),
    )
    def hold_appends(
        self, number: int, seconds: int, between: str, take_effect: bool
    ) -> None:
        """Delay appends of a process while time passes or the others continue."""
        simulation = self.simulation
        simulation.log.hold_appends = True
        simulation.run(seconds, number)
        simulation.log.hold_appends = False
        if between == "others":
            simulation.run(16, *({0, 1, 2} - {number}))
        if between == "time":
            simulation.run(11, 3)
        if take_effect:
            simulation.log.release()
            self.only_the_holder_acts_and_within_its_term()
            simulation.run(1, number)

    @rule()
    def release_held_appends(self) -> None:
        self.simulation.log.release()

    @rule()
    def append_garbage(self) -> None:
        for _ in range(25):
            self.simulation.log.store.append(LEASES_STREAM, b"")

    @invariant()
    def readers_agree(self) -> None:
        for process in self.simulation.processes:
            if process is None or process.controller.through < 0:
                continue
            lease = process.controller.entry.lease
            leases = self.simulation.log.store.leases
            assert lease is None or lease == leases[process.controller.through]

    @invariant()
    def only_the_holder_acts_and_within_its_term(self) -> None:
        for process in self.simulation.processes:
            number = process and process.check(fenced=True)
            if number is None:
                continue
            nonce = process.controller.entry.lease.head_nonce
            if process.lags[nonce] != process.lag:
                continue
            assert number == self.simulation.lease.grant
            assert self.simulation.now < process.started_at[nonce] + TERM_SECONDS


LeaseMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=25, deadline=None
)


class TestLeaseMachine(LeaseMachine.TestCase):
    """Guards against conflicting orders under any mix of faults."""
