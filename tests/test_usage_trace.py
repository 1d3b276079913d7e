"""Tests of the operators' view of a customer's window."""

from __future__ import annotations

from tests.support import MemoryLog, OperatorCalls
from wisteriagw.records import (
    FiguresRecorded,
    UsageBatch,
    WindowReported,
    WindowSealed,
    encode_record,
)


class TestOperatorsUsage:
    """Guards against a view that differs from the report or hides late usage."""

    def setup_method(self) -> None:
        self.calls = OperatorCalls()
        on_time = ["vm-1", "i", 0, [[5, "small", 10, 0, 4, 1]], []]
        by_id = ["vm-2", "j", 0, [], [["r", 5, "small", 7, 0, 2, 0]]]
        late = ["vm-1", "i", 1, [[5, "small", 3, 0, 1, 0]], []]
        rows = [["small", 5, 17, 0, 6, 1]]
        self.records = (
            UsageBatch([on_time, by_id]),
            UsageBatch([on_time]),
            WindowSealed(5, 1),
            UsageBatch([late]),
            FiguresRecorded(5, 1, rows),
            WindowReported(5, "small", 1),
        )

    def read(self, window: int, count: int) -> dict:
        for record in self.records[:count]:
            self.calls.log.append("usage", encode_record(record))
        status, answer = self.calls.call(f"usage?customer=small&window={window}")
        assert status == 200, answer
        return answer

    def test_records_that_count_are_named_and_repeated_ones_are_not(self) -> None:
        answer = self.read(5, 6)
        assert answer["rows"] == [
            {"belongs_to": 5, "late": False, "figures": [17, 0, 6, 1]}
        ]
        named = [
            (row["offset"], row["vm"], row["seq"], row["figures"], row["requests"])
            for row in answer["records"]
        ]
        assert named == [
            (0, "vm-1", 0, [10, 0, 4, 1], []),
            (0, "vm-2", 0, [7, 0, 2, 0], ["r"]),
        ]

    def test_state_of_the_window_follows_the_log(self) -> None:
        steps = {2: (False,) * 3, 3: (True, False, False), 5: (True, True, False)}
        for count, expected in {**steps, 6: (True,) * 3}.items():
            self.calls = OperatorCalls()
            answer = self.read(5, count)
            names = ("sealed", "recorded", "reported")
            assert tuple(answer[name] for name in names) == expected

    def test_late_usage_names_its_window(self) -> None:
        answer = self.read(6, 6)
        assert answer["rows"] == [
            {"belongs_to": 5, "late": True, "figures": [3, 0, 1, 0]}
        ]

    def test_missing_records_and_arguments_are_told(self) -> None:
        self.calls = OperatorCalls(log=MemoryLog(max_records=4))
        assert self.read(5, 6)["missing_before"] == 2
        assert self.calls.call("usage?customer=small")[0] == 400
        self.calls.log.down = True
        status, answer = self.calls.call("usage?customer=small&window=5")
        assert (status, answer["error"]["code"]) == (503, "log_unavailable")
