"""Tests of placement by speed, and of the samples that the gateway takes."""

from __future__ import annotations

import math
import random
import zlib
from collections import Counter
from types import SimpleNamespace

import pytest

from tests.support._gateway_fixture import GatewayFixture
from wisteriagw.gateway._attempt_timing import AttemptTiming
from wisteriagw.gateway._gauges import update_speeds
from wisteriagw.gateway._node import Node
from wisteriagw.notices import Pause
from wisteriagw.placement import (
    EngineRates,
    Prompt,
    ServerView,
    choose_plan,
    choose_server,
    expect_answer,
    expect_first_event,
)
from wisteriagw.placement._choice import SPLIT_OVERHEAD_SECONDS
from wisteriagw.routes import EngineTraits
from wisteriagw.speeds import SpeedSample, limit_speed
from wisteriagw.speeds._speed_table import TABLE, build_key

TRAITS = EngineTraits(64, 500_000, 18_432, 370_000.0, 5.0, 3.0)
RATES = EngineRates(50_000.0)


class TestPlacementBySpeed:
    """Faster servers get more, and equal ones are placed as before."""

    def test_equal_servers_are_placed_as_before(self) -> None:
        """The checksum is that of the choices and estimates on 4d479f2."""
        source = random.Random(9)
        chosen = []
        for _ in range(300):
            views = [build_view(number, source) for number in range(9)]
            chosen.append(choose_server(views, "north", source.random))
            prompt = Prompt("m", source.randrange(300, 30_000), 50)
            rates = EngineRates(50_000.0)
            chosen.append(
                choose_plan(prompt, views, rates, TRAITS, "north", source.random)
            )
        text = " ".join(
            f"{plan.server},{plan.prefill},{plan.fetch_from},"
            f"{plan.seconds!r},{plan.queue_seconds!r}"
            for plan in chosen
        )
        assert zlib.crc32(text.encode()) == 236650113

    def test_load_is_relative_to_speed(self) -> None:
        slow = ServerView("slow", "north", "", 4, streams=1.0, speed=0.5)
        fast = ServerView("fast", "north", "", 4, streams=2.0, speed=1.5)
        plan = choose_server((slow, fast), "north", random.Random(1).random)
        assert plan.server == "fast"

    @pytest.mark.parametrize("split", [False, True])
    def test_estimates_of_engines_are_relative_to_speed(self, split: bool) -> None:
        traits = TRAITS._replace(link_mbps=0.0)
        found = []
        for speed in (1.0, 2.0):
            views = [ServerView("d", "north", "decode", 8, 20_000.0, 12.0, speed=speed)]
            if split:
                views.append(ServerView("p", "north", "prefill", 8, speed=speed))
            plan = choose_plan(
                Prompt("m", 20_000, 50), views, RATES, traits, "north", lambda: 0.5
            )
            assert bool(plan.prefill) is split
            seconds = plan.seconds - SPLIT_OVERHEAD_SECONDS * split
            found.append((seconds, plan.queue_seconds))
        assert found[0] == pytest.approx([2 * seconds for seconds in found[1]])

    def test_fastest_server_does_not_draw_all_requests(self) -> None:
        """All VMs know the same speeds; comparing all servers would meet at one."""
        views = [ServerView(f"s{number}", "north", "", 4) for number in range(10)]
        views[3] = views[3]._replace(speed=2.0)
        views[4] = views[4]._replace(speed=0.5)
        draw = random.Random(4).random
        counts = Counter(
            choose_server(views, "north", draw).server for _ in range(2_000)
        )
        assert 0.25 < counts["s3"] / 2_000 < 0.4
        drawn = Counter(
            choose_server(
                [views[4], views[5]._replace(streams=9.0)], "north", draw
            ).server
            for _ in range(5)
        )
        assert drawn["s4"] == 5


