"""Limits that backend servers named, as they bind this VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from wisteriagw.ratelimits import (
    Demand,
    TokenBucket,
    VmCounts,
    add_sample,
    find_share,
)

if TYPE_CHECKING:
    from wisteriagw.fleet import BackendServer, Fleet
    from wisteriagw.notices import NoticeTable
    from wisteriagw.placement import WorkTable

Process = tuple[str, int]

HASH_RANGE = 2.0**64


class RequestLimiter:
    """Shares the limit of each server between this VM and the others.

    Attributes
    ----------
    vms : VmCounts
        VMs among which limits are shared.
    """

    def __init__(self, table: NoticeTable, work: WorkTable, vm: str) -> None:
        self.vms = VmCounts(1, 1)
        self._vm = vm
        self._table = table
        self._work = work
        self._buckets: dict[Process, TokenBucket] = {}
        self._demand: dict[str, Demand] = {}

    def update(self, fleet: Fleet, now: float) -> None:
        """Adapt the shares to the demand; called several times a second."""
        limited = self._table.list_limited(fleet.servers)
        if not limited and not self._buckets:
            return
        names = {(server.name, server.born) for server in limited}
        for process in [known for known in self._buckets if known not in names]:
            del self._buckets[process]
        services = {server.service for server in limited}
        for service in [known for known in self._demand if known not in services]:
            del self._demand[service]
        for service in services:
            self._add_sample(service, fleet, now)
        for server in limited:
            self._set_share(server, now)

    def find_wait(self, server: BackendServer, now: float) -> float:
        """Return the seconds until this VM may send a server a request."""
        bucket = self._find_bucket(server, now)
        return 0.0 if bucket is None else bucket.find_wait(now)

    def take(self, server: BackendServer, now: float) -> None:
        """Count a request that is sent to a server."""
        bucket = self._find_bucket(server, now)
        if bucket is not None:
            bucket.take(now)

    def _find_bucket(self, server: BackendServer, now: float) -> TokenBucket | None:
        if self._table.get_rate_limit(server) is None:
            return None
        if (server.name, server.born) not in self._buckets:
            self._set_share(server, now)
        return self._buckets[server.name, server.born]

    def _set_share(self, server: BackendServer, now: float) -> None:
        limit = self._table.get_rate_limit(server)
        demand = self._demand.get(server.service)
        rate = find_share(limit, demand, self.vms)
        process = (server.name, server.born)
        if process not in self._buckets:
            since = min(now, self._table.find(server).rate_at)
            key = f"{server.name}\0{self._vm}".encode()
            level = xxhash.xxh3_64_intdigest(key) / HASH_RANGE
            self._buckets[process] = TokenBucket(since, level)
            self._buckets[process].set_rate(rate, since)
        self._buckets[process].set_rate(rate, now)

    def _add_sample(self, service: str, fleet: Fleet, now: float) -> None:
        names = {
            server.name
            for server in fleet.servers.values()
            if server.service == service
        }
        own = sum_streams(self._work.list_own_work(), names)
        total = sum_streams(self._work.sum_work(now), names)
        self._demand[service] = add_sample(self._demand.get(service), own, total, now)


def sum_streams(rows: list[tuple[str, float, float]], names: set[str]) -> float:
    """Return the open requests at some servers."""
    return sum(streams for name, _, streams in rows if name in names)
