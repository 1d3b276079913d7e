"""A fleet whose entry processes form a mesh."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

from features.steps._fleet import configure

if TYPE_CHECKING:
    from features.steps._programs import Programs

LINK = pathlib.Path(__file__).parent / "_tcp_link.py"


def start_mesh_fleet(programs: Programs, entries: int, *options: str) -> str:
    """Start stand-ins, and entry process n on 127.0.0.n; return an API key."""
    for name in ("log", "engine", "service"):
        programs.start(
            name, f"wisteriagw-standin-{name}", "--listen", programs.reserve(name)
        )
    vms = programs.reserve("vms")
    programs.start("vms", "wisteriagw-standin-vms", "--listen", vms, "--lag-seconds=0")
    for name in ("log", "engine", "service", "vms"):
        programs.wait_until_listening(name)
    ports = [programs.reserve(name).rpartition(":")[2] for name in ("a", "b", "c")]
    for number in range(1, entries + 1):
        vm = {
            "name": f"vm-{number}",
            "data_centre": "dc1",
            "host": f"127.0.0.{number}",
            "leaving": False,
        }
        programs.call("vms", "POST", "/vms", vm)
        start_link(programs, number)
        start_mesh_entry(programs, number, ports, *options)
    for number in range(1, entries + 1):
        programs.wait_until_listening(f"operators-{number}")
    return configure(programs)


def start_link(programs: Programs, number: int) -> None:
    """Start the TCP forwarder between an entry VM and the log."""
    link = programs.reserve(f"link-{number}")
    ports = [link.rpartition(":")[2], programs.addresses["log"].rpartition(":")[2]]
    programs.start(f"link-{number}", "python", str(LINK), *ports)
    programs.wait_until_listening(f"link-{number}")


def start_mesh_entry(
    programs: Programs, number: int, ports: list[str], *options: str
) -> None:
    """Start entry process n on 127.0.0.n; all use the same ports."""
    host = f"127.0.0.{number}"
    caller, operator, mesh = (f"{host}:{port}" for port in ports)
    programs.addresses[f"entry-{number}"] = caller
    programs.addresses[f"operators-{number}"] = operator
    programs.mesh_ports = ports
    programs.start(
        f"entry-{number}",
        "wisteriagw-entry",
        f"--vm=vm-{number}",
        "--data-centre=dc1",
        f"--listen={caller}",
        f"--operator-listen={operator}",
        f"--mesh-listen={mesh}",
        f"--vm-list={programs.addresses['vms']}",
        f"--log={programs.addresses[f'link-{number}']}",
        *options,
    )
