"""Speeds of all backend servers, shared by all VMs."""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING

from wisteriagw.speeds._baseline import Baseline, update_baseline
from wisteriagw.speeds._service_speeds import find_log_speeds, limit_speed
from wisteriagw.speeds._speed_estimate import (
    MAX_LOG_RATIO,
    SpeedEstimate,
    add_sample,
    decay,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from wisteriagw.fleet import BackendServer
    from wisteriagw.speeds._speed_sample import SpeedSample
    from wisteriagw.sums import SumTable

TABLE = "speeds"
# The sums of the others are read this often at most, since that walks all rows. It is
# a tenth of the time in which a slow period must show.
REFRESH_SECONDS = 0.2
# Rows in an update; a VM sends to fewer servers within a few half-lives.
MAX_ROWS = 100
# Estimates of less weight are not sent: 4.3 s after a single answer.
MIN_SENT_WEIGHT = 0.05
# Parts of one in which numbers are sent: whole numbers take fewer bytes.
SENT_UNITS = 100
# Durations below the resolution of the clock count as this.
MIN_SECONDS = 1e-4
NO_SAMPLES = SpeedEstimate()
NO_SUMS = (0.0, 0.0)
NO_BASELINE = Baseline()


class SpeedTable:
    """Own samples by server and start of its process, added to those of all VMs."""

    def __init__(self, sums: SumTable) -> None:
        self._sums = sums
        self._own: dict[str, SpeedEstimate] = {}
        self._baselines: dict[tuple[str, str], Baseline] = {}
        self._others: dict[str, tuple[float, ...]] = {}
        self._others_at = float("-inf")
        self._speeds: dict[str, tuple[float, dict[str, float]]] = {}
        self._logs: dict[str, float] = {}
        sums.register(TABLE, self.list_rows)

    def record(self, sample: SpeedSample, now: float) -> None:
        """Add a sample of a good answer; failures and refusals are none."""
        key = build_key(sample.server)
        kind = (sample.server.service, sample.kind)
        measured = max(MIN_SECONDS, sample.measured)
        log_ratio = math.log(max(MIN_SECONDS, sample.expected) / measured)
        baseline = self._baselines.get(kind, NO_BASELINE)
        if baseline.is_known():
            self._own[key] = add_sample(
                self._own.get(key, NO_SAMPLES),
                log_ratio - baseline.mean,
                sample.weight,
                now,
            )
        self._baselines[kind] = update_baseline(baseline, log_ratio)

    def list_rows(self, now: float) -> list[tuple[str, tuple[int, int]]]:
        """Return the own rows for an update: server, sum of logarithms, weight.

        Both numbers are in hundredths.
        """
        decayed = {key: decay(estimate, now) for key, estimate in self._own.items()}
        self._own = {
            key: estimate
            for key, estimate in decayed.items()
            if estimate.weight >= MIN_SENT_WEIGHT
        }
        rows = [
            (key, (to_units(estimate.log_sum), to_units(estimate.weight)))
            for key, estimate in self._own.items()
        ]
        if len(rows) > MAX_ROWS:
            rows.sort(key=lambda row: row[1][1], reverse=True)
        return rows[:MAX_ROWS]

    def find_speeds(
        self, service: str, servers: Collection[BackendServer], now: float
    ) -> dict[str, float]:
        """Return the speeds other than 1 of a service's servers by name.

        Parameters
        ----------
        service : str
            Service.
        servers : collection of BackendServer
            All servers of the service.
        """
        found = self._speeds.get(service)
        if found is not None and now - found[0] < REFRESH_SECONDS:
            return found[1]
        if now - self._others_at >= REFRESH_SECONDS:
            self._others = self._sums.get_others(TABLE, now)
            self._others_at = now
        sums = {}
        for server in servers:
            key = build_key(server)
            own = decay(self._own.get(key, NO_SAMPLES), now)
            others = self._others.get(key, NO_SUMS)
            log_sum, weight = others if len(others) == 2 else NO_SUMS
            log_sum, weight = log_sum / SENT_UNITS, weight / SENT_UNITS
            # No sample counts further, so a greater sum is a fault of a peer.
            weight = max(0.0, weight)
            bound = MAX_LOG_RATIO * weight
            log_sum = min(bound, max(-bound, log_sum))
            sums[key] = (own.log_sum + log_sum, own.weight + weight)
        logs = find_log_speeds(sums)
        self._logs.update(logs)
        speeds = {}
        for server in servers:
            speed = limit_speed(logs[build_key(server)])
            if speed != 1.0:
                speeds[server.name] = speed
        self._speeds[service] = (now, speeds)
        return speeds

    def get_speed(self, server: BackendServer) -> float:
        """Return the speed of a server as of the latest placement."""
        return limit_speed(self._logs.get(build_key(server), 0.0))

    def remove_server(self, server: BackendServer) -> None:
        """Remove the state of a server that has ended or restarted."""
        key = build_key(server)
        self._own.pop(key, None)
        self._logs.pop(key, None)
        self._speeds.pop(server.service, None)


def to_units(value: float) -> int:
    """Return a number as it is sent."""
    return round(value * SENT_UNITS)


def build_key(server: BackendServer) -> str:
    """Return the key of a server; a restart under the same name has another one.

    A checksum, because each row of each update holds it. Of 1,500 servers any two have
    the same one with a probability of 0.0003; they would share their estimate.
    """
    return f"{zlib.crc32(f'{server.name} {server.born}'.encode()):x}"
