"""Measures the cost of membership for a node, for full and split meshes.

Usage: bench_membership.py (takes about a minute; one process, loopback only).
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from typing import Any, NamedTuple

from twisted.internet import task
from twisted.internet.defer import Deferred, inlineCallbacks
from websockets.client import ClientProtocol
from websockets.uri import parse_uri

from wisteriagw.clients import VmEntry
from wisteriagw.config import apply_record, build_empty_config
from wisteriagw.follower import RecordHistory, StreamFollower
from wisteriagw.membership import Membership, build_membership
from wisteriagw.mesh import Mesh, PeerAddress
from wisteriagw.mesh._frame_protocol import MAX_FRAME_BYTES, FrameProtocol
from wisteriagw.messages import Heartbeat, encode_message

MESSAGES = 2000
MESSAGE_INTERVAL_SECONDS = 0.001
WARM_UP_SECONDS = 5
MEASURED_SECONDS = 3
# WebSocket overhead: 2 bytes of header, 2 more above 125 bytes, and 4 of mask.
FRAME_BYTES = 8
INCARNATION = 1_800_000_000
# Limits of the design page for all control work of a node.
MAX_SHARE, MAX_BYTES = 0.035, 7000


class NodeCost(NamedTuple):
    """Cost of one node per second."""

    messages: float
    total_bytes: float
    decision_seconds: float


class Network:
    """Delivers messages between memberships in memory and counts them by sender."""

    def __init__(self, vms: int, data_centres: int) -> None:
        # Starts at eleven days of uptime: a time in milliseconds then takes 5 bytes.
        self.now = 1e6
        self.queue: list[tuple[str, str, Any]] = []
        self.messages: dict[str, int] = {}
        self.sent_bytes: dict[str, int] = {}
        self.received_bytes: dict[str, int] = {}
        self.seconds: dict[str, float] = {}
        entries = [
            VmEntry(f"vm-{n:03}", f"dc{n % data_centres:02}", "127.0.0.1", False)
            for n in range(vms)
        ]
        self.nodes = {entry.name: self._build(entry, entries) for entry in entries}

    def _build(self, entry: VmEntry, entries: list[VmEntry]) -> Membership:
        history = RecordHistory(1_000_000)
        follower = StreamFollower(
            None,
            "config",
            build_empty_config(),
            apply_record,
            lambda: self.now,
            history,
        )
        follower.last_tip_read_at = self.now
        state = build_membership(
            entry.name, entry.data_centre, entry.host, INCARNATION, self.now
        )

        def send(target: str, message: Any) -> None:
            self.queue.append((entry.name, target, message))

        node = Membership(state, follower, history, lambda: self.now, send)
        node.set_vm_list(entries)
        return node

    def run_second(self) -> None:
        """Run one tick of every node and deliver the messages."""
        self.now += 1.0
        for name, node in self.nodes.items():
            node.follower.last_tip_read_at = self.now
            started = time.process_time()
            node.tick()
            self._add_time(name, started)
        queue, self.queue = self.queue, []
        for sender, target, message in queue:
            size = len(encode_message(message)) + FRAME_BYTES
            self.messages[sender] = self.messages.get(sender, 0) + 1
            self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + size
            received = self.received_bytes.get(target, 0)
            self.received_bytes[target] = received + size
            started = time.process_time()
            self.nodes[target].handle(sender, message)
            self._add_time(target, started)

    def _add_time(self, name: str, started: float) -> None:
        spent = time.process_time() - started
        self.seconds[name] = self.seconds.get(name, 0.0) + spent


def measure_nodes(vms: int, data_centres: int) -> tuple[NodeCost, NodeCost]:
    """Return the mean cost of a node and the cost of the node that sends the most."""
    network = Network(vms, data_centres)
    for _ in range(WARM_UP_SECONDS):
        network.run_second()
    network.messages.clear()
    network.sent_bytes.clear()
    network.received_bytes.clear()
    network.seconds.clear()
    for _ in range(MEASURED_SECONDS):
        network.run_second()
    busiest_vm = max(network.sent_bytes, key=network.sent_bytes.get)
    mean = NodeCost(
        sum(network.messages.values()) / vms / MEASURED_SECONDS,
        2 * sum(network.sent_bytes.values()) / vms / MEASURED_SECONDS,
        sum(network.seconds.values()) / vms / MEASURED_SECONDS,
    )
    busiest = NodeCost(
        network.messages[busiest_vm] / MEASURED_SECONDS,
        (network.sent_bytes[busiest_vm] + network.received_bytes[busiest_vm])
        / MEASURED_SECONDS,
        network.seconds[busiest_vm] / MEASURED_SECONDS,
    )
    return mean, busiest


@inlineCallbacks
def measure_message_seconds(reactor: Any) -> Any:
    """Return the CPU time to send and receive one heartbeat over TCP, and its size."""
    sender, receiver = Mesh(reactor, "vm-1"), Mesh(reactor, "vm-2")
    port = receiver.listen("127.0.0.1", 0)
    finished: Deferred[None] = Deferred()
    count = 0

    def handle(vm: str, message: Any) -> None:
        nonlocal count
        count += 1
        if count == MESSAGES:
            finished.callback(None)

    receiver.subscribe(Heartbeat, handle)
    sender.set_peers([PeerAddress("vm-2", "127.0.0.1", port.getHost().port)])
    yield task.deferLater(reactor, 0.5)
    heartbeat = Heartbeat(
        "vm-001", "dc01", INCARNATION, 1000, False, True, 2700, 250, 2**63, 10**9,
        INCARNATION, 10**9, 10**9,
    )  # fmt: skip
    started = time.process_time()
    sending = task.LoopingCall(sender.send, "vm-2", heartbeat)
    sending.start(MESSAGE_INTERVAL_SECONDS)
    yield finished.addTimeout(60, reactor)
    spent = time.process_time() - started
    sending.stop()
    sender.close()
    yield port.stopListening()
    return spent / MESSAGES, len(encode_message(heartbeat)) + FRAME_BYTES


def measure_memory(vms: int, data_centres: int) -> tuple[float, float]:
    """Return the memory in bytes of a node's view and of one connection."""
    tracemalloc.start()
    network = Network(vms, data_centres)
    for _ in range(WARM_UP_SECONDS):
        network.run_second()
    network.queue.clear()
    view = tracemalloc.get_traced_memory()[0] / vms
    before = tracemalloc.get_traced_memory()[0]
    uri = parse_uri("ws://127.0.0.1:1/mesh/vm")
    connections = [
        FrameProtocol(ClientProtocol(uri, max_size=MAX_FRAME_BYTES), *[print] * 4)
        for _ in range(100)
    ]
    connection = (tracemalloc.get_traced_memory()[0] - before) / len(connections)
    tracemalloc.stop()
    return view, connection


