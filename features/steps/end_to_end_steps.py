"""Steps of the end-to-end scenarios."""

from __future__ import annotations

import json

from behave import given, then, when

from features.steps._fleet import start_fleet

CHAT_PATH = "/v1/chat/completions"


@given("a fleet with {entries:d} entry VMs")
def step_start_fleet(context, entries: int) -> None:
    context.key = start_fleet(context.programs, entries)


@when("a caller sends a prompt for {tokens:d} tokens to entry VM {number:d}")
def step_send_prompt(context, tokens: int, number: int) -> None:
    context.answer = context.programs.call(
        f"entry-{number}",
        "POST",
        CHAT_PATH,
        build_prompt("ledger", tokens),
        Authorization=f"Bearer {context.key}",
    )


@when("a caller sends a {fault} to entry VM {number:d}")
def step_send_faulty(context, fault: str, number: int) -> None:
    method, path, body = "POST", CHAT_PATH, build_prompt("ledger", 5)
    key = context.key
    if fault == "prompt without key":
        key = "none"
    if fault == "malformed body":
        body = ["not", "an", "object"]
    if fault == "unknown model":
        body = build_prompt("other", 5)
    if fault == "unknown service":
        method, path, body = "GET", "/v1/services/other/sheets", None
    context.answer = context.programs.call(
        f"entry-{number}", method, path, body, Authorization=f"Bearer {key}"
    )


@then("the answer has the status {status:d} and {tokens:d} tokens")
def step_check_answer(context, status: int, tokens: int) -> None:
    assert context.answer[0] == status, context.answer
    answer = json.loads(context.answer[1])
    content = answer["choices"][0]["message"]["content"].split()
    assert len(content) == tokens, content
    assert answer["usage"]["completion_tokens"] == tokens


@then("the answer has the status {status:d}, the code {code} and reports not run")
def step_check_refusal(context, status: int, code: str) -> None:
    assert context.answer[0] == status, context.answer
    error = json.loads(context.answer[1])["error"]
    assert error["code"] == code
    assert error["not_run"] is True


def build_prompt(model: str, tokens: int) -> dict:
    """Return a chat completion request."""
    messages = [{"role": "user", "content": "How many visitors came yesterday?"}]
    return {"model": model, "messages": messages, "max_tokens": tokens}
