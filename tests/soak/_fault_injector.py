"""Faults of a soak, drawn from a seed."""

from __future__ import annotations

import json
import signal

from twisted.internet.task import deferLater

from tests.soak._fleet import CUSTOMERS, build_configuration
from wisteriagw.connections import CallClient, ConnectionPool
from wisteriagw.outcomes import Done

FAULT_KINDS = (
    "kill",
    "terminate",
    "pause",
    "silence",
    "one_way",
    "reset",
    "delay",
    "store_down",
    "store_loses",
    "answers_lost",
    "refusals",
    "leaving",
    "configuration",
)
MAX_FAULT_SECONDS = 3.0
MAX_COPY_AGE_SECONDS = 10.0
PUBLISH_RETRY_SECONDS = 0.2


class FaultInjector:
    """Injects faults from outside the processes; several faults may overlap.

    Attributes
    ----------
    history : list of str
        Injected faults in order.
    withdrawn : dict of str to float
        When the keys of customers were withdrawn.
    """

    def __init__(self, reactor, fleet) -> None:
        self.history: list[str] = []
        self.withdrawn: dict[str, float] = {}
        self._reactor = reactor
        self._fleet = fleet
        self._calls = CallClient(reactor, ConnectionPool(reactor))
        self._version = 1

    async def publish(self, customers=CUSTOMERS) -> None:
        """Publish the next version of the configuration."""
        self._version += 3
        body = build_configuration(self._version, customers)
        while not isinstance(await self.call("POST", "/configuration", body), Done):
            # The stand-in may not listen yet.
            await deferLater(self._reactor, PUBLISH_RETRY_SECONDS)

    async def call(self, method: str, path: str, body: bytes = b""):
        """Call the stand-in directly, without a proxy."""
        address = ("127.0.0.1", self._fleet.platform)
        return await self._calls.send(address, method, path, body, timeout=3.0)

    async def set_faults(self, **faults) -> None:
        """Set the faults of the stand-in."""
        await self.call("POST", "/faults", json.dumps(faults).encode())

    async def inject(self) -> None:
        """Inject one random fault; lasting ones end after a random time."""
        random = self._fleet.fault_random
        kind = random.choice(FAULT_KINDS)
        vm = random.choice(sorted(self._fleet.front_ports))
        seconds = random.uniform(0.3, MAX_FAULT_SECONDS)
        self.history.append(f"{kind} {vm} {seconds:.1f}")
        if kind in ("kill", "terminate"):
            signal_number = signal.SIGKILL if kind == "kill" else signal.SIGTERM
            self._fleet.send_signal(vm, signal_number)
        elif kind == "pause":
            self._fleet.send_signal(vm, signal.SIGSTOP)
            await deferLater(self._reactor, seconds)
            self._fleet.send_signal(vm, signal.SIGCONT)
        elif kind in ("silence", "one_way", "reset", "delay"):
            await self._inject_proxy_fault(kind, vm, seconds)
        elif kind == "store_down":
            await self.set_faults(down=True)
            await deferLater(self._reactor, seconds)
            await self.set_faults(down=False)
        else:
            await self._inject_platform_fault(kind, random, seconds)

    async def restore_store(self, within: float) -> None:
        """Let the store come back older at a random time, after a short outage."""
        random = self._fleet.restore_random
        await deferLater(self._reactor, random.uniform(0.0, within))
        seconds = random.uniform(0.3, MAX_FAULT_SECONDS)
        age = random.uniform(seconds, MAX_COPY_AGE_SECONDS)
        self.history.append(f"restore {age:.1f} {seconds:.1f}")
        await self.set_faults(down=True)
        await deferLater(self._reactor, seconds)
        await self.set_faults(restore=age, down=False)

    async def _inject_proxy_fault(self, kind: str, vm: str, seconds: float) -> None:
        proxy = self._fleet.proxies[vm]
        if kind == "reset":
            proxy.reset()
        elif kind == "delay":
            proxy.delay = 0.3
        else:
            proxy.mode = kind
        await deferLater(self._reactor, seconds)
        proxy.mode, proxy.delay = "pass", 0.0

    async def _inject_platform_fault(self, kind: str, random, seconds: float) -> None:
        if kind == "store_loses":
            await self.set_faults(lose=random.randint(1, 3))
        elif kind == "answers_lost":
            await self.set_faults(lose_answers={"desk-1": 2, "engine-1": 2})
        elif kind == "refusals":
            await self.set_faults(refuse={"desk-2": 2, "reader-1": 2, "engine-2": 1})
        elif kind == "leaving":
            await self.set_faults(gone=["desk-1", "engine-2"], limit={"desk-2": 8.0})
            await deferLater(self._reactor, seconds + 1.0)
            await self.set_faults(gone=[], limit={"desk-2": None})
        else:
            customers = CUSTOMERS
            if "t-3" in self.withdrawn or random.random() < 0.5:
                self.withdrawn.setdefault("t-3", float("inf"))
                customers = CUSTOMERS[:2]
            await self.publish(customers)
            if customers != CUSTOMERS:
                now = self._reactor.seconds()
                self.withdrawn["t-3"] = min(now, self.withdrawn["t-3"])
