"""HTML report with plots of a run."""

from __future__ import annotations

import html
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any

from wisteriagw.measure._evaluation import GOODPUT_WINDOW_SECONDS, meets_targets

if TYPE_CHECKING:
    from wisteriagw.measure._figures import Figures
    from wisteriagw.measure._simulation import Simulation

PLOT_NAME = "plots.png"
PAGE_NAME = "index.html"


def write_report(directory: str, simulation: Simulation, figures: Figures) -> None:
    """Write the HTML page and its plots to a directory."""
    # Imported here: only the report needs it, and it is an optional dependency.
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    target = Path(directory)
    target.mkdir(parents=True, exist_ok=True)
    figure = Figure(figsize=(10, 12))
    FigureCanvasAgg(figure)
    draw_plots(figure.subplots(4, 1, sharex=True), simulation)
    figure.savefig(target / PLOT_NAME, metadata={"Software": None})
    (target / PAGE_NAME).write_text(build_page(simulation, figures), encoding="utf-8")


def draw_plots(axes: Any, simulation: Simulation) -> None:
    """Draw goodput, queues, roles and cost over the virtual time."""
    timeline = simulation.timeline
    times, goodput = compute_goodput(simulation)
    axes[0].plot(times, goodput)
    axes[0].set_ylabel("goodput")
    axes[0].set_ylim(0, 1.05)
    axes[1].plot(timeline.times, timeline.waiting, label="at entry VMs")
    axes[1].plot(timeline.times, timeline.at_engines, label="at backend servers")
    axes[1].set_ylabel("queued requests")
    axes[2].step(timeline.times, timeline.prefill_engines, label="prefill")
    axes[2].step(timeline.times, timeline.decode_engines, label="decode")
    axes[2].set_ylabel("engines")
    axes[3].plot(timeline.times, timeline.cost_rates)
    axes[3].set_ylabel("cost per second")
    axes[3].set_xlabel("seconds")
    axes[1].legend()
    axes[2].legend()


def compute_goodput(simulation: Simulation) -> tuple[list[float], list[float]]:
    """Return the window start times, and the goodput by time of arrival."""
    client = simulation.deployment.client_latency_seconds
    good: Counter[int] = Counter()
    count: Counter[int] = Counter()
    for trace in simulation.traces:
        window = int(trace.request.at // GOODPUT_WINDOW_SECONDS)
        count[window] += 1
        good[window] += meets_targets(trace, client)
    windows = sorted(count)
    return (
        [float(window * GOODPUT_WINDOW_SECONDS) for window in windows],
        [good[window] / count[window] for window in windows],
    )


def build_page(simulation: Simulation, figures: Figures) -> str:
    """Return the HTML page: figures, plots, and the applied decisions with reasons."""
    title = f"{figures['scenario']}, {figures['policy']}, seed {figures['seed']}"
    rows = "".join(
        f"<tr><td>{html.escape(str(name))}</td><td>{html.escape(str(value))}</td></tr>"
        for name, value in figures.items()
    )
    changes = "".join(
        f"<li>{at:.0f} s: {html.escape(str(decision))}</li>"
        for at, decision in simulation.control.applied_decisions
    )
    return (
        f'<!doctype html><meta charset="utf-8"><title>{html.escape(title)}</title>'
        f"<h1>{html.escape(title)}</h1><table>{rows}</table>"
        f'<img src="{PLOT_NAME}" alt="goodput, queues, roles and cost over time">'
        f"<h2>Role changes, orders and returns</h2><ol>{changes}</ol>\n"
    )
