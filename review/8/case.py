"""A worker leaves just after the channels to the store fell silent."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from review.support2.gateways import Gateway, WorkFolder, pick_addresses  # noqa: E402
from review.support2.http import send_request  # noqa: E402
from review.support2.proxy import Proxy  # noqa: E402
from review.support2.record import Record  # noqa: E402
from review.support2.running import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    run_case,
)
from review.support2.store import Cloud, Store  # noqa: E402
from review.support2.worker import Worker, build_configuration  # noqa: E402

ZONES = ("z1", "z2", "z3")
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
# Margin on each of the two bounds, for the clocks and the way of a request.
MARGIN_SECONDS = 0.1
WARM_UP_SECONDS = 6.0
LEAVES_AFTER_SECONDS = 0.5
WATCHED_SECONDS = 7.0
REQUEST_INTERVAL_SECONDS = 0.03
KEY = "k1"


class Case:
    """Three gateways, three workers, one of which leaves."""

    def __init__(self, trouble: bool) -> None:
        self.trouble = trouble
        self.record = Record()
        self.folder = WorkFolder()
        self.runs: list = []
        self.sent_at: dict[str, tuple[float, str]] = {}
        self.gateways: list[Gateway] = []

    async def run(self) -> int:
        """Play the case and return the exit status."""
        ips = pick_addresses(7)
        self.store = Store()
        store_address = await self.store.start(ips[0])
        cloud_address = "{}:{}".format(*await Cloud().start(ips[0]))
        self.store.put("keyed.op", "config", build_configuration(1, (KEY,)))
        self.workers = []
        for number, zone in enumerate(ZONES):
            worker = Worker(self.store, f"w{number}", "desk", zone, self.runs)
            await worker.start(ips[1 + number])
            self.workers.append(worker)
        proxies = []
        for number, zone in enumerate(ZONES):
            ip = ips[4 + number]
            proxy = Proxy(store_address)
            link = "{}:{}".format(*await proxy.start(ip))
            proxies.append(proxy)
            gateway = Gateway(
                self.folder.path, f"vm{number}", zone, ip, link, cloud_address
            )
            self.gateways.append(gateway)
            gateway.start(bootstrap=True)
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.record.add("all gateways are ready")
        callers = [asyncio.create_task(self.call(g)) for g in self.gateways]
        await asyncio.sleep(WARM_UP_SECONDS)
        silent_at = time.monotonic()
        if self.trouble:
            for proxy in proxies:
                proxy.silence()
            self.record.add("open channels to the store fall silent, new ones work")
        await asyncio.sleep(LEAVES_AFTER_SECONDS)
        self.workers[0].leave()
        left_at = time.monotonic()
        self.record.add("the store has removed the entry of w0, which serves on")
        await asyncio.sleep(WATCHED_SECONDS)
        for caller in callers:
            caller.cancel()
        return self.judge(silent_at, left_at)

    async def call(self, gateway: Gateway) -> None:
        """Send requests to a gateway, each on a channel of its own."""
        number = 0
        tasks = set()
        while True:
            number += 1
            task = asyncio.create_task(self.send(gateway, f"{gateway.name}-{number}"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    async def send(self, gateway: Gateway, request_id: str) -> None:
        """Send one request."""
        headers = (
            ("Host", "desk.example"),
            ("X-Wisteriagw-Request-Id", request_id),
            ("X-Wisteriagw-Deadline-Ms", "1000"),
            ("Authorization", f"Token {KEY}"),
        )
        at = time.monotonic()
        self.sent_at[request_id] = (at, gateway.name)
        self.record.add(f"{request_id} sent to {gateway.name}")
        answer = await send_request(
            gateway.front, "GET", "/sheet/1", headers, timeout=1.5
        )
        self.record.add(f"{request_id} answered {answer.status}")

    def judge(self, silent_at: float, left_at: float) -> int:
        """Return whether a request reached the worker that had left."""
        in_touch_from = silent_at + CONTACT_SECONDS + MARGIN_SECONDS
        bound = left_at + DRAIN_SECONDS + MARGIN_SECONDS
        late = []
        for run in self.runs:
            sent_at, gateway = self.sent_at[run.request_id]
            self.record.add(f"{run.request_id} runs at {run.worker}", run.at)
            if run.worker != "w0" or run.at <= bound or sent_at <= in_touch_from:
                continue
            late.append((run, gateway))
        served = {run.worker for run in self.runs}
        for run, gateway in late:
            self.record.add(
                f"DRAIN: {run.request_id} of {gateway} reaches w0 "
                f"{run.at - left_at:.2f} s after its removal, "
                f"{run.at - silent_at:.2f} s after the channels fell silent",
                run.at,
            )
        print(f"{len(late)} requests reached w0 too late; served by {sorted(served)}")
        if len(served) < len(ZONES):
            return NOT_RUN
        return BROKEN if late else HELD

    def close(self) -> None:
        """End the processes and write the record."""
        for gateway in self.gateways:
            gateway.stop()
        self.record.write(pathlib.Path(__file__).with_name("record.txt"))
        self.folder.remove()


if __name__ == "__main__":
    sys.exit(run_case(Case))
