"""Tests of streams that continue from a copy of their KV cache."""

from __future__ import annotations

import json
from collections import Counter

import pytest

from tests.support._gateway_fixture import ROUTES, GatewayFixture
from wisteriagw.eras import FOREVER
from wisteriagw.notices import Departure, Pause, RateLimit
from wisteriagw.placement import ServerView, choose_backup
from wisteriagw.platform import decode_configuration
from wisteriagw.routes import EngineTraits, index_routes

EVENT = b"id: %d\ndata: t\n\n"
CENTRES = ("north", "east", "south", "west")


def view(name: str, data_centre: str = "north", **fields) -> ServerView:
    """Return an idle engine of 32 slots."""
    stage = fields.pop("stage", "decode")
    return ServerView(name, data_centre, stage, **{"slots": 32, **fields})


class TestChooseBackup:
    """The copy must not be lost with the engine whose run it backs up."""

    def test_own_data_centre_comes_first(self) -> None:
        views = [view("a"), view("b"), view("c", "south"), view("d", "south")]
        for number in range(20):
            assert choose_backup(f"r{number}", "a", views) == "b"

    def test_other_data_centre_is_better_than_none(self) -> None:
        assert choose_backup("r", "a", [view("a"), view("d", "south")]) == "d"

    def test_only_engine_has_no_backup(self) -> None:
        assert choose_backup("r", "a", [view("a")]) is None

    def test_engine_that_could_not_continue_the_stream_is_left_out(self) -> None:
        views = [
            view("a"),
            view("prefill", "south", stage="prefill"),
            view("full", "south", streams=32.0),
            view("failing", "south", failure_penalty=1.5),
        ]
        assert choose_backup("r", "a", views) is None

    def test_load_of_a_lost_engine_is_spread(self) -> None:
        """All streams of one engine must not move to one other engine."""
        views = [view(f"{c}{n}", c) for c in CENTRES for n in range(4)]
        chosen = Counter(
            choose_backup(f"r{number}", "north0", views) for number in range(1_200)
        )
        assert set(chosen) == {"north1", "north2", "north3"}
        assert max(chosen.values()) < 1.5 * 1_200 / 3


class TestLostEngine:
    """Load: an engine is lost while it runs several streams of one VM."""

    @pytest.mark.parametrize("dark", [False, True], ids=["crashed", "dark"])
    def test_each_caller_gets_its_whole_stream_once(self, dark: bool) -> None:
        gateway = build_gateway(engines=4)
        callers = [gateway.request("ask", prompt="300,50") for _ in range(28)]
        first = list(gateway.pool.sent)
        lost_address = first[0].address
        for sent in first:
            sent.start(200)
            sent.response.handle_part(EVENT % 1 + EVENT % 2 + b"id: 3\nda")
        gateway.pool.unreachable.add(lost_address)
        for sent in first:
            if sent.address != lost_address:
                sent.response.handle_part(b"ta: t\n\n")
                sent.response.handle_end()
            elif not dark:
                sent.response.handle_loss("reset")
        gateway.clock.advance(1.0)
        for sent in gateway.pool.sent[len(first) :]:
            assert sent.address != lost_address
            sent.start(200)
            sent.response.handle_part(EVENT % 3)
            sent.response.handle_end()
        whole = EVENT % 1 + EVENT % 2 + EVENT % 3
        assert [caller.body for caller in callers] == [whole] * 28
        assert all(caller.ended and not caller.aborted for caller in callers)
        assert gateway.count_usage() == 28


