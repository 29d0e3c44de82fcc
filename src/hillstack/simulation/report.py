"""Renders the runs of experiments as tables and plots."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from hillstack.simulation.experiment import RunFigures, Summary, summarize

COLUMNS = (
    ("refused", "refused"),
    ("p50 s", "p50"),
    ("p95 s", "p95"),
    ("p99 s", "p99"),
    ("urgent p99 s", "urgent_p99"),
    ("hit rate", "hit_rate"),
    ("wasted", "wasted"),
    ("goodput/s", "goodput"),
)


def group_runs(runs: Sequence[RunFigures]) -> dict[tuple[float, str], list[RunFigures]]:
    """Group runs by load and label, in order of first occurrence; a group holds all seeds."""
    groups: dict[tuple[float, str], list[RunFigures]] = {}
    for run in runs:
        groups.setdefault((run.key.load, run.key.label), []).append(run)
    return groups


def table(runs: Sequence[RunFigures]) -> str:
    """Return a Markdown table of medians over seeds, with the range of p99 and of hit rate."""
    titles = ["load", "policy", *(title for title, _ in COLUMNS), "p99 spread", "hit spread"]
    lines = ["| " + " | ".join(titles) + " |", "|" + "---|" * len(titles)]
    for (load, label), group in group_runs(runs).items():
        cells = [f"{load:.0%}", label]
        cells += [_cell(name, summarize(group, name)) for _, name in COLUMNS]
        cells += [_spread(summarize(group, "p99")), _spread(summarize(group, "hit_rate"))]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def plot(runs: Sequence[RunFigures], shift_seconds: float, folder: Path, name: str) -> list[Path]:
    """Plot time to first token against load and hit rate over time; return the files written."""
    folder.mkdir(parents=True, exist_ok=True)
    return [
        _plot_loads(runs, folder / f"{name}-first-token.png"),
        _plot_shift(runs, shift_seconds, folder / f"{name}-shift.png"),
    ]


def _plot_loads(runs: Sequence[RunFigures], path: Path) -> Path:
    figure, axes = _new_figure()
    points: dict[str, list[tuple[float, Summary]]] = {}
    for (load, label), group in group_runs(runs).items():
        points.setdefault(label, []).append((load, summarize(group, "p99")))
    for label, series in points.items():
        loads = [load for load, _ in series]
        medians = [summary.median for _, summary in series]
        below = [summary.median - summary.minimum for _, summary in series]
        above = [summary.maximum - summary.median for _, summary in series]
        axes.errorbar(loads, medians, yerr=[below, above], label=label, marker="o", capsize=3)
    axes.set(xlabel="load (share of capacity)", ylabel="time to first token, p99 (s)")
    axes.set_yscale("log")
    axes.legend()
    figure.savefig(path, dpi=100)
    return path


def _plot_shift(runs: Sequence[RunFigures], shift_seconds: float, path: Path) -> Path:
    figure, axes = _new_figure()
    load = sorted({run.key.load for run in runs})[len({run.key.load for run in runs}) // 2]
    seed = runs[0].key.seed
    for run in runs:
        if run.key.load == load and run.key.seed == seed:
            times = [at for at, _ in run.hit_rate_over_time]
            rates = [rate for _, rate in run.hit_rate_over_time]
            axes.plot(times, rates, label=run.key.label)
    last = max((at for run in runs for at, _ in run.hit_rate_over_time), default=0.0)
    shift = shift_seconds
    while shift < last:
        axes.axvline(shift, color="grey", linestyle=":")
        shift += shift_seconds
    axes.set(xlabel="seconds", ylabel=f"prefix hit rate at {load:.0%} load", ylim=(0, 1))
    axes.legend()
    figure.savefig(path, dpi=100)
    return path


def _new_figure() -> tuple[Any, Any]:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4.5), layout="constrained")
    return figure, axes


def _cell(name: str, summary: Summary) -> str:
    if name in ("hit_rate", "wasted"):
        return f"{summary.median:.1%}"
    if name == "refused":
        return f"{summary.median:.0f}"
    return f"{summary.median:.3f}" if name != "goodput" else f"{summary.median:.1f}"


def _spread(summary: Summary) -> str:
    return f"{summary.minimum:.3f}-{summary.maximum:.3f}"
