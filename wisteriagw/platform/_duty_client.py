"""Client of the platform's interface for usage reports and server orders."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from wisteriagw.outcomes import Done, MayHaveRun

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisteriagw.outcomes import Outcome

# The interface usually responds within milliseconds; the holder of the authority must
# not wait past the end of its lease.
CALL_TIMEOUT_SECONDS = 0.8
NONE_AVAILABLE = 409


class DutyClient:
    """Sends the reports and orders that only the holder of the authority may send."""

    def __init__(self, client: Any, address: tuple[str, int], vm: str) -> None:
        self._client = client
        self._address = address
        self._vm = vm

    async def report_usage(
        self, window: int, counts: Mapping[str, int], fencing_number: int
    ) -> Outcome:
        """Report the number of requests of each customer in a window."""
        fields = {"window_id": window, "counts": dict(counts)}
        return await self._send("/usage", fields, fencing_number)

    async def order_servers(
        self,
        service: str,
        data_centre: str,
        count: int,
        reclaimable: bool,
        fencing_number: int,
    ) -> Outcome:
        """Set the desired number of servers of a service in a data centre."""
        fields: dict[str, Any] = {
            "service": service,
            "zone": data_centre,
            "desired": count,
        }
        if reclaimable:
            fields["spot"] = True
        return await self._send("/scale", fields, fencing_number)

    async def order_stage(
        self,
        address: tuple[str, int],
        server: str,
        stage: str,
        fencing_number: int,
    ) -> Outcome:
        """Order an engine to switch to another stage."""
        fields = {
            "op": "stage",
            "stage": stage,
            "owner": self._vm,
            "fence_token": fencing_number,
        }
        headers = (
            (b"content-type", b"application/json"),
            (b"x-wisteriagw-expect-instance", server.encode("latin-1")),
        )
        return await self._client.send(
            address,
            "POST",
            "/order",
            json.dumps(fields).encode("utf-8"),
            CALL_TIMEOUT_SECONDS,
            headers,
        )

    async def _send(
        self, target: str, fields: dict[str, Any], fencing_number: int
    ) -> Outcome:
        headers = (
            (b"content-type", b"application/json"),
            (b"x-wisteriagw-duty-holder", self._vm.encode("utf-8")),
            (b"x-wisteriagw-fence-token", b"%d" % fencing_number),
        )
        body = json.dumps(fields).encode("utf-8")
        return await self._client.send(
            self._address, "POST", target, body, CALL_TIMEOUT_SECONDS, headers
        )


def is_done(outcome: Outcome) -> bool:
    """Return whether a call succeeded."""
    return isinstance(outcome, Done) and 200 <= outcome.status < 300


def is_unknown(outcome: Outcome) -> bool:
    """Return whether it is unknown if a call had an effect."""
    return isinstance(outcome, MayHaveRun)


def is_none_available(outcome: Outcome) -> bool:
    """Return whether none of the ordered servers is available at the moment."""
    return isinstance(outcome, Done) and outcome.status == NONE_AVAILABLE
