"""Sources of earlier commits, for nodes of an earlier build beside nodes of this build."""

from __future__ import annotations

import io
import subprocess
import tarfile
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
GIT_SECONDS = 60.0


class EarlierBuildError(Exception):
    """The sources of a commit aren't available."""


def has_commit(commit: str) -> bool:
    """Return whether the repository's history contains a commit."""
    return _git("cat-file", "-e", f"{commit}^{{commit}}").returncode == 0


def unpack_build(commit: str, folder: Path) -> Path:
    """Write the sources of a commit below a folder; return the folder that contains the package.

    Raises:
        EarlierBuildError: The commit isn't in the history or has no sources of a node.
    """
    if not has_commit(commit):
        raise EarlierBuildError(f"no commit {commit!r} in the history of {ROOT.name}")
    archive = _git("archive", "--format=tar", commit, "src")
    if archive.returncode != 0:
        raise EarlierBuildError(f"commit {commit!r} has no sources: {archive.stderr.decode()}")
    target = folder / f"build-{commit}"
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as sources:
        sources.extractall(target, filter="data")
    source = target / "src"
    if not (source / "hillstack" / "daemon" / "fleet_main.py").exists():
        raise EarlierBuildError(f"commit {commit!r} has no hillstack/daemon/fleet_main.py")
    return source


def _git(*arguments: str) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        ["git", *arguments], cwd=ROOT, capture_output=True, timeout=GIT_SECONDS, check=False
    )
