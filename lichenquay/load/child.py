"""Child processes: their environment, and the lines that they print."""

import os
import select
import subprocess
from pathlib import Path

ROOT = Path(__file__).parents[2]


def environment() -> dict[str, str]:
    """Returns this process's environment, with the package on the path from any working directory."""
    paths = (str(ROOT), os.environ.get("PYTHONPATH", ""))
    return {**os.environ, "PYTHONPATH": os.pathsep.join(path for path in paths if path)}


def read_line(process: subprocess.Popen, timeout_s: float) -> str:
    """Returns the next line that a process prints, stripped, or '' if none comes in time."""
    ready, _, _ = select.select([process.stdout], [], [], max(0.0, timeout_s))
    return process.stdout.readline().strip() if ready else ""
