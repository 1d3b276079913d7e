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
from tests.soak._checks import check_usage, list_violations
from tests.soak._fault_injector import FaultInjector
from tests.soak._fleet import Fleet
from wisteriagw.clocks import read_boot_time

START_SECONDS = 2.5
SETTLE_SECONDS = 13.0
FAULT_GAP_SECONDS = (0.2, 2.0)


async def run_seed(reactor, options, seed: int) -> list[str]:
    """Run the programs with the faults of a seed and return the violations."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    fleet = Fleet(reactor, folder, options.vms, seed)
    fleet.start_platform()
    try:
        await deferLater(reactor, 1.0)
        injector = FaultInjector(reactor, fleet)
        await injector.publish()
        for vm in sorted(fleet.front_ports):
            fleet.start_vm(vm)
        await deferLater(reactor, START_SECONDS)
        callers = Callers(reactor, fleet, options.callers)
        restores = [
            Deferred.fromCoroutine(injector.restore_store(options.seconds))
            for _ in range(options.restores)
        ]
        await inject_faults(reactor, fleet, injector, options.seconds)
        for restore in restores:
            await restore
        callers.stopping = True
        await deferLater(reactor, options.settle)
        outcome = await injector.call("GET", "/seen")
        seen = json.loads(outcome.body)
        lost = any(
            fault.startswith(("kill", "pause", "restore")) for fault in injector.history
        )
        stopped = lost or any("terminate" in fault for fault in injector.history)
        violations = list_violations(
            callers.completed, seen, injector.withdrawn, stopped
        )
        violations += check_usage(callers.completed, seen, lost or options.settle < 12)
        served = sum(request.status == 200 for request in callers.completed)
        print(
            f"seed {seed}: {len(callers.completed)} requests, {served} served, "
            f"{len(seen['runs'])} runs, {len(seen['reports'])} duty calls, "
            f"{len(violations)} broken; faults: {'; '.join(injector.history)}"
        )
        if not served:
            violations.append("no request was served")
        for violation in violations:
            print(f"seed {seed}: {violation} (logs in {folder})")
        return violations
    finally:
        fleet.close()


async def inject_faults(
    reactor, fleet, injector: FaultInjector, seconds: float
) -> None:
    """Inject faults at random times for some seconds; faults may overlap."""
    end = reactor.seconds() + seconds
    injections = []
    while reactor.seconds() < end:
        await deferLater(reactor, fleet.fault_random.uniform(*FAULT_GAP_SECONDS))
        injections.append(Deferred.fromCoroutine(injector.inject()))
    for injection in injections:
        await injection


def main() -> None:
    """Run a range of seeds; exits with status 1 if any guarantee was violated."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="Number of consecutive seeds to run."
    )
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="Duration of the fault injection."
    )
    parser.add_argument("--settle", type=float, default=SETTLE_SECONDS)
    parser.add_argument("--vms", type=int, default=3)
    parser.add_argument("--callers", type=int, default=6)
    parser.add_argument(
        "--restores",
        type=int,
        default=0,
        help="Number of times that the store comes back from an older copy.",
    )
    options = parser.parse_args()
    from twisted.internet import reactor

    reactor.seconds = read_boot_time
    failures: list[str] = []

    async def run_all() -> None:
        try:
            for seed in range(options.seed, options.seed + options.seeds):
                failures.extend(await run_seed(reactor, options, seed))
        except Exception as error:
            failures.append(f"the soak failed: {error!r}")
            print(failures[-1])
        reactor.stop()

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(run_all()))
    reactor.run()
    sys.exit(1 if failures else 0)


main()
