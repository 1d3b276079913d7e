"""Tests of the adapter to the platform."""

from __future__ import annotations

import base64
import json
import struct

import pytest
from twisted.internet.defer import Deferred

from wisteriagw.connections import HttpRequest, ResponseHead
from wisteriagw.eras import StorePosition
from wisteriagw.findings import Finding
from wisteriagw.fleet import BackendServer
from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun
from wisteriagw.platform import (
    AppendConflictError,
    DutyClient,
    ForwardingTerms,
    NodeSettings,
    StoreClient,
    StoreUnavailableError,
    decode_caller_request,
    decode_configuration,
    decode_entry,
    decode_handle,
    encode_forwarded,
    encode_refusal,
    is_genuine,
    parse_settings,
    reports_not_run,
)

SETTINGS = """
node_name = "vm-1"
ip = "10.1.0.7"
zone = "north"
region = "land"
port_range = [7660, 7675]
bootstrap = true
heartbeat_ms = 1200
[zones]
north = "land"
south = "land"
[listen]
front = "10.1.0.7:8405"
ready = "10.1.0.7:8406"
directory = "10.1.0.7:8404"
[limits]
memory_mb = 300
cpu_share = 0.5
cores = 2
[bounds]
revoke_ms = 5000
budget_ratio = 0.2
budget_slack = 54
budget_window_s = 10
lease_ms = 3000
window_s = 5
usage_late_s = 10
grace_s = 8
drain_ms = 2000
contact_ms = 3000
config_apply_ms = 2000
ttl_max_s = 5
[platform]
address = "10.200.1.7:8408"
[cloud_api]
address = "10.200.0.60:8408"
"""
ENTRY = {
    "service": "lm",
    "address": "10.128.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 0,
    "stage": "decode",
    "seq": 4,
    "born": 1788053665000,
}
SERVER = BackendServer("i-1", "lm", ("10.128.0.9", 8080), "north", 64)


def run(coroutine):
    """Return the result of a coroutine that completes at once, or raise its error."""
    results = []
    Deferred.fromCoroutine(coroutine).addBoth(results.append)
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]


class ScriptedClient:
    """Returns scripted outcomes in order and records the calls."""

    def __init__(self, *outcomes) -> None:
        self.sent = []
        self._outcomes = list(outcomes)

    async def send(self, *arguments, **named):
        self.sent.append((arguments, named))
        return self._outcomes.pop(0)


class TestSettingsFile:
    """Guards against reporting only the first of several invalid settings."""

    def test_bound_on_quotas_is_optional(self) -> None:
        rows = "quota_window_s = 8\nquota_over = 0.1\nquota_slack = 190000\n"
        text = SETTINGS.replace("[bounds]\n", f"[bounds]\n{rows}")
        assert parse_settings(SETTINGS).quota_window == 0.0
        assert parse_settings(text)[-3:] == (8.0, 0.1, 190_000.0)
        broken = parse_settings(text.replace("= 0.1\n", "= 'x'\n", 1))
        assert [finding.place for finding in broken] == ["bounds.quota_over"]

    def test_valid_file_is_parsed_into_seconds(self) -> None:
        settings = parse_settings(SETTINGS)
        assert isinstance(settings, NodeSettings)
        assert settings.withdrawal_seconds == 5.0
        assert settings.heartbeat == pytest.approx(1.2)
        assert settings.front == ("10.1.0.7", 8405)
        assert settings.peers == ("10.1.0.7", 7660)
        assert settings.data_centres == ("north", "south")

    def test_unknown_fields_are_ignored(self) -> None:
        text = "new_field = 3\n" + SETTINGS
        assert isinstance(parse_settings(text), NodeSettings)

    def test_all_errors_are_reported_with_their_path(self) -> None:
        text = SETTINGS.replace("revoke_ms = 5000", 'revoke_ms = "soon"')
        text = text.replace('address = "10.200.1.7:8408"', 'address = "nowhere"')
        findings = parse_settings(text)
        assert [finding.place for finding in findings] == [
            "bounds.revoke_ms",
            "platform.address",
        ]

    def test_invalid_file_is_a_finding(self) -> None:
        assert isinstance(parse_settings("= 3")[0], Finding)


