"""Command line of the soak."""

from __future__ import annotations

import argparse
import json
import pathlib
import sys
import tempfile

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from tests.soak._caller import Callers
from tests.soak._checks import check_usage, list_faults
from tests.soak._faults import Faults
from tests.soak._fleet import Fleet
from wisteriagw.clocks import read_boot_time

START_SECONDS = 2.5
SETTLE_SECONDS = 13.0
FAULT_GAP_SECONDS = (0.2, 2.0)


async def run_seed(reactor, options, seed: int) -> list[str]:
    """Run the programs with the faults of a seed and return what was broken."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    fleet = Fleet(reactor, folder, options.vms, seed)
    fleet.start_platform()
    try:
        await deferLater(reactor, 1.0)
        faults = Faults(reactor, fleet)
        await faults.publish()
        for vm in sorted(fleet.fronts):
            fleet.start_vm(vm)
        await deferLater(reactor, START_SECONDS)
        callers = Callers(reactor, fleet, options.callers)
        await disturb(reactor, fleet, faults, options.seconds)
        callers.stopping = True
        await deferLater(reactor, options.settle)
        outcome = await faults.call("GET", "/seen")
        seen = json.loads(outcome.body)
        lost = any(one.startswith(("kill", "pause")) for one in faults.history)
        stopped = lost or any("terminate" in one for one in faults.history)
        found = list_faults(callers.ended, seen, faults.withdrawn, stopped)
        found += check_usage(callers.ended, seen, lost or options.settle < 12)
        served = sum(one.status == 200 for one in callers.ended)
        print(
            f"seed {seed}: {len(callers.ended)} requests, {served} served, "
            f"{len(seen['runs'])} runs, {len(seen['reports'])} duty calls, "
            f"{len(found)} broken; faults: {'; '.join(faults.history)}"
        )
        if not served:
            found.append("nothing was served")
        for one in found:
            print(f"seed {seed}: {one} (logs in {folder})")
        return found
    finally:
        fleet.close()


async def disturb(reactor, fleet, faults: Faults, seconds: float) -> None:
    """Inject faults for some seconds; they overlap."""
    end = reactor.seconds() + seconds
    running = []
    while reactor.seconds() < end:
        await deferLater(reactor, fleet.fault_random.uniform(*FAULT_GAP_SECONDS))
        running.append(Deferred.fromCoroutine(faults.inject()))
    for one in running:
        await one


def main() -> None:
    """Run a range of seeds; the exit status tells whether any broke a promise."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="Seeds from the first on.")
    parser.add_argument("--seconds", type=float, default=10.0, help="Of faults.")
    parser.add_argument("--settle", type=float, default=SETTLE_SECONDS)
    parser.add_argument("--vms", type=int, default=3)
    parser.add_argument("--callers", type=int, default=6)
    options = parser.parse_args()
    from twisted.internet import reactor

    reactor.seconds = read_boot_time
    broken: list[str] = []

    async def run_all() -> None:
        try:
            for seed in range(options.seed, options.seed + options.seeds):
                broken.extend(await run_seed(reactor, options, seed))
        except Exception as error:
            broken.append(f"the soak failed: {error!r}")
            print(broken[-1])
        reactor.stop()

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(run_all()))
    reactor.run()
    sys.exit(1 if broken else 0)


main()