class TestRunOfALostAnswer:
    """A stream went on at a second engine while the first one still ran it."""

    def test_confirmed_stop_names_where_the_run_goes_on(self) -> None:
        gateway = build_gateway()
        responder = gateway.request("ask", prompt="300,50")
        first = cut_stream(gateway)
        stop = gateway.pool.sent[1]
        assert stop.address == first.address and stop.request.target == b"/kv-move"
        backup = first.headers[b"x-wisteriagw-kv-backup"].decode()
        assert json.loads(stop.request.body) == {
            "id": "r1",
            "to": backup,
            "final": True,
        }
        assert stop.headers[b"x-wisteriagw-expect-instance"] in (b"lm-1", b"lm-2")
        gateway.clock.advance(0.3)
        assert len(gateway.pool.sent) == 2
        stop.reply(200, b'{"kv_handle": "h7", "created": 4}')
        second = gateway.pool.sent[2]
        host, port = second.address
        assert f"{host}:{port}" == backup
        source = b"%s:80/h7" % first.address[0].encode()
        assert second.headers[b"x-wisteriagw-kv-source"] == source
        assert second.headers[b"last-event-id"] == b"2"
        second.start(200)
        second.response.handle_part(EVENT % 3)
        second.response.handle_end()
        assert responder.body == EVENT % 1 + EVENT % 2 + EVENT % 3
        assert responder.ended and not responder.aborted

    def test_run_goes_on_where_it_was_stopped_if_the_backup_is_full(self) -> None:
        gateway = build_gateway()
        gateway.request("ask", prompt="300,50")
        first = cut_stream(gateway)
        gateway.pool.sent[1].reply(503, b'{"kv_handle": "h7"}')
        second = gateway.pool.sent[2]
        assert second.address == first.address
        source = b"%s:80/h7" % first.address[0].encode()
        assert second.headers[b"x-wisteriagw-kv-source"] == source

    @pytest.mark.parametrize(
        ("status", "body"),
        [
            (200, b"done"),
            (200, b"{}"),
            (200, b"[" * 100_000),
            (409, b"{}"),
            (500, b'{"kv_handle": "h7"}'),
            (503, b""),
        ],
    )
    def test_answer_that_confirms_no_stop_ends_the_stream(
        self, status: int, body: bytes
    ) -> None:
        gateway = build_gateway()
        responder = gateway.request("ask", prompt="300,50")
        cut_stream(gateway)
        gateway.pool.sent[1].reply(status, body)
        assert responder.aborted
        assert len(gateway.pool.sent) == 2

    @pytest.mark.parametrize("lost", [True, False], ids=["lost", "late"])
    def test_missing_confirmation_ends_the_stream(self, lost: bool) -> None:
        gateway = build_gateway()
        responder = gateway.request("ask", prompt="300,50")
        cut_stream(gateway)
        stop = gateway.pool.sent[1]
        if lost:
            stop.response.handle_loss("reset")
        gateway.clock.advance(1.0)
        assert responder.aborted and stop.aborted is not lost
        assert len(gateway.pool.sent) == 2

    @pytest.mark.parametrize("refusing", [True, False], ids=["ended", "runs"])
    def test_engine_that_cannot_stop_runs_counts_as_ended_once_it_is_gone(
        self, refusing: bool
    ) -> None:
        gateway = build_gateway(moves_runs=False)
        responder = gateway.request("ask", prompt="300,50")
        if refusing:
            gateway.pool.refusing.add(gateway.pool.sent[0].address)
        first = cut_stream(gateway)
        assert len(gateway.pool.sent) == 1 + refusing
        assert responder.aborted is not refusing
        if refusing:
            assert gateway.pool.sent[1].address != first.address

    def test_another_lifetime_of_the_engine_does_not_run_it(self) -> None:
        gateway = build_gateway()
        gateway.request("ask", prompt="300,50")
        cut_stream(gateway)
        gateway.pool.sent[1].reply(421)
        assert gateway.pool.sent[2].headers[b"x-wisteriagw-kv-source"]

    def test_caller_that_leaves_during_the_stop_gets_no_second_run(self) -> None:
        gateway = build_gateway()
        responder = gateway.request("ask", prompt="300,50")
        cut_stream(gateway)
        responder.on_disconnect()
        gateway.pool.sent[1].reply(404)
        assert len(gateway.pool.sent) == 2


class TestNoticesOfTheBackup:
    """A run went on at an engine that had asked for fewer requests, or none."""

    def start(self) -> tuple[GatewayFixture, str]:
        gateway = build_gateway()
        gateway.request("ask", prompt="300,50")
        names = {"10.0.0.11": "lm-1", "10.0.0.12": "lm-2"}
        backup = ({"lm-1", "lm-2"} - {names[gateway.pool.sent[0].address[0]]}).pop()
        return gateway, backup

    def test_continued_run_counts_against_its_limit(self) -> None:
        gateway, backup = self.start()
        gateway.notices.record(RateLimit(backup, 0, 2.0))
        gateway.clock.advance(0.6)
        server = gateway.fleet.fleet.servers[backup]
        assert gateway.notices.find_wait(server, gateway.clock.seconds()) == 0
        _, second = lose_stream(gateway)
        assert second.address == server.address
        assert gateway.notices.find_wait(server, gateway.clock.seconds()) > 0

    @pytest.mark.parametrize(
        ("kind", "value"),
        [(Pause, 9.0), (Departure, FOREVER)],
        ids=["Pause", "Departure"],
    )
    def test_no_run_goes_on_at_an_engine_that_wants_none(
        self, kind: type, value
    ) -> None:
        gateway, backup = self.start()
        gateway.notices.record(kind(backup, 0, value))
        first = gateway.pool.sent[0]
        first.start(200)
        first.response.handle_part(EVENT % 1)
        first.response.handle_loss("reset")
        assert len(gateway.pool.sent) == 1