class TestConfiguration:
    """Guards against replacing the configuration in force by an invalid one."""

    def build(self) -> dict:
        return {
            "version": 7,
            "routes": [
                {
                    "name": "r-1",
                    "host": "a.example",
                    "path_prefix": "/long/",
                    "kind": "stream",
                    "timeout_ms": 8000,
                    "slo_ms": 600,
                    "priority": 1,
                    "split": [
                        {"service": "lm", "weight": 90},
                        {"service": "other", "weight": 10},
                    ],
                    "max_attempts": 2,
                    "public": False,
                    "can_resume": True,
                },
                {
                    "name": "r-2",
                    "host": "a.example",
                    "path_prefix": "/order/",
                    "kind": "unsafe",
                    "timeout_ms": 1000,
                    "service": "desk",
                },
            ],
            "services": [
                {
                    "name": "lm",
                    "max_conns": 360,
                    "engine": {"slots": 64, "kv_capacity": 504494},
                    "autoscale": {
                        "min": 1,
                        "max": 3,
                        "startup_s": 4.0,
                        "spot_price": 0.22,
                        "zone_prices": {"north": 0.85},
                    },
                }
            ],
            "tenants": [{"name": "t-1", "api_keys": ["k1", "k2"], "priority": 1}],
        }

    def test_repeatable_routes_follow_from_their_kind(self) -> None:
        table = decode_configuration(json.dumps(self.build()).encode())
        stream, unsafe = table.routes["a.example"]
        assert (unsafe.path_prefix, stream.path_prefix) == ("/order/", "/long/") or (
            stream.path_prefix,
            unsafe.path_prefix,
        ) == ("/order/", "/long/")
        routes = {route.name: route for route in table.routes["a.example"]}
        assert routes["r-1"].repeatable
        assert routes["r-1"].targets == (("lm", 90.0), ("other", 10.0))
        assert not routes["r-2"].repeatable
        assert table.customers["k2"].name == "t-1"
        assert table.services["lm"].scaling.max_servers == 3

    def test_stream_that_cannot_be_resumed_is_not_repeatable(self) -> None:
        fields = self.build()
        fields["routes"][0]["can_resume"] = False
        table = decode_configuration(json.dumps(fields).encode())
        routes = {route.name: route for route in table.routes["a.example"]}
        assert not routes["r-1"].repeatable

    @pytest.mark.parametrize(
        "data", [b"", b"\xff", b"[]", b"null", b'{"version": 8}', b'{"version": "x"}']
    )
    def test_invalid_configuration_is_a_finding(self, data: bytes) -> None:
        assert isinstance(decode_configuration(data), Finding)


class TestRegister:
    """Guards against taking entries of other writers for backend servers."""

    def test_entry_is_decoded(self) -> None:
        server = decode_entry("i-1", json.dumps({**ENTRY, "spot": True}).encode())
        assert server.address == ("10.128.0.9", 8080)
        assert server.reclaimable
        assert not server.leaving

    def test_draining_server_is_leaving(self) -> None:
        server = decode_entry(
            "i-1", json.dumps({**ENTRY, "state": "draining"}).encode()
        )
        assert server.leaving

    @pytest.mark.parametrize(
        "change",
        [
            {"service": None},
            {"service": 3},
            {"address": "10.0.0.1"},
            {"address": ["10.0.0.1", 80]},
            {"state": "sleeping"},
            {"stage": "other"},
            {"slots": "64"},
            {"slots": 0},
            {"born": 1.5},
            {"zone": ""},
        ],
    )
    def test_foreign_entry_is_a_finding(self, change: dict) -> None:
        data = json.dumps({**ENTRY, **change}).encode()
        assert isinstance(decode_entry("i-1", data), Finding)

    @pytest.mark.parametrize("data", [b"\x00\xff", b"7", b"[]", b'"x"'])
    def test_undecodable_entry_is_a_finding(self, data: bytes) -> None:
        assert isinstance(decode_entry("i-1", data), Finding)


