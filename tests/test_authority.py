"""Tests of the authority by conditional appends."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from wisteriagw.authority import AuthorityStep, Grant, compute_term_end, decide_step
from wisteriagw.eras import EraTracker
from wisteriagw.gateway._authority_controller import AuthorityController
from wisteriagw.platform import AUTHORITY_TOPIC
from wisteriagw.standins import TopicStore

TERM = 3.0
# Reads of a clock at one moment; a process that never waits exceeds them.
MAX_READS = 10_000


class TestDecisions:
    """Two processes must never act at the same time."""

    def test_first_process_claims_at_once(self) -> None:
        assert decide_step(None, "a", 0.0, TERM, 0.0) is AuthorityStep.CLAIM

    @pytest.mark.parametrize(
        ("elapsed", "step"),
        [
            (0.0, AuthorityStep.WAIT),
            (TERM, AuthorityStep.WAIT),
            (1.3 * TERM, AuthorityStep.CLAIM),
        ],
    )
    def test_challenger_waits_for_the_whole_term(self, elapsed: float, step) -> None:
        grant = Grant("vm-1", "a", 1)
        assert decide_step(grant, "b", 10.0, TERM, 10.0 + elapsed) is step

    def test_holder_stops_before_a_challenger_may_claim(self) -> None:
        grant = Grant("vm-1", "a", 1)
        end = compute_term_end(10.0, TERM)
        assert decide_step(grant, "b", 10.0, TERM, end) is AuthorityStep.WAIT

    def test_holder_renews_before_its_end(self) -> None:
        grant = Grant("vm-1", "a", 1)
        assert (
            decide_step(grant, "a", 10.0, TERM, 10.0 + TERM / 2) is AuthorityStep.RENEW
        )
        assert compute_term_end(10.0, TERM) > 10.0 + TERM / 2


class SkewedClock:
    """Clock of one process that can be paused: calls wait, but time passes."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._held = []
        self.paused = False
        self._read_at = 0.0
        self._reads = 0

    def seconds(self) -> float:
        now = self._clock.seconds()
        self._reads = self._reads + 1 if now == self._read_at else 0
        self._read_at = now
        if self._reads > MAX_READS:
            raise AssertionError("the process does not return to its loop")
        return now

    def callLater(self, delay, function, *arguments):
        def call() -> None:
            if self.paused:
                self._held.append((function, arguments))
                return
            function(*arguments)

        return self._clock.callLater(delay, call)

    def resume(self) -> None:
        self.paused = False
        held, self._held = self._held, []
        for function, arguments in held:
            function(*arguments)


class SlowStore:
    """The store stand-in with a short delay for each call, as one process sees it."""

    def __init__(self, store: TopicStore, clock: SkewedClock) -> None:
        self.eras = EraTracker(clock.seconds)
        self.eras.observe(store.eras.era)
        self._store = store
        self._clock = clock

    async def append(self, *arguments):
        from twisted.internet.task import deferLater

        await deferLater(self._clock, 0.004)
        self.eras.observe(self._store.eras.era)
        return await self._store.append(*arguments)

    async def read(self, topic, start, wait=0.0):
        from twisted.internet.task import deferLater

        await deferLater(self._clock, max(0.004, wait))
        self.eras.observe(self._store.eras.era)
        return await self._store.read(topic, start)

    async def read_newest(self, topic):
        from twisted.internet.task import deferLater

        await deferLater(self._clock, 0.004)
        self.eras.observe(self._store.eras.era)
        return await self._store.read_newest(topic)


class Processes:
    """Several controllers on one store in virtual time."""

    def __init__(self, count: int) -> None:
        self.clock = Clock()
        self.store = TopicStore()
        self.clocks = []
        self.controllers = []
        self.acted: list[tuple[float, int, int]] = []
        for index in range(count):
            self.start(index)

    def start(self, index: int) -> None:
        clock = SkewedClock(self.clock)
        incarnation = f"{index}-{len(self.controllers)}"
        controller = AuthorityController(
            clock,
            SlowStore(self.store, clock),
            f"vm-{index}",
            incarnation,
            TERM,
            lambda: ["vm-0", "vm-1", "vm-2"],
            clock.seconds,
        )
        self.clocks.append(clock)
        self.controllers.append((index, controller))
        controller.start()

    def advance_until_other_than(self, holder: int) -> None:
        """Advance the virtual time until another process acts."""
        for _ in range(400):
            if self.acted[-1][1] != holder:
                return
            self.advance(0.05)
        raise AssertionError(f"nobody takes over from process {holder}")

    def restore(self, lost: int) -> None:
        """Let the store come back without the newest records."""
        end = self.store.get_end(AUTHORITY_TOPIC)
        self.store.restore({AUTHORITY_TOPIC: max(0, end - lost)})

    def advance(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.05)):
            self.clock.advance(0.05)
            holders = []
            for clock, (index, controller) in zip(
                self.clocks, self.controllers, strict=True
            ):
                number = controller.get_fencing_number()
                if number is not None and not clock.paused:
                    holders.append((index, number))
            assert len(holders) <= 1, holders
            for index, number in holders:
                self.acted.append((self.clock.seconds(), index, number))


