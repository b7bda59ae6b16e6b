"""Processes of our own: what they are started with, and their first words."""

import os
import select
from pathlib import Path

ROOT = Path(__file__).parents[2]


def environment():
    """This process's, with the package found wherever it is started from."""
    paths = (str(ROOT), os.environ.get("PYTHONPATH", ""))
    return {**os.environ, "PYTHONPATH": os.pathsep.join(p for p in paths if p)}


def hear(process, seconds):
    """The next line that a process says, '' if none comes in time."""
    ready, _, _ = select.select([process.stdout], [], [], max(0.0, seconds))
    return process.stdout.readline().strip() if ready else ""