class TestForwarding:
    """Guards against forwarding keys or forged headers to a backend server."""

    def build(self) -> HttpRequest:
        return HttpRequest(
            b"POST",
            b"/long/x?y=1",
            (
                (b"host", b"a.example"),
                (b"x-wisteriagw-request-id", b"r1"),
                (b"authorization", b"Token k1"),
                (b"x-wisteriagw-tenant", b"forged"),
                (b"x-wisteriagw-kv-source", b"10.0.0.1:80/forged"),
                (b"x-wisteriagw-kv-hold", b"forged"),
                (b"x-wisteriagw-pin-ms", b"9"),
                (b"x-wisteriagw-stage", b"prefill"),
                (b"x-wisteriagw-request-priority", b"0"),
                (b"kv-fetch", b"10.0.0.1:80"),
                (b"connection", b"keep-alive, x-hop"),
                (b"x-hop", b"1"),
                (b"transfer-encoding", b"chunked"),
                (b"x-other", b"kept"),
                (b"last-event-id", b"4"),
            ),
            b"body",
        )

    def test_only_own_values_are_sent(self) -> None:
        terms = ForwardingTerms(SERVER, 1.5, "t-1", 2)
        headers = dict(encode_forwarded(self.build(), terms).headers)
        assert headers == {
            b"host": b"a.example",
            b"x-wisteriagw-request-id": b"r1",
            b"x-other": b"kept",
            b"last-event-id": b"4",
            b"content-length": b"4",
            b"x-wisteriagw-expect-instance": b"i-1",
            b"x-wisteriagw-deadline-ms": b"1500",
            b"x-wisteriagw-tenant": b"t-1",
            b"x-wisteriagw-request-priority": b"2",
        }

    def test_method_target_and_body_are_unchanged(self) -> None:
        request = encode_forwarded(self.build(), ForwardingTerms(SERVER))
        assert request.method == b"POST"
        assert request.target == b"/long/x?y=1"
        assert request.body == b"body"

    def test_resumed_stream_carries_the_last_event_id_once(self) -> None:
        terms = ForwardingTerms(SERVER, last_event=9)
        headers = encode_forwarded(self.build(), terms).headers
        assert [v for n, v in headers if n == b"last-event-id"] == [b"9"]

    def test_source_and_fetch_are_addresses(self) -> None:
        source = (("10.0.0.2", 81), "h1")
        terms = ForwardingTerms(SERVER, source=source, fetch_from=("10.0.0.3", 82))
        headers = dict(encode_forwarded(self.build(), terms).headers)
        assert headers[b"x-wisteriagw-kv-source"] == b"10.0.0.2:81/h1"
        assert headers[b"kv-fetch"] == b"10.0.0.3:82"


class TestCallerDecoding:
    """Guards against accepting requests without an id or with invalid values."""

    def build(self, *headers) -> HttpRequest:
        base = ((b"host", b"A.example"), (b"x-wisteriagw-request-id", b"r1"))
        return HttpRequest(b"POST", b"/p/x?q=1", (*base, *headers))

    def test_prompt_is_decoded(self) -> None:
        caller = decode_caller_request(
            self.build(
                (b"x-wisteriagw-model", b"m"),
                (b"x-wisteriagw-token-count", b"1460,80"),
                (b"x-wisteriagw-prompt-prefix", b"5c:800,91:410, e4:250"),
                (b"x-wisteriagw-deadline-ms", b"8000"),
                (b"authorization", b"Token k1"),
            )
        )
        assert caller.host == "a.example"
        assert caller.path == "/p/x"
        assert caller.prompt.tokens == 1460
        assert caller.prompt.parts == (("5c", 800), ("91", 410), ("e4", 250))
        assert caller.timeout == 8.0
        assert caller.key == "k1"

    def test_key_of_another_scheme_is_no_key(self) -> None:
        caller = decode_caller_request(self.build((b"authorization", b"Basic k1")))
        assert caller.key is None

    def test_request_without_an_id_is_refused(self) -> None:
        request = HttpRequest(b"GET", b"/", ((b"host", b"a.example"),))
        assert decode_caller_request(request) is None

    @pytest.mark.parametrize(
        "header",
        [
            (b"x-wisteriagw-deadline-ms", b"soon"),
            (b"last-event-id", b"x"),
        ],
    )
    def test_invalid_value_is_refused(self, header) -> None:
        assert decode_caller_request(self.build(header)) is None