class TestSilentEngine:
    """A run must not start again elsewhere while its engine may be working on it."""

    def start(self, route: str = "ask", prompt: str = "300,50"):
        gateway = build_gateway()
        responder = gateway.request(route, prompt=prompt)
        first = gateway.pool.sent[0]
        first.start(200)
        first.response.handle_part(EVENT % 1)
        return gateway, responder, first

    @pytest.mark.parametrize(
        ("route", "prompt"), [("ask", "300,50"), ("long", "17000,100")]
    )
    def test_reachable_engine_keeps_the_run(self, route: str, prompt: str) -> None:
        gateway, responder, first = self.start(route, prompt)
        gateway.clock.pump([0.1] * 30)
        assert len(gateway.pool.sent) == 1 and not first.aborted
        first.response.handle_part(EVENT % 2)
        first.response.handle_end()
        assert responder.body == EVENT % 1 + EVENT % 2
        assert responder.ended and not responder.aborted

    def test_checks_become_rarer(self) -> None:
        gateway, _, _ = self.start()
        gateway.clock.pump([0.1] * 35)
        assert len(gateway.pool.checked) == 2

    def test_engine_that_answers_others_is_not_checked(self) -> None:
        gateway, _, first = self.start()
        for _ in range(20):
            gateway.clock.advance(0.1)
            for name in ("lm-1", "lm-2"):
                gateway.work.record_success(name, gateway.clock.seconds())
        assert gateway.pool.checked == []
        assert not first.aborted

    def test_slow_stream_is_not_checked(self) -> None:
        gateway, responder, first = self.start()
        for number in range(2, 12):
            gateway.clock.advance(0.4)
            if number < 10:
                first.response.handle_part(EVENT % number)
        assert len(gateway.pool.checked) <= 1
        assert not responder.aborted

    def test_bytes_without_events_are_no_progress(self) -> None:
        """A comment now and then must not hide that the engine is gone."""
        gateway, _, first = self.start()
        gateway.pool.unreachable.add(first.address)
        for _ in range(12):
            first.response.handle_part(b": x\n")
            gateway.clock.advance(0.1)
        assert first.address in gateway.pool.checked

    def test_resumable_stream_of_an_unreachable_engine_is_resumed(self) -> None:
        gateway, responder, first = self.start("long", "17000,100")
        gateway.pool.unreachable.add(first.address)
        gateway.clock.pump([0.1] * 10)
        second = gateway.pool.sent[1]
        assert first.aborted and second.headers[b"last-event-id"] == b"1"
        second.start(200)
        second.response.handle_part(EVENT % 2)
        second.response.handle_end()
        assert responder.body == EVENT % 1 + EVENT % 2

    def test_silence_before_the_first_event(self) -> None:
        """The run may have begun, and without an event nothing shows how far it is."""
        gateway = build_gateway()
        gateway.request("ask", prompt="300,50")
        first = gateway.pool.sent[0]
        first.start(200)
        gateway.pool.unreachable.add(first.address)
        gateway.clock.pump([0.1] * 20)
        assert len(gateway.pool.sent) == 1 and not first.aborted


