"""Steps of the operators' scenarios."""

from __future__ import annotations

import http.client
import json
import tempfile
import time

from behave import then, when

from features.steps._admin import run_admin, start_admin
from features.steps._fleet import build_sheet, start_entry
from features.steps.end_to_end_steps import CHAT_PATH, build_prompt

STREAM_TOKENS = 3000
LOG_READ_TIMEOUT_SECONDS = 10.0


@then("publishing a sheet with one more row is rejected with the location of its fault")
def step_reject_sheets(context) -> None:
    for example in context.table:
        sheet = build_sheet(context.programs) + "\n" + example["row"]
        code, _, errors = publish(context, 1, "ann", sheet)
        assert code == 1, errors
        places = [line.partition(": ")[0] for line in errors.splitlines()[1:]]
        assert places == [example["place"]], errors


@then("the sheet in force is still the first one")
def step_check_sheet(context) -> None:
    fleet = read_fleet(context, 1)
    assert fleet["sheet_revision"] == 1, fleet


@when("ann at entry VM 1 and bob at entry VM 2 publish over the same revision")
def step_race(context) -> None:
    context.based_on = read_fleet(context, 1)["sheet_revision"]
    with tempfile.NamedTemporaryFile("w", suffix=".csv") as file:
        file.write(build_sheet(context.programs))
        file.flush()
        arguments = ("publish", file.name, "--based-on", str(context.based_on))
        publishers = {
            name: start_admin(context.programs, number, name, "--json", *arguments)
            for number, name in ((1, "ann"), (2, "bob"))
        }
        context.publications = {
            name: (*process.communicate(timeout=60), process.returncode)
            for name, process in publishers.items()
        }


@then("one is accepted and the other gets a conflict that names the winner")
def step_check_race(context) -> None:
    codes = {name: result[2] for name, result in context.publications.items()}
    assert sorted(codes.values()) == [0, 1], context.publications
    winner = min(codes, key=codes.get)
    loser = max(codes, key=codes.get)
    won = json.loads(context.publications[winner][0])
    error = json.loads(context.publications[loser][0])["error"]
    assert (error["code"], error["winner"]) == ("conflict", winner), error
    assert error["revision"] == won["revision"] > context.based_on


@when("a caller streams from entry VM 2 and its key is withdrawn at entry VM 1")
def step_withdraw(context) -> None:
    connection = http.client.HTTPConnection(
        context.programs.addresses["entry-2"], timeout=20
    )
    body = {**build_prompt("ledger", STREAM_TOKENS), "stream": True}
    headers = {"Authorization": f"Bearer {context.key}"}
    connection.request("POST", CHAT_PATH, json.dumps(body), headers)
    response = connection.getresponse()
    assert response.status == 200
    assert response.readline().startswith(b"id: 0")
    code, _, errors = run_admin(context.programs, 1, "ann", "withdraw-key", context.key)
    assert code == 0, errors
    context.withdrawn_at = time.monotonic()
    context.stream, context.stream_aborted = b"", False
    try:
        while data := response.read1(65536):
            context.stream += data
    except (http.client.IncompleteRead, ConnectionError):
        context.stream_aborted = True
    context.stream_aborted_at = time.monotonic()
    connection.close()


@then("the stream is aborted within {seconds:d} seconds")
def step_check_break(context, seconds: int) -> None:
    assert context.stream_aborted
    assert b"[DONE]" not in context.stream
    assert context.stream_aborted_at - context.withdrawn_at < seconds


@then("the key is refused at every entry VM")
def step_check_key(context) -> None:
    headers = {"Authorization": f"Bearer {context.key}"}
    for name in ("entry-1", "entry-2"):
        status, body = context.programs.call(
            name, "POST", CHAT_PATH, build_prompt("ledger", 5), **headers
        )
        assert (status, json.loads(body)["error"]["code"]) == (401, "invalid_key")


@when("entry VM 1 is killed and entry VM 2 starts")
def step_replace(context) -> None:
    process = context.programs.processes["entry-1"]
    process.kill()
    process.wait()
    start_entry(context.programs, 2, context.programs.addresses["log"])
    context.programs.wait_until_listening("entry-2")
    deadline = time.monotonic() + LOG_READ_TIMEOUT_SECONDS
    while read_health(context, 2)["config_read_age_seconds"] is None:
        assert time.monotonic() < deadline, "entry VM 2 has not read the log"
        time.sleep(0.05)


@when("the log goes down")
def step_log_down(context) -> None:
    context.programs.call("log", "POST", "/faults", {"down": True})


@when("the log comes back")
def step_log_up(context) -> None:
    context.programs.call("log", "POST", "/faults", {"down": False})


@when("the customer {customer} is created at entry VM {number:d}")
def step_create(context, customer: str, number: int) -> None:
    context.answer = context.programs.call(
        f"operators-{number}", "POST", "/v1/customers", {"customer": customer}
    )


@then("the customer {customer} is unknown at entry VM {number:d}")
def step_check_unknown(context, customer: str, number: int) -> None:
    deadline = time.monotonic() + LOG_READ_TIMEOUT_SECONDS
    while read_health(context, number)["config_read_age_seconds"] > 1.0:
        assert time.monotonic() < deadline, "the log was not read again"
        time.sleep(0.05)
    names = [entry["name"] for entry in read_fleet(context, number)["customers"]]
    assert names == ["market"]


def publish(context, number: int, operator: str, sheet: str) -> tuple[int, str, str]:
    """Publish a sheet with the operators' command."""
    with tempfile.NamedTemporaryFile("w", suffix=".csv") as file:
        file.write(sheet)
        file.flush()
        return run_admin(context.programs, number, operator, "publish", file.name)


def read_fleet(context, number: int) -> dict:
    """Return the fleet as reported by the operators' command."""
    code, output, errors = run_admin(context.programs, number, "ann", "--json", "fleet")
    assert code == 0, errors
    return json.loads(output)


def read_health(context, number: int) -> dict:
    """Return the health of an entry process."""
    return json.loads(context.programs.call(f"entry-{number}", "GET", "/healthz")[1])