def print_row(label: str, cost: NodeCost, message_seconds: float) -> None:
    """Print one row of the table."""
    share = cost.decision_seconds + cost.messages * message_seconds
    met = share <= MAX_SHARE and cost.total_bytes <= MAX_BYTES
    print(
        f"| {label} | {cost.messages:.0f} | {cost.total_bytes:.0f} | {share:.2%} | "
        f"{'yes' if met else 'no'} |",
        flush=True,
    )


@inlineCallbacks
def main(reactor: Any) -> Any:
    """Print all figures."""
    message_seconds, size = yield measure_message_seconds(reactor)
    print(f"heartbeat: {size} bytes on the wire, {message_seconds * 1e6:.0f} us")
    print("| mesh | messages/s sent | bytes/s both ways | core | within the limits |")
    print("| --- | --- | --- | --- | --- |")
    full = {}
    for vms in (8, 50, 100):
        full[vms], _ = measure_nodes(vms, 1)
        if vms != 100:
            print_row(f"full, {vms}", full[vms], message_seconds)
    slope = NodeCost(*((b - a) / 50 for a, b in zip(full[50], full[100], strict=True)))
    extrapolated = NodeCost(
        *(a + b * 310 for a, b in zip(full[100], slope, strict=True))
    )
    print_row("full, 410 (slope)", extrapolated, message_seconds)
    for vms, data_centres in ((50, 4), (410, 21)):
        mean, busiest = measure_nodes(vms, data_centres)
        print_row(f"split, {vms}, mean", mean, message_seconds)
        print_row(f"split, {vms}, busiest", busiest, message_seconds)
    view, connection = measure_memory(410, 21)
    print(f"memory: {view / 1024:.0f} KiB for the view of 410 VMs, ", end="")
    print(f"{connection / 1024:.1f} KiB for a connection; limit 32 MB")


if __name__ == "__main__":
    task.react(main, sys.argv[1:])
