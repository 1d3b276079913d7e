"""Tests of the operators' interface."""

from __future__ import annotations

import json

import pytest
from twisted.web.resource import getChildForRequest
from twisted.web.test.requesthelper import DummyRequest

from tests.support import MemoryLog, OperatorCalls
from wisteriagw.config import (
    COLUMNS,
)
from wisteriagw.entry._operator_access import load_operator_token
from wisteriagw.entry._requests_by_key import RequestsByKey
from wisteriagw.entry._version_resource import VersionResource
from wisteriagw.routing import RoutingDecision

SHEET = ",".join(COLUMNS) + "\nmodel,ledger,1,,,,,,,,,,,,,"
CREATE = {"customer": "market", "operator": "ann", "cause": "contract 7"}


class TestChanges:
    """Guards against an answer that does not state the outcome of a change."""

    @pytest.mark.parametrize(
        ("path", "body", "status", "code"),
        [
            ("customers", {"customer": "market"}, 409, "conflict"),
            ("customers", {}, 400, "invalid_request"),
            ("customers", [], 400, "invalid_request"),
            ("keys", {"customer": "other"}, 404, "not_found"),
            ("withdrawals", {"key_hash": "12"}, 400, "invalid_request"),
            ("drains", {"backend_server": "e1"}, 404, "not_found"),
            ("drain-ends", {"backend_server": "e1"}, 404, "not_found"),
            ("sheets", {"sheet": "x"}, 400, "invalid_sheet"),
            ("sheets", {"sheet": SHEET, "based_on": "1"}, 400, "invalid_request"),
            ("sheets", {"sheet": SHEET, "based_on": 7}, 409, "conflict"),
            ("nothing", {}, 404, "not_found"),
        ],
    )
    def test_refused_change_leaves_no_record(self, path, body, status, code) -> None:
        calls = OperatorCalls()
        assert calls.call("customers", CREATE)[0] == 200
        found, answer = calls.call(path, body)
        assert (found, answer["error"]["code"]) == (status, code)
        assert answer["error"]["not_run"] is True
        assert calls.log.tip("config") == 1

    def test_change_with_a_lost_reply_is_read_back_and_not_appended_again(self) -> None:
        calls = OperatorCalls()
        calls.log.lose_replies = 1
        status, answer = calls.call("customers", CREATE)
        assert (status, answer["revision"], answer["accepted"]) == (200, 0, True)
        assert calls.log.tip("config") == 1

    def test_append_that_may_arrive_late_is_not_reported_as_not_run(self) -> None:
        calls = OperatorCalls()
        calls.log.hold_appends = True
        status, answer = calls.call("customers", CREATE)
        assert (status, answer["error"]["not_run"]) == (503, False)
        calls.log.hold_appends = False
        calls.log.release()
        calls.context.poll_config()
        assert calls.context.config.customers == {"market"}

    def test_log_outage_refuses_before_anything_is_sent(self) -> None:
        calls = OperatorCalls()
        calls.log.down = True
        status, answer = calls.call("customers", CREATE)
        assert (status, answer["error"]["code"]) == (503, "log_unavailable")
        assert answer["error"]["not_run"] is True
        calls.log.down = False
        calls.context.poll_config()
        assert calls.log.tip("config") == 0

    def test_conflicting_change_names_the_accepted_operator(self) -> None:
        ann = OperatorCalls()
        bob = OperatorCalls(log=ann.log)
        body = {"sheet": SHEET, "based_on": -1}
        assert ann.call("sheets", {**body, "operator": "ann"})[0] == 200
        status, answer = bob.call("sheets", {**body, "operator": "bob"})
        assert status == 409
        assert (answer["error"]["winner"], answer["error"]["revision"]) == ("ann", 0)

    def test_sheet_without_based_on_replaces_the_sheet_at_the_tip(self) -> None:
        ann = OperatorCalls()
        bob = OperatorCalls(log=ann.log)
        assert ann.call("sheets", {"sheet": SHEET})[0] == 200
        assert bob.call("sheets", {"sheet": SHEET})[0] == 200


class TestAuditTrail:
    """Guards against a change that the audit trail misses or shows wrongly."""

    def test_every_change_is_found_by_its_filters(self) -> None:
        calls = OperatorCalls()
        calls.call("customers", CREATE)
        calls.call("customers", CREATE)
        calls.call("keys", {"customer": "market", "operator": "bob"})
        _, answer = calls.call("audit?customer=market")
        entries = answer["entries"]
        fields = [(entry["actor"], entry["result"]) for entry in entries]
        assert fields == [("ann", "accepted"), ("ann", "refused"), ("bob", "accepted")]
        assert entries[0]["cause"] == "contract 7"
        assert calls.call("audit?customer=other")[1]["entries"] == []
        assert calls.call("audit?backend_server=e1")[1]["entries"] == []
        assert calls.call("audit?until=1")[1]["entries"] == []

    def test_entry_of_an_outage_is_written_when_the_log_is_back(self) -> None:
        calls = OperatorCalls()
        calls.log.hold_appends = True
        calls.call("customers", CREATE)
        calls.log.hold_appends = False
        calls.context.poll_config()
        entries = calls.call("audit")[1]["entries"]
        assert [entry["result"] for entry in entries] == ["unknown"]


