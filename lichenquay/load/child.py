"""Child processes: their child_environment, and the lines that they print."""

import os
import select
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]


def child_environment() -> dict[str, str]:
    """Returns this process's child_environment, with the package on the path from any working directory."""
    paths = (str(ROOT), os.environ.get("PYTHONPATH", ""))
    return {**os.environ, "PYTHONPATH": os.pathsep.join(path for path in paths if path)}


def start_module(module: str, *arguments: str, stdin: int = subprocess.PIPE) -> subprocess.Popen:
    """Starts a module as a process whose standard output is read as text.

    It has a session of its own, so that a Ctrl-C on the terminal reaches this process alone.
    """
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        env=child_environment(),
        text=True,
        stdin=stdin,
        stdout=subprocess.PIPE,
        start_new_session=True,
    )


def read_line(process: subprocess.Popen, timeout_s: float) -> str:
    """Returns the next line that a process prints, stripped, or '' if none comes in time."""
    ready, _, _ = select.select([process.stdout], [], [], max(0.0, timeout_s))
    return process.stdout.readline().strip() if ready else ""
