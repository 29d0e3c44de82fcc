"""Runs soaks with fresh seeds, or with a given one: ``python -m tests.soak --seconds 60``."""

from __future__ import annotations

import argparse
import logging
import sys
from pathlib import Path
from random import SystemRandom

from tests.soak.answer_faults import ANSWER_FAULTS
from tests.soak.crash_faults import CRASH_FAULTS
from tests.soak.cut_faults import CUT_FAULTS
from tests.soak.earlier_builds import has_commit
from tests.soak.fault_series import FAULTS, SILENCE_FAULTS
from tests.soak.mixed_version_faults import MIXED_VERSION_FAULTS
from tests.soak.odd_entry_faults import ODD_ENTRY_FAULTS
from tests.soak.release_faults import RELEASE_FAULTS
from tests.soak.restart_faults import RESTART_FAULTS
from tests.soak.restore_faults import RESTORE_FAULTS
from tests.soak.signal_faults import SIGNAL_FAULTS
from tests.soak.silence_faults import RUNNER_SILENCE_FAULTS
from tests.soak.soak import SoakPlan, SoakResult, run
from tests.soak.system import NODE_COUNT
from tests.soak.upgrade_faults import UPGRADE_FAULTS
from tests.soak.weights_faults import WEIGHTS_FAULTS

SEED_BITS = 31
# Faults that are injected only if they are chosen with --fault.
NAMED_FAULTS = (
    WEIGHTS_FAULTS
    + RESTART_FAULTS
    + SIGNAL_FAULTS
    + UPGRADE_FAULTS
    + CRASH_FAULTS
    + RESTORE_FAULTS
    + SILENCE_FAULTS
    + CUT_FAULTS
    + MIXED_VERSION_FAULTS
    + ANSWER_FAULTS
    + ODD_ENTRY_FAULTS
    + RELEASE_FAULTS
    + RUNNER_SILENCE_FAULTS
)


def main() -> int:
    """Run the soaks and return the exit code."""
    faults = {fault.__name__: fault for fault in FAULTS + NAMED_FAULTS}
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seconds", type=float, default=60.0, help="length of the period in which faults begin"
    )
    parser.add_argument("--soaks", type=int, default=1, help="number of soaks")
    parser.add_argument("--seed", type=int, help="seed of the first soak; drawn by default")
    parser.add_argument("--nodes", type=int, default=NODE_COUNT, help="number of node processes")
    parser.add_argument(
        "--fault",
        action="append",
        choices=sorted(faults),
        help="inject only this fault; may be repeated",
    )
    parser.add_argument(
        "--also",
        action="append",
        default=[],
        choices=sorted(faults),
        help="inject this fault too; if repeated, it is drawn as much more often",
    )
    parser.add_argument(
        "--from",
        action="append",
        default=[],
        dest="earlier",
        metavar="COMMIT",
        help="build with which nodes start; if repeated, nodes use the builds in turn",
    )
    parser.add_argument("--logs", type=Path, help="folder for the nodes' logs")
    arguments = parser.parse_args()
    # The emulated runners raise errors on purpose; the nodes log in their own processes.
    logging.disable(logging.CRITICAL)
    chosen = tuple(faults[name] for name in arguments.fault or ()) or FAULTS
    chosen += tuple(faults[name] for name in arguments.also)
    for commit in arguments.earlier:
        if not has_commit(commit):
            parser.error(f"no commit {commit!r} in this repository's history")
    plan = SoakPlan(arguments.seconds, arguments.nodes, chosen, tuple(arguments.earlier))
    seed = arguments.seed
    first = SystemRandom().getrandbits(SEED_BITS) if seed is None else seed
    failed = 0
    for number in range(arguments.soaks):
        folder = arguments.logs / str(first + number) if arguments.logs else None
        result = run(first + number, plan, folder)
        failed += bool(result.violations)
        _report(result)
    return 1 if failed else 0


def _report(result: SoakResult) -> None:
    verdict = f"{len(result.violations)} violations" if result.violations else "all promises kept"
    print(f"seed {result.seed}: {verdict}; {len(result.faults)} faults")
    print("  " + ", ".join(f"{name}: {count}" for name, count in sorted(result.results.items())))
    times = ", ".join(f"{name} {took:.1f} s" for name, took in result.recovery_seconds.items())
    print(
        f"  recovered after: {times}; the soak's own tasks late by {result.worst_lag:.3f} s at most"
    )
    for violation in result.violations[:20]:
        print(f"  BROKEN {violation}")
    if result.violations:
        print("  faults: " + "; ".join(result.faults), flush=True)


if __name__ == "__main__":
    sys.exit(main())