class TestOperatorAccess:
    """Guards against operators' routes that are open to anyone."""

    def test_wrong_token_is_refused(self) -> None:
        calls = OperatorCalls(token="a-token-of-operators")
        assert calls.call("fleet")[0] == 401
        assert calls.call("fleet", token="a-token-of-others")[0] == 401
        assert calls.call("fleet", token="a-token-of-operators")[0] == 200

    @pytest.mark.parametrize(
        ("host", "text", "places"),
        [
            ("127.0.0.1", None, []),
            ("::1", None, []),
            ("10.0.0.1", None, ["--operator-listen"]),
            ("0.0.0.0", None, ["--operator-listen"]),
            ("10.0.0.1", "a-token-of-operators", []),
            ("10.0.0.1", "short", ["--operator-token-file"]),
        ],
    )
    def test_without_token_only_loopback(self, tmp_path, host, text, places) -> None:
        path = tmp_path / "token" if text else None
        if text:
            path.write_text(text)
        settings = {"operator-listen": (host, 1), "operator-token-file": path}
        _, findings = load_operator_token(settings)
        assert [finding.place for finding in findings] == places


class TestViews:
    """Guards against views that hide what an operator needs to know."""

    def test_decision_is_found_by_the_handle_of_the_caller(self) -> None:
        calls = OperatorCalls()
        for request_id in ("r1", "r2"):
            decision = RoutingDecision("e1", ())
            calls.context.record_decision(request_id, "market", ("model",), decision)
        _, answer = calls.call("decisions?request=e1.r1")
        assert [found["request_id"] for found in answer["decisions"]] == ["r1"]
        assert answer["decisions"][0]["decision"]["chosen"] == "e1"

    def test_fleet_and_revision_name_vms(self) -> None:
        calls = OperatorCalls()
        calls.call("customers", CREATE)
        _, fleet = calls.call("fleet")
        assert fleet["customers"] == [{"name": "market", "keys": 0}]
        engine = "engine,e1,,,dc1,127.0.0.1:1,ledger,mixed,,,yes,no,,,,"
        calls.call("sheets", {"sheet": f"{SHEET}\n{engine}", "operator": "ann"})
        # A view contains a set, which the JSON encoder does not support.
        _, fleet = calls.call("fleet")
        assert [found["name"] for found in fleet["backend_servers"]] == ["e1"]
        status, revision = calls.call("revisions/current")
        assert (status, revision["in_force"], revision["unconfirmed"]) == (
            200,
            True,
            [],
        )
        assert calls.call("revisions/9")[0] == 404

    def test_sheet_check_publishes_nothing(self) -> None:
        calls = OperatorCalls()
        assert calls.call("sheet-checks", {"sheet": SHEET})[0] == 200
        assert calls.call("sheet-checks", {"sheet": "x"})[0] == 400
        assert calls.log.tip("config") == 0


class TestIncompleteState:
    """Guards against a VM that serves callers from an incomplete configuration."""

    def test_callers_and_changes_are_refused(self) -> None:
        calls = OperatorCalls(log=MemoryLog(max_records=10))
        for _ in range(11):
            calls.log.append("config", b"garbage")
        status, answer = calls.call("customers", CREATE)
        assert (status, answer["error"]["not_run"]) == (503, True)
        assert calls.call("fleet")[1]["state_incomplete"] is True
        version, request = VersionResource(calls.context), DummyRequest([b"chat"])
        getChildForRequest(version, request).render(request)
        error = json.loads(b"".join(request.written))["error"]
        assert (error["code"], error["not_run"]) == ("no_permit", True)


class FakeTransport:
    """Transport that records whether it was aborted."""

    aborted = False

    def abortConnection(self) -> None:
        self.aborted = True


class TestWithdrawnKey:
    """Guards against a caller who stays connected with a withdrawn key."""

    def test_open_connection_ends_when_the_record_is_applied(self) -> None:
        calls = OperatorCalls()
        calls.call("customers", CREATE)
        given = [calls.call("keys", {"customer": "market"})[1] for _ in range(2)]
        requests = []
        for answer in given:
            request = DummyRequest([b""])
            request.transport = FakeTransport()
            calls.context.requests_by_key.add(
                bytes.fromhex(answer["key_hash"]), request
            )
            requests.append(request)
        _, answer = calls.call("withdrawals", {"key": given[0]["key"]})
        assert answer["was_valid"] is True
        assert [request.transport.aborted for request in requests] == [True, False]

    def test_finished_request_is_forgotten(self) -> None:
        requests, request = RequestsByKey(), DummyRequest([b""])
        request.transport = FakeTransport()
        requests.add(b"key", request)
        request.finish()
        assert requests.abort_withdrawn({}) == 0
        assert not request.transport.aborted
