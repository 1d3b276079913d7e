"""Tests of the operators' command."""

from __future__ import annotations

import pytest
from twisted.internet.defer import succeed

from wisteriagw.admin._commands import COMMANDS
from wisteriagw.admin._main import build_parser, main
from wisteriagw.admin._operator_call import build_change, build_read
from wisteriagw.admin._outcome_text import build_error, format_error
from wisteriagw.admin._sending import send_call
from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun

ADDRESSES = [("127.0.0.1", 1), ("127.0.0.1", 2)]
NOT_SENT, LOST = FailedNotRun("refused"), MayHaveRun("lost")
ANSWER, DOWN = Done(200, b"{}"), Done(503, b"{}")


class ScriptedClient:
    """HttpClient that returns prepared outcomes in order."""

    def __init__(self, outcomes: list) -> None:
        self.outcomes = outcomes

    def send(self, *arguments, **options):
        return succeed(self.outcomes.pop(0))


class TestSending:
    """Guards against repeating a change that may have taken effect."""

    @pytest.mark.parametrize(
        ("change", "outcomes", "expected"),
        [
            (True, [NOT_SENT, ANSWER], ANSWER),
            (True, [LOST, ANSWER], LOST),
            (True, [DOWN, ANSWER], DOWN),
            (False, [LOST, ANSWER], ANSWER),
            (False, [DOWN, ANSWER], ANSWER),
            (False, [ANSWER, LOST], ANSWER),
            (False, [LOST, NOT_SENT], NOT_SENT),
        ],
    )
    def test_next_address(self, change, outcomes, expected) -> None:
        call = build_change("/x", {}) if change else build_read("/x")
        found: list = []
        client = ScriptedClient(list(outcomes))
        send_call(client, ADDRESSES, {}, call).addCallback(found.append)
        assert found == [expected]

    def test_unknown_outcome_is_reported(self) -> None:
        change, read = build_change("/x", {}), build_read("/x")
        assert "outcome is unknown" in format_error(build_error(LOST, change))
        assert "outcome is unknown" not in format_error(build_error(LOST, read))
        assert "outcome is unknown" not in format_error(build_error(NOT_SENT, change))


class TestArguments:
    """Guards against a call that does not match the arguments."""

    @pytest.mark.parametrize(
        ("arguments", "path", "body"),
        [
            (["create-customer", "m"], "/v1/customers", {"customer": "m"}),
            (["give-key", "m"], "/v1/keys", {"customer": "m"}),
            (["withdraw-key", "wk-1"], "/v1/withdrawals", {"key": "wk-1"}),
            (
                ["withdraw-key", "--key-hash", "0a"],
                "/v1/withdrawals",
                {"key_hash": "0a"},
            ),
            (["drain", "e1"], "/v1/drains", {"backend_server": "e1"}),
            (["end-drain", "e1"], "/v1/drain-ends", {"backend_server": "e1"}),
            (["fleet"], "/v1/fleet", None),
            (["revision"], "/v1/revisions/current", None),
            (["revision", "7"], "/v1/revisions/7", None),
            (
                ["explain", "e1.r1"],
                "/v1/decisions?request=e1.r1&customer=&limit=20",
                None,
            ),
            (
                ["audit", "--customer", "m", "--since", "1970-01-01T00:01:00"],
                "/v1/audit?from=0&customer=m&backend_server=&since=60.0&until=",
                None,
            ),
        ],
    )
    def test_call(self, arguments, path, body) -> None:
        parsed = build_parser().parse_args(arguments)
        command = next(entry for entry in COMMANDS if entry.name == parsed.command)
        call = command.build_call(parsed)
        assert (call.path, call.body) == (path, body)
        assert call.repeatable == (body is None)

    @pytest.mark.parametrize(
        "arguments",
        [
            [],
            ["publish", "/nonexistent"],
            ["--operator-address", "host:1", "fleet"],
            ["withdraw-key"],
        ],
    )
    def test_invalid_arguments_exit_with_2(self, arguments, capsys) -> None:
        with pytest.raises(SystemExit) as raised:
            main(arguments)
        assert raised.value.code == 2
        assert capsys.readouterr().err