class TestBackedUpStream:
    """A stream that no other run may continue was lost with its engine."""

    def test_copy_is_requested_at_another_engine(self) -> None:
        gateway = build_gateway()
        gateway.request("ask", prompt="300,50")
        sent = gateway.pool.sent[0]
        backup = sent.headers[b"x-wisteriagw-kv-backup"]
        assert backup != b"%s:%d" % (sent.address[0].encode(), sent.address[1])
        assert backup in (b"10.0.0.11:80", b"10.0.0.12:80")

    def test_stream_continues_after_its_last_whole_event(self) -> None:
        gateway = build_gateway()
        responder = gateway.request("ask", prompt="300,50")
        first, second = lose_stream(gateway)
        assert second.address != first.address
        assert second.headers[b"x-wisteriagw-kv-source"] == find_copy(second)
        assert second.headers[b"last-event-id"] == b"2"
        assert b"x-wisteriagw-kv-backup" not in second.headers
        second.start(200, x_wisteriagw_server_stamp="other")
        second.response.handle_part(EVENT % 3)
        second.response.handle_end()
        assert responder.body == EVENT % 1 + EVENT % 2 + EVENT % 3
        assert responder.headers[b"x-wisteriagw-server-stamp"] == b"stamp"
        assert responder.ended and not responder.aborted
        assert gateway.count_usage() == 1

    def test_loss_before_the_first_event_is_not_continued(self) -> None:
        """Without an event to go on after, the copy would be a second run."""
        gateway = build_gateway()
        responder = gateway.request("ask", prompt="300,50")
        first = gateway.pool.sent[0]
        first.start(200)
        first.response.handle_part(b"id: 1\nda")
        first.response.handle_loss("reset")
        assert len(gateway.pool.sent) == 1
        assert responder.status == 502

    def test_missing_copy_does_not_look_like_a_whole_stream(self) -> None:
        gateway = build_gateway()
        responder = gateway.request("ask", prompt="300,50")
        lose_stream(gateway)[1].reply(503, x_wisteriagw_not_executed="1")
        assert responder.aborted
        assert [sent.request.target for sent in gateway.pool.sent] == [
            b"/ask/x",
            b"/kv-move",
            b"/ask/x",
        ]

    def test_copy_is_gone_with_its_engine(self) -> None:
        gateway = build_gateway()
        responder = gateway.request("ask", prompt="300,50")
        address = gateway.pool.sent[0].headers[b"x-wisteriagw-kv-backup"].decode()
        for server in list(gateway.fleet.fleet.servers.values()):
            if f"{server.address[0]}:{server.address[1]}" == address:
                restarted = server._replace(born=server.born + 1)
                gateway.fleet.fleet.servers[server.name] = restarted
        gateway.pool.sent[0].start(200)
        gateway.pool.sent[0].response.handle_part(EVENT % 1)
        gateway.pool.sent[0].response.handle_loss("reset")
        assert len(gateway.pool.sent) == 1
        assert responder.aborted

    def test_failed_run_is_not_continued(self) -> None:
        """An engine that answered with an error ended the run."""
        gateway = build_gateway()
        responder = gateway.request("ask", prompt="300,50")
        gateway.pool.sent[0].reply(500)
        assert len(gateway.pool.sent) == 1
        assert responder.status == 500

    def test_continuing_consumes_the_retry_budget(self) -> None:
        gateway = build_gateway()
        now = gateway.clock.seconds()
        while gateway.context.budgets.get("lm", now).retries >= 1:
            gateway.context.budgets.consume("lm", now)
        responder = gateway.request("ask", prompt="300,50")
        first = gateway.pool.sent[0]
        first.start(200)
        first.response.handle_part(EVENT % 1)
        first.response.handle_loss("reset")
        assert responder.aborted
        assert len(gateway.pool.sent) == 1

    def test_resumable_stream_is_not_copied(self) -> None:
        gateway = build_gateway()
        gateway.request("long", prompt="17000,100")
        assert b"x-wisteriagw-kv-backup" not in gateway.pool.sent[0].headers

    def test_engines_without_backups_get_no_copy(self) -> None:
        gateway = GatewayFixture()
        gateway.request("ask", prompt="300,50")
        assert b"x-wisteriagw-kv-backup" not in gateway.pool.sent[0].headers

    def test_header_of_the_caller_is_not_forwarded(self) -> None:
        gateway = GatewayFixture()
        gateway.request(
            "ask", (b"x-wisteriagw-kv-backup", b"10.9.9.9:80"), prompt="300,50"
        )
        assert b"x-wisteriagw-kv-backup" not in gateway.pool.sent[0].headers


class TestConfiguredBackups:
    """Engines that keep no copies must not be asked to."""

    def test_configuration_states_whether_engines_keep_copies(self) -> None:
        for replicas, expected in ((b"true", True), (b"false", False)):
            table = decode_configuration(
                b'{"version": 1, "routes": [], "services": [{"name": "lm", '
                b'"max_conns": 9, "engine": {"slots": 8, "kv_capacity": 100, '
                b'"replicas": ' + replicas + b"}}]}"
            )
            assert table.services["lm"].engine.keeps_backups is expected


def build_gateway(engines: int = 2, moves_runs: bool = True) -> GatewayFixture:
    """Return a gateway whose engines keep copies."""
    gateway = GatewayFixture()
    table = gateway.configuration.table
    traits = EngineTraits(
        64, 500_000, 18_432, 370_000.0, 5, 3, keeps_backups=True, moves_runs=moves_runs
    )
    services = {**table.services}
    services["lm"] = services["lm"]._replace(engine=traits)
    routes = [route._replace(gap_seconds=0.15) for route in ROUTES]
    gateway.configuration.table = table._replace(
        services=services, routes=index_routes(routes)
    )
    for number in range(3, engines + 1):
        gateway.add_server(f"lm-{number}", "lm", 10 + number, stage="decode")
    return gateway


def lose_stream(gateway: GatewayFixture):
    """Cut the first stream within its third event; return both sent requests.

    The engine no longer runs it.
    """
    first = cut_stream(gateway)
    gateway.pool.sent[1].reply(404)
    return first, gateway.pool.sent[2]


def cut_stream(gateway: GatewayFixture):
    """Cut the first stream within its third event; return the sent request."""
    first = gateway.pool.sent[0]
    first.start(200)
    first.response.handle_part(EVENT % 1 + EVENT % 2 + b"id: 3\nda")
    first.response.handle_loss("reset")
    return first


def find_copy(sent) -> bytes:
    """Return the name of the copy of request ``r1`` at the engine addressed."""
    return f"{sent.address[0]}:{sent.address[1]}/r1".encode()
