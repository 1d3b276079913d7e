"""Caller of the demo: streams a prompt and moves on when its entry VM dies."""

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
COPIED_SECONDS = 1.5


class TokenReader(Protocol):
    """Collects the events of a stream until its connection ends."""

    def __init__(self, tokens: dict[int, str], on_token: Any) -> None:
        self.finished: Deferred[bool] = Deferred()
        self._tokens = tokens
        self._on_token = on_token
        self._rest = b""
        self._whole = False

    def dataReceived(self, data: bytes) -> None:
        """Keep each token under its index."""
        *events, self._rest = (self._rest + data).split(b"\n\n")
        for event in events:
            if event == b"data: [DONE]":
                self._whole = True
            if not event.startswith(b"id: "):
                continue
            id_line, _, payload = event.partition(b"\ndata: ")
            index = int(id_line[4:])
            if index in self._tokens:
                raise ValueError(f"token {index} came twice")
            chunk = json.loads(payload)
            self._tokens[index] = chunk["choices"][0]["delta"]["content"]
            self._on_token(len(self._tokens))

    def connectionLost(self, reason: Any) -> None:
        """Tell whether the answer is whole."""
        self.finished.callback(self._whole)


def report_streaming(count: int) -> None:
    """Tell the demo script that tokens are arriving."""
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

    # Usage of the last 0.5 s dies with an entry VM, and the first one is killed below.
    yield task.deferLater(reactor, COPIED_SECONDS)
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
    whole = yield reader.finished
    moves = 0
    for other in addresses[1:]:
        if whole:
            break
        moves += 1
        resume = {**headers, "last-event-id": str(max(tokens, default=-1))}
        opening, _ = client.open(other, "GET", f"/v1/requests/{handle}", None, resume)
        response = yield opening
        reader = TokenReader(tokens, report_streaming)
        response.deliverBody(reader)
        whole = yield reader.finished
    print("".join(tokens[index] for index in sorted(tokens))[:160] + "...")
    runs = yield client.send(("127.0.0.1", 7831), "GET", "/runs")
    complete = whole and sorted(tokens) == list(range(MAX_TOKENS))
    once = isinstance(runs, Done) and set(json.loads(runs.body).values()) == {1}
    print(f"moved to another entry VM: {moves} time(s)")
    print(f"tokens received once and in order: {len(tokens)} of {MAX_TOKENS}")
    print(f"adjustment ran exactly once: {once}")
    print("demo passed" if complete and once and moves else "demo failed", flush=True)
    if not (complete and once and moves):
        sys.exit(1)


if __name__ == "__main__":
    task.react(run, sys.argv[1:])
