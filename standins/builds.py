"""Unpacks earlier builds from the repository's history, to run beside this."""

import pathlib
import subprocess

from bench.fleet import ROOT

__all__ = ["unpack_build"]

PACKAGE = "hibiscuspin"
GIT_TIMEOUT_S = 30.0


def unpack_build(commit: str, parent: pathlib.Path) -> pathlib.Path:
    """Unpacks the package as of a commit, unless that was done before.

    Args:
        commit: The commit.
        parent: The folder under which builds are kept.

    Returns:
        The folder to run the build from.

    Raises:
        RuntimeError: The history lacks the commit, as in a shallow clone.
    """
    folder = parent / f"build-{commit}"
    if folder.exists():
        return folder
    archive = _run_git("archive", "--format=tar", commit, PACKAGE)
    if archive.returncode:
        reason = archive.stderr.decode(errors="replace").strip()
        raise RuntimeError(
            f"build {commit} can't be unpacked; the test needs a clone with "
            f"the history up to it, not a shallow one: {reason}"
        )
    folder.mkdir()
    subprocess.run(
        ["tar", "-x", "-C", str(folder)],
        input=archive.stdout,
        check=True,
        timeout=GIT_TIMEOUT_S,
    )
    return folder


def _run_git(*argv: str) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        ["git", "-C", str(ROOT), *argv],
        capture_output=True,
        check=False,
        timeout=GIT_TIMEOUT_S,
    )