class TestKeepers:
    """Faults of the store and pauses must not give two holders or lower numbers."""

    def test_one_process_holds_it(self) -> None:
        processes = Processes(3)
        processes.advance(2.0)
        assert {index for _, index, _ in processes.acted} in ({0}, {1}, {2})

    def test_another_takes_over_from_a_paused_holder(self) -> None:
        processes = Processes(2)
        processes.advance(2.0)
        holder = processes.acted[-1][1]
        processes.clocks[holder].paused = True
        processes.advance(10.0)
        assert processes.acted[-1][1] == 1 - holder
        processes.clocks[holder].resume()
        processes.advance(8.0)
        assert processes.acted[-1][1] == 1 - holder

    def test_claim_with_a_lost_answer_is_found_by_reading(self) -> None:
        processes = Processes(0)
        processes.store.lost_replies = 1
        processes.start(0)
        processes.advance(4.0)
        assert processes.acted

    def test_holder_that_missed_records_does_not_block_its_process(self) -> None:
        processes = Processes(1)
        processes.advance(2.0)
        number = processes.acted[-1][2]
        # A renewal without an answer makes the holder read, and its offset is gone.
        processes.store.lost_replies = 1
        processes.advance(1.0)
        processes.store.truncate(AUTHORITY_TOPIC)
        processes.store.restore({AUTHORITY_TOPIC: 1})
        processes.store.lost_replies = 1
        # Longer than the interval of a fallback challenger.
        processes.advance(25.0)
        assert processes.acted[-1][0] > processes.clock.seconds() - 1.0
        assert processes.acted[-1][2] >= number

    def test_late_renewal_is_refused_after_a_claim(self) -> None:
        processes = Processes(2)
        processes.advance(2.0)
        holder = processes.acted[-1][1]
        processes.store.hold_appends = 1
        processes.advance(1.5)
        processes.clocks[holder].paused = True
        processes.advance(10.0)
        processes.store.apply_held_appends()
        processes.advance(3.0)
        assert processes.acted[-1][1] == 1 - holder

    def test_lost_history_does_not_lower_the_number(self) -> None:
        processes = Processes(1)
        processes.advance(3.0)
        first = processes.acted[-1][2]
        processes.controllers[0][1].stop()
        processes.store.truncate(AUTHORITY_TOPIC)
        processes.start(1)
        processes.advance(6.0)
        assert processes.acted[-1][2] > first

    @settings(max_examples=30, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    [
                        "pause",
                        "resume",
                        "lose",
                        "hold",
                        "late",
                        "down",
                        "up",
                        "start",
                        "restore",
                    ]
                ),
                st.integers(0, 2),
                st.sampled_from([0.2, 0.8, 2.0, 4.5]),
            ),
            max_size=12,
        )
    )
    def test_any_order_of_faults(self, events) -> None:
        processes = Processes(3)
        for event, index, seconds in events:
            if event == "pause":
                processes.clocks[index].paused = True
            elif event == "resume":
                processes.clocks[index].resume()
            elif event == "lose":
                processes.store.lost_replies += 1
            elif event == "hold":
                processes.store.hold_appends += 1
            elif event == "late":
                processes.store.apply_held_appends()
            elif event == "restore":
                processes.restore(lost=1 + 4 * index)
            elif event == "start":
                processes.clocks[index].paused = True
                processes.start(index)
            else:
                processes.store.down = event == "down"
            processes.advance(seconds)
        self.check_numbers(processes.acted)
        self.check_holders(processes.acted)

    @pytest.mark.parametrize("lost", [1, 2, 4, 100])
    @pytest.mark.parametrize("restores", [1, 2])
    def test_number_of_a_lost_claim_is_not_given_out_again(
        self, lost: int, restores: int
    ) -> None:
        processes = Processes(3)
        processes.advance(2.0)
        for _ in range(restores):
            holder = processes.acted[-1][1]
            processes.clocks[holder].paused = True
            # Another process claims; its claim is lost, and so is the process.
            processes.advance_until_other_than(holder)
            processes.clocks[processes.acted[-1][1]].paused = True
            processes.restore(lost)
            processes.clocks[holder].resume()
            processes.advance(20.0)
            for clock in processes.clocks:
                clock.resume()
            processes.advance(6.0)
        self.check_numbers(processes.acted)
        self.check_holders(processes.acted)

    def test_lost_claim_whose_holder_may_act_is_waited_for(self) -> None:
        processes = Processes(2)
        processes.advance(2.0)
        holder = processes.acted[-1][1]
        # The holder's calls take their time, so that it does not notice the restore.
        processes.store.restore({})
        processes.clocks[holder].paused = True
        claimed = processes.clock.seconds()
        processes.advance_until_other_than(holder)
        assert processes.clock.seconds() - claimed > TERM

    def check_numbers(self, acted) -> None:
        """Check that numbers do not fall, and that each belongs to one holder."""
        numbers = [number for _, _, number in acted]
        assert numbers == sorted(numbers)
        owners = {number: index for _, index, number in acted}
        assert all(owners[number] == index for _, index, number in acted)

    def check_holders(self, acted) -> None:
        """Check that no former holder acts within a term of the one in between."""
        changes = []
        for at, index, _ in acted:
            if not changes or changes[-1][1] != index:
                changes.append([at, index, at])
            changes[-1][2] = at
        for before, _, after in zip(changes, changes[1:], changes[2:], strict=False):
            if before[1] == after[1]:
                assert after[0] - before[2] > TERM
