"""Generator and clients of the benchmark's streams, in one process.

Usage: bench_stream_driver.py entry|relay TARGET LISTEN MODEL KEY STREAMS SECONDS
"""

from __future__ import annotations

import json
import re
import sys
import time
from typing import Any

from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol

WARM_UP_SECONDS = 2.0
STREAM_PATTERN = re.compile(rb"stream (\d+);")
ATTEMPT_PATTERN = re.compile(rb'"attempt": "(\w+)"')
CHUNK = (
    b'{"id": "0123456789abcdef0123456789abcdef", "object": "chat.completion.chunk", '
    b'"created": 0, "model": "bench", "choices": [{"index": 0, "delta": '
    b'{"content": "token "}, "finish_reason": null}]}'
)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
HEAD += b"Transfer-Encoding: chunked\r\n\r\n"


class GeneratorStream(Protocol):
    """Sends a token when its client has received the previous one."""

    def __init__(self, streams: dict[int, GeneratorStream]) -> None:
        self._streams = streams
        self._data = b""
        self._attempt = b""
        self._index = 0

    def dataReceived(self, data: bytes) -> None:
        """Start the stream once the request is complete."""
        self._data += data
        stream = STREAM_PATTERN.search(self._data)
        attempt = ATTEMPT_PATTERN.search(self._data)
        if stream is None or attempt is None or not self._data.endswith(b"}"):
            return
        self._attempt, self._data = attempt[1], b""
        self._streams[int(stream[1])] = self
        self.transport.write(HEAD)
        self.send_token()

    def send_token(self) -> None:
        """Send the next token in one write."""
        event = b"id: %b/%d\ndata: %b\n\n" % (self._attempt, self._index, CHUNK)
        self._index += 1
        self.transport.write(b"%x\r\n%b\r\n" % (len(event), event))


class StreamClient(Protocol):
    """Counts the tokens of one stream."""

    def __init__(self, number: int, request: bytes, counts: list[int], streams: Any):
        self._number = number
        self._request = request
        self._counts = counts
        self._streams = streams

    def connectionMade(self) -> None:
        """Send the request."""
        self.transport.write(self._request)

    def dataReceived(self, data: bytes) -> None:
        """Count tokens and trigger the next one."""
        tokens = data.count(b"\ndata: {")
        if tokens:
            self._counts[0] += tokens
            self._streams[self._number].send_token()


def build_request(target: str, number: int, model: str, key: str) -> bytes:
    """Return a request to the entry or, through the relay, to the generator."""
    text = f"stream {number};"
    path, body = "/generate", {"attempt": f"a{number}", "prompt": text}
    if target == "entry":
        messages = [{"role": "user", "content": text}]
        path = "/v1/chat/completions"
        body = {"model": model, "messages": messages, "max_tokens": 32768}
        body["stream"] = True
    data = json.dumps(body).encode("utf-8")
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
    return f"{head}Content-Length: {len(data)}\r\n\r\n".encode("ascii") + data


def main(arguments: list[str]) -> None:
    """Run the streams for the given time and print the number of tokens."""
    target, address, listen, model, key, count, seconds = arguments
    streams: dict[int, GeneratorStream] = {}
    counts = [0]
    host, _, port = listen.rpartition(":")
    generators = Factory.forProtocol(lambda: GeneratorStream(streams))
    generators.noisy = False
    reactor.listenTCP(int(port), generators, interface=host)
    target_host, _, target_port = address.rpartition(":")
    for number in range(int(count)):
        request = build_request(target, number, model, key)
        client = StreamClient(number, request, counts, streams)
        endpoint = TCP4ClientEndpoint(reactor, target_host, int(target_port))
        connectProtocol(endpoint, client)
    started = [0.0]

    def begin() -> None:
        counts[0], started[0] = 0, time.monotonic()
        reactor.callLater(float(seconds), end)

    def end() -> None:
        elapsed = time.monotonic() - started[0]
        print(json.dumps({"tokens": counts[0], "seconds": elapsed}))
        reactor.stop()

    reactor.callLater(WARM_UP_SECONDS, begin)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
