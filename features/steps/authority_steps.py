"""Steps of the scenarios on authority."""

from __future__ import annotations

import json
import time
import urllib.request

import cbor2
from behave import given, then, when

from wisteriagw.records import SheetPublished, encode_record

# Term and margin of the lease are 13 s; the rest allows for a loaded machine.
TAKEOVER_TIMEOUT_SECONDS = 40.0
ORDER_TIMEOUT_SECONDS = 20.0
ENGINES = {"checks fencing": "engine-fenced", "does not check": "engine-unfenced"}


def wait_for(what: str, seconds: float, check):
    """Poll a check and return its first true result."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        result = check()
        if result:
            return result
        time.sleep(0.1)
    raise AssertionError(f"not within {seconds} s: {what}")


def start_control(context, number: int) -> None:
    """Start the control process of a VM on its reserved address."""
    addresses = context.programs.addresses
    context.programs.start(
        f"control-{number}",
        "wisteriagw-control",
        *("--vm", f"vm-{number}", "--data-centre", f"dc{number}"),
        *("--listen", addresses[f"control-{number}"]),
        *("--log", addresses["log"], "--vm-list", addresses["vms"]),
        *("--plan-seconds", "0.5"),
    )


def find_holder(context, other_than: str = "") -> tuple[str, int] | None:
    """Return the name and the fencing number of the holder."""
    for name in ("control-1", "control-2"):
        if name == other_than or context.programs.processes[name].poll() is not None:
            continue
        status = json.loads(context.programs.call(name, "GET", "/status")[1])
        if status["holds_authority"]:
            return name, status["fencing_number"]
    return None


def read_engine(context, name: str, path: str = "/state") -> dict:
    """Return a JSON document from an engine."""
    return json.loads(context.programs.call(name, "GET", path)[1])


@given(
    "control processes on {vms:d} VMs with an engine that checks fencing and one that "
    "does not"
)
def step_start_control(context, vms: int) -> None:
    programs = context.programs
    programs.start("log", "wisteriagw-standin-log", "--listen", programs.reserve("log"))
    listen = programs.reserve("vms")
    programs.start(
        "vms", "wisteriagw-standin-vms", "--listen", listen, "--lag-seconds", "0"
    )
    for name, checks in (("engine-fenced", "true"), ("engine-unfenced", "false")):
        arguments = ("--listen", programs.reserve(name), "--checks-fencing", checks)
        programs.start(
            name, "wisteriagw-standin-engine", *arguments, "--change-seconds", "1"
        )
    for name in ("log", "vms", "engine-fenced", "engine-unfenced"):
        programs.wait_until_listening(name)
    for number in range(1, vms + 1):
        vm = {"name": f"vm-{number}", "data_centre": "dc1", "host": "127.0.0.1"}
        programs.call("vms", "POST", "/vms", {**vm, "leaving": False})
        programs.reserve(f"control-{number}")
        start_control(context, number)
    for number in range(1, vms + 1):
        programs.wait_until_listening(f"control-{number}")
    context.holder = wait_for("a holder", 10.0, lambda: find_holder(context))


@when("the holder of the authority is {how}")
def step_end_holder(context, how: str) -> None:
    process = context.programs.processes[context.holder[0]]
    if how == "killed":
        process.kill()
        process.wait()
        return
    process.terminate()
    assert process.wait(15) == 0


@then("another control process holds it under a newer fencing number")
def step_check_takeover(context) -> None:
    old_name, old_number = context.holder
    _, number = wait_for(
        "a new holder", TAKEOVER_TIMEOUT_SECONDS, lambda: find_holder(context, old_name)
    )
    assert number > old_number


@when("the sheet assigns both engines the role {role}")
def step_publish(context, role: str) -> None:
    rows = []
    for name in ENGINES.values():
        row = {"name": name, "data_centre": "dc1", "kind": "engine", "serves": "m"}
        row["address"] = context.programs.addresses[name]
        row |= {"role": role, "reclaimable": False}
        rows.append({**row, "checks_fencing": name == "engine-fenced"})
    sheet = {"customers": [], "models": [], "backend_servers": rows, "routes": []}
    record = encode_record(SheetPublished(-1, sheet, "ann", "n"))
    url = f"http://{context.programs.addresses['log']}/streams/config"
    urllib.request.urlopen(urllib.request.Request(url, record), timeout=5).close()


@then("the engine that {kind} changes to the role {role}")
def step_check_role(context, kind: str, role: str) -> None:
    name = ENGINES[kind]
    wait_for(
        f"{name} as {role}",
        ORDER_TIMEOUT_SECONDS,
        lambda: read_engine(context, name)["role"] == role,
    )


@then("the engine that checks fencing refuses an order under the old fencing number")
def step_check_refusal(context) -> None:
    order = {"action": "change_role", "role": "decode", "order_id": "late"}
    order["fencing_number"] = context.holder[1]
    answer = context.programs.call("engine-fenced", "POST", "/orders", order)
    assert answer[0] == 409, answer
    assert json.loads(answer[1])["error"]["code"] == "old_fencing_number"


@then("the engine that does not check has received no order")
def step_check_nothing(context) -> None:
    # Longer than the settling time and several planning intervals.
    time.sleep(4)
    assert read_engine(context, "engine-unfenced")["last_order_id"] == ""


@when("the killed holder's control process starts again on the same address")
def step_restart(context) -> None:
    start_control(context, int(context.holder[0].removeprefix("control-")))


@then("neither engine has received a conflicting order")
def step_check_conflicts(context) -> None:
    for name in ENGINES.values():
        assert read_engine(context, name, "/conflicts")["conflicts"] == 0


@then("the audit trail names every order")
def step_check_audit(context) -> None:
    def read_subjects() -> set[str]:
        url = f"http://{context.programs.addresses['log']}/streams/audit?from=0"
        with urllib.request.urlopen(url, timeout=5) as response:
            records = cbor2.loads(response.read())["records"]
        entries = [cbor2.loads(data) for _, data in records]
        return {entry["subject"] for entry in entries if entry["result"] == "taken"}

    wait_for("audit", 5.0, lambda: read_subjects() == set(ENGINES.values()))
