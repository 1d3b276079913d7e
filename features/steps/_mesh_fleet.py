"""A fleet whose entry processes form a mesh."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

from features.steps._fleet import configure

if TYPE_CHECKING:
    from features.steps._programs import Programs

LINK = pathlib.Path(__file__).parent / "_tcp_link.py"


def start_mesh_fleet(programs: Programs, entries: int, *options: str) -> str:
    """Start stand-ins and entry processes on 127.0.0.1, 127.0.0.2 and so on."""
    for name in ("log", "engine", "service"):
        programs.start(
            name, f"wisteriagw-standin-{name}", "--listen", programs.reserve(name)
        )
    vms = programs.reserve("vms")
    programs.start("vms", "wisteriagw-standin-vms", "--listen", vms, "--lag-seconds=0")
    for name in ("log", "engine", "service", "vms"):
        programs.wait_until_served(name)
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
        programs.wait_until_served(f"operators-{number}")
    return configure(programs)


def start_link(programs: Programs, number: int) -> None:
    """Start the link of an entry VM to the log."""
    link = programs.reserve(f"link-{number}")
    ports = [link.rpartition(":")[2], programs.addresses["log"].rpartition(":")[2]]
    programs.start(f"link-{number}", "python", str(LINK), *ports)
    programs.wait_until_served(f"link-{number}")


def start_mesh_entry(
    programs: Programs, number: int, ports: list[str], *options: str
) -> None:
    """Start one entry process; all use the same ports on their own address."""
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