class TestResponses:
    """Guards against accepting unstamped responses or those to other requests."""

    ID = (b"x-wisteriagw-request-id", b"r1")
    OTHER_ID = (b"x-wisteriagw-request-id", b"r2")
    STAMP = (b"x-wisteriagw-server-stamp", b"s")
    ENCODED = (b"content-encoding", b"gzip")

    @pytest.mark.parametrize(
        ("headers", "genuine"),
        [
            ((ID, STAMP), True),
            ((OTHER_ID, STAMP), False),
            ((ID,), False),
            ((STAMP,), False),
            ((ID, STAMP, ENCODED), False),
        ],
    )
    def test_stamp_and_id_are_required(self, headers, genuine: bool) -> None:
        assert is_genuine(ResponseHead(200, headers), b"r1") is genuine

    def test_only_stated_responses_did_not_run(self) -> None:
        stated = ((b"x-wisteriagw-not-executed", b"1"),)
        own = (b"x-wisteriagw-request-id", b"r1")
        assert reports_not_run(ResponseHead(503, (own, *stated)), b"r1")
        assert reports_not_run(ResponseHead(421, (own,)), b"r1")
        assert not reports_not_run(ResponseHead(503, (own,)), b"r1")
        assert not reports_not_run(ResponseHead(500, (own,)), b"r1")

    @pytest.mark.parametrize(
        "headers", [(), ((b"x-wisteriagw-request-id", b"r0"),)], ids=["none", "other"]
    )
    def test_refusal_without_the_own_id_states_nothing(self, headers) -> None:
        stated = ((b"x-wisteriagw-not-executed", b"1"), *headers)
        assert not reports_not_run(ResponseHead(503, stated), b"r1")
        assert not reports_not_run(ResponseHead(421, headers), b"r1")

    @pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"kv_handle": 3}', b"\xff"])
    def test_body_without_a_valid_handle_gives_none(self, body: bytes) -> None:
        assert decode_handle(body) is None

    def test_refusal_carries_retry_after(self) -> None:
        headers, body = encode_refusal("overloaded", "full", "r1", 0.25)
        assert dict(headers)[b"retry-after"] == b"0.25"
        assert json.loads(body)["error"]["code"] == "overloaded"


def at(offset: int, era: int = 0) -> StorePosition:
    """Return a position in the store."""
    return StorePosition(era, offset)


