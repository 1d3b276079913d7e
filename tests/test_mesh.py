"""Tests of the mesh."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock, StringTransport
from websockets.client import ClientProtocol
from websockets.uri import parse_uri

from wisteriagw.findings import Finding
from wisteriagw.mesh import Mesh, PeerAddress
from wisteriagw.mesh._backoff import MAX_BACKOFF_SECONDS, compute_backoff
from wisteriagw.mesh._frame_protocol import MAX_FRAME_BYTES
from wisteriagw.messages import (
    ConfigRecords,
    Heartbeat,
    ProbeRequest,
    decode_message,
    encode_message,
)
from wisteriagw.records import CustomerCreated, encode_record

ADDRESS = PeerAddress("vm-2", "127.0.0.2", 7860)
HEARTBEAT = Heartbeat("vm-1", "dc1", 5, 1, False, True, 7, 200, 2**63, 12_500)


class Transport(StringTransport):
    """Transport in memory that accepts the options of a TCP transport."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass


def connect(mesh: Mesh, reactor: MemoryReactorClock, peer: Mesh):
    """Connect a mesh to a peer in memory; return a function that moves the data."""
    mesh.set_peers([ADDRESS])
    client = reactor.tcpClients[-1][2].buildProtocol(None)
    server = peer._build_server_protocol()
    ends = [(client, Transport()), (server, Transport())]
    for protocol, transport in ends:
        protocol.makeConnection(transport)

    def pump() -> None:
        for _ in range(4):
            for (_, source), (target, _) in (ends, ends[::-1]):
                data = source.value()
                source.clear()
                if data:
                    target.dataReceived(data)

    pump()
    return pump, ends[0][1]


class TestMessageCodec:
    """Guards against invalid data that raises or is decoded as a message."""

    def test_messages_round_trip(self) -> None:
        for message in (HEARTBEAT, ConfigRecords(3, ([3, b"x"],)), ProbeRequest("a")):
            assert decode_message(encode_message(message)) == message

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(data=st.binary(max_size=200), cut=st.integers(0, 60))
    def test_any_bytes_give_a_message_or_a_finding(self, data, cut) -> None:
        encoded = encode_message(HEARTBEAT)
        for frame in (data, encoded[:cut] + data):
            message = decode_message(frame)
            assert isinstance(message, Finding | Heartbeat)

    def test_record_is_no_message(self) -> None:
        data = encode_record(CustomerCreated("a", "ann", "n"))
        assert isinstance(decode_message(data), Finding)


class TestMesh:
    """Guards against lost messages, unbounded buffers and missing reconnects."""

    def setup_method(self) -> None:
        self.reactor = MemoryReactorClock()
        self.one = Mesh(self.reactor, "vm-1")
        self.two = Mesh(self.reactor, "vm-2")
        self.received: list[tuple[str, object]] = []
        self.two.subscribe(Heartbeat, lambda *pair: self.received.append(pair))

    def test_message_arrives_with_its_sender(self) -> None:
        pump, _ = connect(self.one, self.reactor, self.two)
        assert self.one.send("vm-2", HEARTBEAT)
        assert not self.one.send("vm-3", HEARTBEAT)
        self.one.multicast(["vm-2", "vm-3"], HEARTBEAT)
        pump()
        assert self.received == [("vm-1", HEARTBEAT)] * 2
        assert self.one.counters.dropped_messages == 2

    def test_slow_peer_loses_messages(self) -> None:
        pump, transport = connect(self.one, self.reactor, self.two)
        transport.producer.pauseProducing()
        assert not self.one.send("vm-2", HEARTBEAT)
        transport.producer.resumeProducing()
        too_large = ConfigRecords(0, ([0, b"x" * MAX_FRAME_BYTES],))
        assert not self.one.send("vm-2", too_large)
        assert self.one.send("vm-2", HEARTBEAT)
        pump()
        assert self.received == [("vm-1", HEARTBEAT)]

    def test_invalid_frames_and_failing_handlers_are_counted(self) -> None:
        def fail(sender, message) -> None:
            raise ValueError("unusable")

        self.two.subscribe(ProbeRequest, fail)
        self.two.receive("vm-1", b"\xff")
        self.two.receive("vm-1", encode_message(ProbeRequest("vm-3")))
        self.two.receive("vm-1", encode_message(HEARTBEAT))
        assert self.two.counters.invalid_frames == 1
        assert self.two.counters.failed_handlers == 1
        assert self.received == [("vm-1", HEARTBEAT)]

    def test_text_and_oversized_frames_reach_no_handler(self) -> None:
        client = ClientProtocol(parse_uri("ws://127.0.0.2:7860/mesh/vm-1"))
        server, transport = self.two._build_server_protocol(), Transport()
        server.makeConnection(transport)
        client.send_request(client.connect())
        server.dataReceived(b"".join(client.data_to_send()))
        client.receive_data(transport.value())
        client.send_text(b"hello")
        client.send_binary(b"x" * (MAX_FRAME_BYTES + 1))
        server.dataReceived(b"".join(client.data_to_send()))
        assert self.two.counters.invalid_frames == 1
        assert self.two.counters.received_messages == 0
        assert transport.disconnecting

    def test_reconnects_after_a_loss_until_the_peer_is_removed(self) -> None:
        self.one.set_peers([ADDRESS])
        for attempts in (2, 3):
            factory = self.reactor.tcpClients[-1][2]
            factory.clientConnectionFailed(None, OSError("refused"))
            self.reactor.advance(MAX_BACKOFF_SECONDS)
            assert len(self.reactor.tcpClients) == attempts
        self.reactor.tcpClients[-1][2].clientConnectionFailed(None, OSError("refused"))
        self.one.set_peers([])
        self.reactor.advance(60)
        assert len(self.reactor.tcpClients) == 3


class TestBackoff:
    """Guards against simultaneous reconnects, or ones after the failure timeout."""

    def test_delays_grow_to_a_bound_and_differ(self) -> None:
        source = random.Random(1)
        delays = [compute_backoff(n, source.random()) for n in range(50)]
        assert delays[0] < 0.25
        assert max(delays) <= MAX_BACKOFF_SECONDS
        assert len(set(delays)) == len(delays)