def build_view(number: int, source: random.Random) -> ServerView:
    """Return a random view of a server whose speed is within 15% of 1."""
    return ServerView(
        f"s{number}",
        ("north", "south")[number % 2],
        ("decode", "prefill")[number // 2 % 2],
        8 + 4 * (number % 3),
        source.random() * 60_000,
        float(source.randrange(16)),
        source.choice((0, 0, 9_000)),
        source.choice((0.0, 0.1, 0.9)),
        speed=limit_speed((-0.13, 0.0, 0.13)[number % 3]),
    )


class TestSamplesOfTheGateway:
    """Only what a server's speed explains is a sample."""

    def ask(self, gateway, seconds: dict[str, float], status: int = 200) -> None:
        responder = gateway.request("unsafe")
        sent = gateway.pool.sent[-1]
        name = f"desk-{sent.address[0][-1]}"
        gateway.clock.advance(seconds[name])
        sent.reply(status, b"x")
        assert responder.ended
        gateway.confirm()

    def find(self, gateway) -> dict[str, float]:
        servers = gateway.fleet.fleet.list_service("desk")
        gateway.clock.advance(0.3)
        now = gateway.clock.seconds()
        return gateway.speeds.find_speeds("desk", servers, now)

    def start(self) -> GatewayFixture:
        gateway = GatewayFixture()
        draws = random.Random(2)
        gateway.context = gateway.context._replace(draw=draws.random)
        gateway.handler._context = gateway.context
        return gateway

    def test_slow_answers_lower_the_speed(self) -> None:
        gateway = self.start()
        for _ in range(150):
            self.ask(gateway, {"desk-1": 0.05, "desk-2": 0.01})
        found = self.find(gateway)
        assert found["desk-1"] < 1.0 < found["desk-2"]
        sent = len(gateway.pool.sent)
        for _ in range(8):
            self.ask(gateway, {"desk-1": 0.05, "desk-2": 0.01})
        assert {one.address[0] for one in gateway.pool.sent[sent:]} == {"10.0.0.2"}
        update_speeds(gateway.context)
        text = gateway.context.metrics.render().decode()
        assert 'slowest_server_speed{service="desk"} 0.' in text

    def test_streams_are_samples(self) -> None:
        gateway = self.start()
        gateway.request("ask", prompt="300,50")
        sent = gateway.pool.sent[-1]
        sent.start(content_type="text/event-stream")
        sent.response.handle_part(b"id: 1\ndata: x\n\n")
        sent.response.handle_end()
        kinds = {kind for _, kind in gateway.speeds._baselines}
        assert kinds == {"first event:ask", "stream:ask"}

    def test_prefill_calls_are_samples(self) -> None:
        gateway = self.start()
        gateway.add_server("lm-9", "lm", 19, stage="prefill")
        gateway.request("long", prompt="17000,100")
        gateway.pool.sent[0].reply(200, b'{"kv_handle": "h"}')
        assert list(gateway.speeds._baselines) == [("lm", "prefill")]

    def test_queue_is_expected(self) -> None:
        """A server would look slow because of the requests that wait there."""
        view = ServerView("s", "north", "decode", 4, streams=7.0, speed=0.5)
        assert expect_answer(view) == 2.0
        rates = EngineRates(50_000.0, 0.06, 1.0)
        idle = view._replace(streams=-1.0)
        assert expect_first_event(rates, 5_000.0, idle) == pytest.approx(0.16)
        assert expect_first_event(rates, 5_000.0, view) == pytest.approx(1.76)

    def test_refusals_are_no_samples(self) -> None:
        """A server that refuses at once would look like the fastest."""
        gateway = self.start()
        for status in (429, 503, 500):
            for _ in range(10):
                self.ask(gateway, dict.fromkeys(("desk-1", "desk-2"), 0.01), status)
        assert gateway.speeds.list_rows(gateway.clock.seconds()) == []
        assert gateway.speeds._baselines == {}

    def test_answer_over_a_pause_is_no_sample(self) -> None:
        gateway = self.start()
        server = gateway.fleet.fleet.servers["desk-1"]
        timing = self.start_timing(gateway, server)
        gateway.notices.record(Pause("desk-1", 0, 1.0))
        gateway.clock.advance(2.0)
        timing.record_head(200)
        assert gateway.speeds._baselines == {}

    def start_timing(self, gateway, server, prompt=None, tokens=0.0) -> AttemptTiming:
        access = SimpleNamespace(
            context=gateway.context,
            service=SimpleNamespace(name=server.service),
            route=SimpleNamespace(name="r"),
            caller=SimpleNamespace(prompt=prompt, last_event=None),
            view_server=lambda server: gateway.work.list_views(
                (server,), None, gateway.clock.seconds()
            )[0],
        )
        timing = AttemptTiming(access)
        timing.start(server, tokens)
        return timing

    def prefill(self, gateway, name: str, tokens: float, speed: float) -> None:
        server = gateway.fleet.fleet.servers[name]
        timing = self.start_timing(gateway, server, object(), tokens)
        # Many prefills overlap, so less time passes than they take together.
        timing._started_at -= (0.06 + tokens / 30_000.0) / speed
        gateway.clock.advance(0.02)
        timing.record_prefill()
        servers = gateway.fleet.fleet.list_service("lm")
        gateway.speeds.find_speeds("lm", servers, gateway.clock.seconds())

    def test_long_prompts_and_queues_are_no_slowness(self) -> None:
        gateway = self.start()
        for _ in range(200):
            self.prefill(gateway, "lm-1", 600.0, 1.0)
            self.prefill(gateway, "lm-2", 6_000.0, 1.0)
        servers = gateway.fleet.fleet.list_service("lm")
        found = gateway.speeds.find_speeds("lm", servers, gateway.clock.seconds() + 1)
        assert found == {}

    def test_rate_stays_that_of_speed_one(self) -> None:
        """A rate of the slow server would lower the estimates of both twice."""
        gateway = self.start()
        source = random.Random(1)
        for _ in range(900):
            name = "lm-1" if source.random() < 0.85 else "lm-2"
            self.prefill(gateway, name, 2_500.0, {"lm-1": 0.4, "lm-2": 1.6}[name])
        assert gateway.context.rates.get("lm").tokens_per_second > 15_000.0

    def test_stream_seconds_are_scaled_and_resumed_streams_are_no_samples(self) -> None:
        gateway = self.start()
        server = gateway.fleet.fleet.servers["lm-1"]
        gateway.speeds._logs[build_key(server)] = -1.0
        timing = self.start_timing(gateway, server, object())
        timing._access.caller.last_event = 5
        timing.record_stream(math.e)
        stream_seconds = gateway.context.rates.get("lm").stream_seconds
        assert stream_seconds == pytest.approx(1.0, abs=0.001)
        assert gateway.speeds._baselines == {}

    def test_removal_from_the_register_resets_the_speed(self) -> None:
        gateway = self.start()
        server = gateway.fleet.fleet.servers["desk-1"]
        for _ in range(20):
            gateway.speeds.record(SpeedSample(server, "x", 1.0, 0.1), 1_000.0)
        pool = SimpleNamespace(close_address=lambda address: None)
        context = gateway.context._replace(pool=pool)
        node = SimpleNamespace(context=context, _call_pool=pool)
        assert gateway.sums.list_own(1_000.0)[0][:2] == (TABLE, build_key(server))
        Node._remove_server(node, server)
        assert gateway.sums.list_own(1_000.0) == ()
