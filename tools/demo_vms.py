"""Registers the demo's entry VMs with the VM list stand-in.

Usage: demo_vms.py LIST_ADDRESS COUNT; VM number n has the address 127.0.0.n.
"""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

from twisted.internet import task
from twisted.internet.defer import inlineCallbacks

from wisteriagw.http import HttpClient
from wisteriagw.outcomes import Done
from wisteriagw.settings import AddressKind, parse_value

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred


@inlineCallbacks
def run(reactor: Any, address: str, count: str) -> Generator[Deferred[Any], Any, None]:
    """Add the VMs, or exit with status 1."""
    client = HttpClient(reactor)
    target = parse_value(AddressKind(), address)
    for number in range(1, int(count) + 1):
        vm = {
            "name": f"vm-{number}",
            "data_centre": f"dc{number}",
            "host": f"127.0.0.{number}",
            "leaving": False,
        }
        body = json.dumps(vm).encode("utf-8")
        outcome = yield client.send(target, "POST", "/vms", body)
        if not isinstance(outcome, Done) or outcome.status != 200:
            sys.exit(1)


if __name__ == "__main__":
    task.react(run, sys.argv[1:])
