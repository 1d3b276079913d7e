"""Command line of the policy benchmark."""

from __future__ import annotations

import argparse
import json
import sys

from wisteriagw.measure._deployment import DEPLOYMENTS
from wisteriagw.measure._evaluation import evaluate
from wisteriagw.measure._policy import POLICIES
from wisteriagw.measure._scenarios import SCENARIOS, build_scenario
from wisteriagw.measure._simulation import Simulation

DAY = "day"


def build_parser() -> argparse.ArgumentParser:
    """Return the command line parser."""
    parser = argparse.ArgumentParser(
        "wisteriagw-measure",
        description="Benchmarks routing policies on simulated servers in virtual time.",
    )
    parser.add_argument("scenario", choices=[*SCENARIOS, DAY])
    parser.add_argument("--policy", choices=list(POLICIES), default="wisteriagw")
    parser.add_argument("--deployment", choices=list(DEPLOYMENTS), default="suva")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, help="model workers")
    parser.add_argument("--entries", type=int, help="entry VMs")
    parser.add_argument("--load", type=float, help="offered load relative to capacity")
    parser.add_argument("--report", metavar="DIR", help="write a page with plots")
    return parser


def main(arguments: list[str] | None = None) -> None:
    """Run one scenario and print its figures as one JSON line."""
    options = build_parser().parse_args(arguments)
    deployment = DEPLOYMENTS[options.deployment]
    if options.workers:
        deployment = deployment._replace(workers=options.workers)
    if options.entries:
        deployment = deployment._replace(entries=options.entries)
    scenario = build_scenario(options.scenario, options.load)
    policy = POLICIES[options.policy]
    simulation = Simulation(scenario, policy, deployment, options.seed)
    simulation.run()
    figures = evaluate(simulation)
    figures["scenario"] = options.scenario
    figures["deployment"] = options.deployment
    figures["seed"] = options.seed
    figures["load"] = options.load
    if options.report:
        from wisteriagw.measure._report_page import write_report

        write_report(options.report, simulation, figures)
    sys.stdout.write(json.dumps(figures) + "\n")
