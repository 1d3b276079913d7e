"""Tests of the policy benchmark, and of the policy in short scenarios."""

from __future__ import annotations

import json

import pytest

from wisteriagw.measure import main
from wisteriagw.measure._deployment import DEPLOYMENTS
from wisteriagw.measure._evaluation import (
    compute_max_min_shares,
    evaluate,
    meets_targets,
)
from wisteriagw.measure._offered_request import OfferedRequest
from wisteriagw.measure._phase import Phase
from wisteriagw.measure._policy import POLICIES
from wisteriagw.measure._request_trace import RequestTrace
from wisteriagw.measure._scenario import Scenario
from wisteriagw.measure._simulation import Simulation
from wisteriagw.measure.faults import (
    DrainFault,
    LogFault,
    PartitionFault,
    ReclaimFault,
    ReportFault,
)

SMALL = DEPLOYMENTS["suva"]._replace(workers=3, entries=4)


def run(scenario: Scenario, policy: str = "wisteriagw", deployment=SMALL):
    """Return the figures of a short scenario."""
    simulation = Simulation(scenario, POLICIES[policy], deployment, 1)
    simulation.run()
    return evaluate(simulation)


class TestRepeatability:
    """Guards against figures that change from run to run."""

    def test_same_seed_gives_the_same_line(self, capsys) -> None:
        lines = []
        for _ in range(2):
            main(["drain", "--workers", "2", "--entries", "2", "--load", "0.3"])
            line = json.loads(capsys.readouterr().out)
            assert line.pop("decision_microseconds") > 0
            lines.append(line)
        assert lines[0] == lines[1]


class TestReport:
    """Guards against a report without its plots."""

    def test_page_and_plots_are_written(self, tmp_path, capsys) -> None:
        pytest.importorskip("matplotlib")
        arguments = ["steady", "--workers", "2", "--entries", "2", "--load", "0.1"]
        main([*arguments, "--report", str(tmp_path)])
        page = (tmp_path / "index.html").read_text(encoding="utf-8")
        assert "goodput" in page
        assert (tmp_path / "plots.png").stat().st_size > 10_000


class TestFigures:
    """Guards against late or incomplete answers that count as goodput."""

    @pytest.mark.parametrize(
        ("first_token_at", "ended_at", "good"),
        [
            (1.59, 1.59 + 9 * 0.03, True),
            (1.61, 1.61 + 9 * 0.03, False),
            (1.0, 1.0 + 9 * 0.031, False),
            (None, None, False),
            (1.0, None, False),
        ],
    )
    def test_goodput_needs_a_complete_answer_in_time(
        self, first_token_at, ended_at, good
    ) -> None:
        trace = RequestTrace(OfferedRequest(0, 0.0, "a", "model", 0, output_tokens=10))
        trace.first_token_at, trace.ended_at = first_token_at, ended_at
        assert meets_targets(trace, 0.001) is good

    def test_shares_are_max_min_fair(self) -> None:
        demands = {"a": 10.0, "b": 1.0, "c": 10.0}
        weights = {"a": 2.0, "b": 1.0, "c": 1.0}
        assert compute_max_min_shares(demands, weights, 10.0) == {
            "a": 6.0,
            "b": 1.0,
            "c": 3.0,
        }


class TestTargets:
    """Guards against a policy that misses its targets in short scenarios."""

    def test_flood_harms_no_customer_within_its_share(self) -> None:
        scenario = Scenario((Phase(25.0, 1.5, flood=True),))
        figures = run(scenario, deployment=DEPLOYMENTS["suva"])
        assert figures["worst_customer_goodput"] >= 0.95
        assert figures["worst_customer_share"] >= 0.9
        assert figures["harmed_requests"] == 0

    @pytest.mark.parametrize(
        "fault",
        [
            ReclaimFault("dc2"),
            DrainFault(1),
            LogFault(20.0),
            PartitionFault("dc1", 20.0),
            ReportFault(20.0),
        ],
    )
    def test_fault_harms_no_request(self, fault) -> None:
        scenario = Scenario((Phase(30.0, 0.4),), ((8.0, fault),))
        figures = run(scenario)
        assert figures["harmed_requests"] == 0
        assert figures["ran_twice"] == 0
        assert figures["usage_errors"] == 0
        assert figures["recovery_seconds"] <= 10.0

    def test_goodput_exceeds_that_of_overloaded_baselines(self) -> None:
        scenario = Scenario((Phase(30.0, 0.8, 0.7, 0.7),))
        deployment = DEPLOYMENTS["laurentides"]
        goodput = run(scenario, deployment=deployment)["model_goodput"]
        for baseline in ("round-robin", "least-requests"):
            reached = run(scenario, baseline, deployment)["model_goodput"]
            assert reached >= 0.6 or goodput >= 1.5 * reached
