"""Tests of the operators' usage trace of a customer's window."""

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
    """Guards against a trace that differs from the report or hides late usage."""

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
        status, response = self.calls.call(f"usage?customer=small&window={window}")
        assert status == 200, response
        return response

    def test_counted_records_are_listed_and_repeated_ones_are_not(self) -> None:
        response = self.read(5, 6)
        assert response["rows"] == [
            {"belongs_to": 5, "late": False, "figures": [17, 0, 6, 1]}
        ]
        listed = [
            (row["offset"], row["vm"], row["seq"], row["figures"], row["requests"])
            for row in response["records"]
        ]
        assert listed == [
            (0, "vm-1", 0, [10, 0, 4, 1], []),
            (0, "vm-2", 0, [7, 0, 2, 0], ["r"]),
        ]

    def test_state_of_the_window_follows_the_log(self) -> None:
        steps = {2: (False,) * 3, 3: (True, False, False), 5: (True, True, False)}
        for count, expected in {**steps, 6: (True,) * 3}.items():
            self.calls = OperatorCalls()
            response = self.read(5, count)
            names = ("sealed", "recorded", "reported")
            assert tuple(response[name] for name in names) == expected

    def test_late_usage_names_its_window(self) -> None:
        response = self.read(6, 6)
        assert response["rows"] == [
            {"belongs_to": 5, "late": True, "figures": [3, 0, 1, 0]}
        ]

    def test_missing_records_and_arguments_are_reported(self) -> None:
        self.calls = OperatorCalls(log=MemoryLog(max_records=4))
        assert self.read(5, 6)["missing_before"] == 2
        assert self.calls.call("usage?customer=small")[0] == 400
        self.calls.log.down = True
        status, response = self.calls.call("usage?customer=small&window=5")
        assert (status, response["error"]["code"]) == (503, "log_unavailable")
