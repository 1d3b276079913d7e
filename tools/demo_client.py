"""Client of the demo: streams a prompt and fails over when its entry VM is killed."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

from twisted.internet import task
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.protocol import Protocol

from wisteriagw.http import HttpClient
from wisteriagw.outcomes import Done
from wisteriagw.settings import AddressKind, parse_value

if TYPE_CHECKING:
    from collections.abc import Generator

MAX_TOKENS = 200
TOKENS_BEFORE_KILL = 20
USAGE_COPY_SECONDS = 1.5


class TokenReader(Protocol):
    """Collects the events of a stream until its connection ends."""

    def __init__(self, tokens: dict[int, str], on_token: Any) -> None:
        self.finished: Deferred[bool] = Deferred()
        self._tokens = tokens
        self._on_token = on_token
        self._buffer = b""
        self._complete = False

    def dataReceived(self, data: bytes) -> None:
        """Store each token by its index."""
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in events:
            if event == b"data: [DONE]":
                self._complete = True
            if not event.startswith(b"id: "):
                continue
            id_line, _, payload = event.partition(b"\ndata: ")
            index = int(id_line[4:])
            if index in self._tokens:
                raise ValueError(f"token {index} was received twice")
            chunk = json.loads(payload)
            self._tokens[index] = chunk["choices"][0]["delta"]["content"]
            self._on_token(len(self._tokens))

    def connectionLost(self, reason: Any) -> None:
        """Report whether the answer is complete."""
        self.finished.callback(self._complete)


def report_streaming(count: int) -> None:
    """Signal to the demo script that tokens are arriving."""
    if count == TOKENS_BEFORE_KILL:
        print("streaming", flush=True)


@inlineCallbacks
def run(reactor: Any, address: str, key: str) -> Generator[Deferred[Any], Any, None]:
    """Send the traffic of the demo and print a summary."""
    client = HttpClient(reactor)
    headers = {"authorization": f"Bearer {key}", "content-type": "application/json"}
    first = parse_value(AddressKind(), address)
    found = yield client.send(first, "GET", "/v1/addresses", headers=headers)
    addresses = [
        parse_value(AddressKind(), text) for text in json.loads(found.body)["addresses"]
    ]
    print(f"addresses: {len(addresses)}", flush=True)

    sheet = yield client.send(
        first, "GET", "/v1/services/levy/sheets/november", headers=headers
    )
    print(f"idempotent call: {sheet.status}", flush=True)
    call = {**headers, "idempotency-key": "adjustment-1"}
    adjustment = yield client.send(
        first, "POST", "/v1/services/levy/adjustments", b'{"stall": 7}', call
    )
    print(f"call that may not repeat: {adjustment.body.decode()}", flush=True)

    # A killed entry VM loses its last 0.5 s of usage; the first one is killed below.
    yield task.deferLater(reactor, USAGE_COPY_SECONDS)
    tokens: dict[int, str] = {}
    body = {
        "model": "ledger-7b",
        "messages": [{"role": "user", "content": "Summarise the quarter. " * 200}],
        "max_tokens": MAX_TOKENS,
        "stream": True,
    }
    opening, _ = client.open(
        addresses[0], "POST", "/v1/chat/completions", json.dumps(body).encode(), headers
    )
    response = yield opening
    handle = response.headers.getRawHeaders(b"wisteriagw-request")[0].decode()
    reader = TokenReader(tokens, report_streaming)
    response.deliverBody(reader)
    stream_complete = yield reader.finished
    failovers = 0
    for other in addresses[1:]:
        if stream_complete:
            break
        failovers += 1
        resume = {**headers, "last-event-id": str(max(tokens, default=-1))}
        opening, _ = client.open(other, "GET", f"/v1/requests/{handle}", None, resume)
        response = yield opening
        reader = TokenReader(tokens, report_streaming)
        response.deliverBody(reader)
        stream_complete = yield reader.finished
    print("".join(tokens[index] for index in sorted(tokens))[:160] + "...")
    runs = yield client.send(("127.0.0.1", 7831), "GET", "/runs")
    complete = stream_complete and sorted(tokens) == list(range(MAX_TOKENS))
    once = isinstance(runs, Done) and set(json.loads(runs.body).values()) == {1}
    print(f"moved to another entry VM: {failovers} time(s)")
    print(f"tokens received once and in order: {len(tokens)} of {MAX_TOKENS}")
    print(f"adjustment ran exactly once: {once}")
    print(
        "demo passed" if complete and once and failovers else "demo failed", flush=True
    )
    if not (complete and once and failovers):
        sys.exit(1)


if __name__ == "__main__":
    task.react(run, sys.argv[1:])
