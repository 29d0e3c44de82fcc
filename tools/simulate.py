"""Runs many seeds of the simulation and prints the faults and violations of failed seeds."""

from __future__ import annotations

import argparse
import logging
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from hillstack.simulation.chaos import RunResult, run_seed
from hillstack.simulation.history import to_lines

EVENTS_SHOWN = 4_000


def main() -> int:
    """Run the seeds and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--routers-per-zone", type=int, default=1)
    parser.add_argument("--history", type=Path, help="write a failing history to this file")
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    counts: dict[str, int] = {}
    failed: list[RunResult] = []
    with ProcessPoolExecutor(initializer=_disable_logging) as pool:
        sizes = [arguments.routers_per_zone] * len(seeds)
        for result in pool.map(run_seed, seeds, sizes, chunksize=1):
            for event in result.history.events:
                name = type(event).__name__
                counts[name] = counts.get(name, 0) + 1
            if result.violations:
                failed.append(result)
                _report(result)
    print(
        f"seeds {seeds.start} to {seeds.stop - 1}: {len(seeds) - len(failed)} passed, "
        f"{len(failed)} failed; events checked: {counts}"
    )
    if failed and arguments.history:
        arguments.history.write_text(to_lines(failed[0].history.events))
    return 1 if failed else 0


def _report(result: RunResult) -> None:
    print(f"seed {result.seed} FAILED; faults: {'; '.join(result.faults)}")
    for violation in result.violations:
        print(f"  {violation.rule}: {violation.text}")


def _disable_logging() -> None:
    logging.disable(logging.CRITICAL)


if __name__ == "__main__":
    sys.exit(main())
