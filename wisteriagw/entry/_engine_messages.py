"""Requests to an engine, and parsing of its errors."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any
from urllib.parse import quote, urlencode

from twisted.internet.defer import inlineCallbacks

from wisteriagw.http import BodyCollector, read_refusal
from wisteriagw.outcomes import MayHaveRun

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.backends import GenerateRequest, StreamPosition
    from wisteriagw.entry._generation_plan import GenerationPlan
    from wisteriagw.outcomes import Outcome

MAX_ERROR_BYTES = 64 * 1024
ERROR_BODY_SECONDS = 2.0


def encode_generate_request(
    plan: GenerationPlan, position: StreamPosition, generated: str, priority: int
) -> bytes:
    """Return the body of a request for a generation, or for the rest of one."""
    body: GenerateRequest = {
        "request_id": plan.request_id,
        "attempt": position.attempt.decode("ascii"),
        "customer": plan.customer,
        "model": plan.chat.model,
        "adapter": plan.chat.adapter,
        "prompt": plan.chat.prompt,
        "max_tokens": plan.chat.max_tokens,
        "priority": priority,
        "generated": generated,
        "first_index": position.next_index,
    }
    return json.dumps(body).encode("utf-8")


def encode_cancel(plan: GenerationPlan, position: StreamPosition) -> bytes:
    """Return the body of a request that cancels a generation."""
    body = {
        "request_id": plan.request_id,
        "customer": plan.customer,
        "attempt": position.attempt.decode("ascii"),
    }
    return json.dumps(body).encode("utf-8")


def build_resume_path(plan: GenerationPlan, position: StreamPosition) -> str:
    """Return the path that reads a generation from a position onwards."""
    query = urlencode(
        {
            "customer": plan.customer,
            "attempt": position.attempt.decode("ascii"),
            "from": position.next_index,
        }
    )
    return f"/requests/{quote(plan.request_id, safe='')}?{query}"


@inlineCallbacks
def read_engine_error(
    response: Any, reactor: Any
) -> Generator[Deferred[Any], Any, Outcome]:
    """Return the outcome that an error response of an engine represents."""
    collector = BodyCollector(MAX_ERROR_BYTES)
    response.deliverBody(collector)
    collector.finished.addTimeout(ERROR_BODY_SECONDS, reactor)
    reason = f"the engine responded with status {response.code}"
    try:
        content = yield collector.finished
    except Exception as error:
        return MayHaveRun(f"{reason}: {error}")
    return read_refusal(response.code, content) or MayHaveRun(reason)
