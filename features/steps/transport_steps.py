"""Steps of the scenarios on certificates."""

from __future__ import annotations

import json
import os
import ssl
import subprocess
import tempfile
import time
import urllib.request

from behave import given, then, when

from features.steps._admin import run_admin
from features.steps._fleet_certificates import FleetCertificates
from features.steps._programs import BIN
from features.steps.end_to_end_steps import CHAT_PATH, build_prompt
from features.steps.membership_steps import step_start_mesh


@given("a mesh of {entries:d} entry VMs with certificates")
def step_start_with_certificates(context, entries: int) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    certificates = context.certificates = FleetCertificates(folder.name)
    context.programs.environment = certificates.environment
    context.programs.tls = {
        "entry": certificates.build_client(certificates.callers.path),
        "operators": certificates.build_client(certificates.fleet.path, "member"),
    }
    step_start_mesh(context, entries)


@then("connections are accepted or refused by their certificate")
def step_check_connections(context) -> None:
    operators = context.programs.addresses["operators-1"]
    mesh = f"127.0.0.1:{context.programs.mesh_ports[2]}"
    addresses = {"mesh": mesh, "operators": operators}
    for row in context.table:
        address = addresses[row["interface"]]
        accepted = context.certificates.is_accepted(address, row["certificate"])
        assert accepted == (row["result"] == "accepted"), row


@then("the operators' command ends with its exit code")
def step_run_command(context) -> None:
    for row in context.table:
        arguments = []
        if row["certificate"] != "none":
            certificate, key = context.certificates.paths[row["certificate"]]
            arguments = ["--fleet-certificate", certificate, "--fleet-key", key]
            arguments += ["--fleet-authority", context.certificates.fleet.path]
        code, _, errors = run_admin(context.programs, 1, "ann", *arguments, "fleet")
        assert code == int(row["code"]), (row, errors)


@then("an entry process with invalid files reports them all and does not start")
def step_start_unusable(context) -> None:
    paths = context.certificates.paths
    command = [str(BIN / "wisteriagw-entry"), "--vm=vm-9", "--data-centre=dc1"]
    command += ["--listen=127.0.0.1:1", "--operator-listen=0.0.0.0:1", "--log=x"]
    faults = {
        "WISTERIAGW_TLS_CERTIFICATE": paths["callers"][0],
        "WISTERIAGW_TLS_KEY": paths["member"][1],
        "WISTERIAGW_FLEET_CERTIFICATE": paths["member"][0],
        "WISTERIAGW_FLEET_KEY": paths["member"][1],
    }
    process = subprocess.run(
        command, env={**os.environ, **faults}, capture_output=True, text=True
    )
    assert process.returncode == 2, process
    for place in ("log", "operator-listen", "tls-certificate", "fleet-authority"):
        assert f"--{place}" in process.stderr, process.stderr


@when("a caller streams {tokens:d} tokens from entry VM {number:d}")
def step_stream(context, tokens: int, number: int) -> None:
    body = {**build_prompt("ledger", tokens), "stream": True}
    request = urllib.request.Request(
        f"https://{context.programs.addresses[f'entry-{number}']}{CHAT_PATH}",
        json.dumps(body).encode("utf-8"),
        {"Authorization": f"Bearer {context.key}"},
    )
    tls = context.programs.tls["entry"]
    context.stream = urllib.request.urlopen(request, timeout=20, context=tls)
    context.started = context.stream.readline()


@when("all certificates are replaced")
def step_replace(context) -> None:
    addresses = context.programs.addresses
    context.old_certificates = {
        name: context.certificates.read_server_certificate(addresses[name])
        for name in ("entry-1", "operators-1")
    }
    context.certificates.replace()


@then("entry VM {number:d} presents its new certificates within {seconds:d} s")
def step_check_shown(context, number: int, seconds: int) -> None:
    deadline = time.monotonic() + seconds
    for name, old in context.old_certificates.items():
        while (
            context.certificates.read_server_certificate(
                context.programs.addresses[name]
            )
            == old
        ):
            assert time.monotonic() < deadline, f"{name} shows the old certificate"
            time.sleep(0.1)


@then("the stream is complete with {tokens:d} tokens")
def step_check_stream(context, tokens: int) -> None:
    try:
        received = context.started + context.stream.read()
    except ssl.SSLError as error:
        raise AssertionError(f"the stream was cut: {error}") from error
    assert received.rstrip().endswith(b"data: [DONE]")
    # The closing chunk and the [DONE] mark have data lines too.
    assert received.count(b"data: ") == tokens + 2