class TestStoreClient:
    """Guards against confusing appends that ran, did not run or may have run."""

    ADDRESS = ("10.0.0.1", 80)

    def test_keyed_records_are_framed(self) -> None:
        client = ScriptedClient(Done(200, b'{"offset": 5, "end_offset": 6}'))
        store = StoreClient(client, self.ADDRESS)
        assert run(store.append("keyed.x", [("ab", b"v")], at(5))) == at(5)
        (_, method, target, body), _ = client.sent[0]
        assert (method, target) == ("POST", "/log-append?topic=keyed.x&part=0&at=5")
        assert body == struct.pack(">I", 4) + b"\x02abv"

    def test_conflict_carries_the_end_offset(self) -> None:
        store = StoreClient(
            ScriptedClient(Done(412, b'{"end_offset": 9}')), self.ADDRESS
        )
        with pytest.raises(AppendConflictError) as caught:
            run(store.append("x", [("", b"v")], at(5)))
        assert caught.value.end == at(9)

    @pytest.mark.parametrize(
        ("outcome", "may_have_run"),
        [
            (FailedNotRun("refused"), False),
            (MayHaveRun("lost"), True),
            (Done(503, b""), False),
            (Done(429, b""), False),
            (Done(500, b""), True),
            (Done(200, b"nothing"), True),
        ],
    )
    def test_failed_append_states_whether_it_may_have_run(
        self, outcome, may_have_run: bool
    ) -> None:
        store = StoreClient(ScriptedClient(outcome), self.ADDRESS)
        with pytest.raises(StoreUnavailableError) as caught:
            run(store.append("x", [("", b"v")]))
        assert caught.value.may_have_run is may_have_run

    def test_read_returns_keys_and_removals(self) -> None:
        records = [b"\x01ka", b"\x01k", b""]
        body = struct.pack(">QQ", 13, 0)
        body += b"".join(struct.pack(">I", len(r)) + r for r in records)
        store = StoreClient(ScriptedClient(Done(200, body)), self.ADDRESS)
        page = run(store.read("keyed.x", at(10)))
        assert [(r.offset, r.key, r.value) for r in page.records] == [
            (10, "k", b"a"),
            (11, "k", b""),
            (12, "", b""),
        ]
        assert page.next_position == at(13)

    @pytest.mark.parametrize(("end", "at_tip"), [(9, True), (10, False)])
    def test_read_reports_whether_it_reached_the_end(self, end, at_tip) -> None:
        body = struct.pack(">QQI", end, 0, 3) + b"\x01kv"
        client = ScriptedClient(Done(200, body))
        page = run(StoreClient(client, self.ADDRESS).read("keyed.x", at(8)))
        assert page.next_position == at(9)
        assert page.at_tip is at_tip

    def test_read_of_removed_records_is_incomplete(self) -> None:
        store = StoreClient(
            ScriptedClient(Done(410, b'{"first_offset": 40}')), self.ADDRESS
        )
        page = run(store.read("x", at(10)))
        assert (page.complete, page.next_position) == (False, at(40))

    def test_read_newest_reads_all_pages_and_continues_from_the_first(self) -> None:
        def build(key: str, more: bool, end: int) -> Done:
            item = {"key": key, "value": base64.b64encode(b"v").decode(), "offset": 1}
            fields = {"items": [item], "has_more": more, "end_offset": end}
            return Done(200, json.dumps(fields).encode())

        client = ScriptedClient(build("a", True, 6), build("b", False, 9))
        page = run(StoreClient(client, self.ADDRESS).read_newest("keyed.x"))
        assert [record.key for record in page.records] == ["a", "b"]
        # A change between the pages is read when following from the end of the first.
        assert page.next_position == at(6)
        assert "after=a" in client.sent[1][0][2]


class TestDutyClient:
    """Guards against authority calls without their holder or fencing number."""

    def test_usage_report_carries_holder_and_fencing_number(self) -> None:
        client = ScriptedClient(Done(200, b"{}"))
        duties = DutyClient(client, ("10.0.0.1", 80), "vm-1")
        run(duties.report_usage(7, {"t-1": 3}, 12))
        (_, method, target, body, _, headers), _ = client.sent[0]
        assert (method, target) == ("POST", "/usage")
        assert json.loads(body) == {"window_id": 7, "counts": {"t-1": 3}}
        assert (b"x-wisteriagw-duty-holder", b"vm-1") in headers
        assert (b"x-wisteriagw-fence-token", b"12") in headers

    def test_stage_order_carries_the_expected_engine(self) -> None:
        client = ScriptedClient(Done(202, b""))
        duties = DutyClient(client, ("10.0.0.1", 80), "vm-1")
        run(duties.order_stage(("10.0.0.9", 80), "i-1", "prefill", 12))
        (address, _, target, body, _, headers), _ = client.sent[0]
        assert (address, target) == (("10.0.0.9", 80), "/order")
        assert json.loads(body)["fence_token"] == 12
        assert (b"x-wisteriagw-expect-instance", b"i-1") in headers
