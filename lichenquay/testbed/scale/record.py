"""The records that lightweight gateways keep of their versions in force: compact, bounded, written as one
NumPy file for each process.
"""

import json
from array import array
from dataclasses import asdict, dataclass, field
from pathlib import Path

import numpy as np

MAX_STEPS = 20_000  # Of one lifetime; later versions are dropped and `truncated` is set.
NEVER = float("inf")


@dataclass
class GatewayLifetime:
    """Holds when which version came in force at one gateway, from its start to its end. Times: milliseconds
    of CLOCK_BOOTTIME.
    """

    name: str
    started_ms: float
    ended_ms: float = NEVER
    versions: array = field(default_factory=lambda: array("q"))
    at_ms: array = field(default_factory=lambda: array("d"))
    values_digest: str = ""  # Of all keys and values at the end, by the test bed's own digest.
    prefixes_wrong: int = 0  # Keys held at the end that are outside its subscription.
    counts: dict = field(default_factory=dict)
    truncated: bool = False

    def record_version(self, version: int, now_ms: float) -> None:
        """Records the version in force, if it changed."""
        if self.versions and self.versions[-1] == version:
            return
        if len(self.versions) >= MAX_STEPS:
            self.truncated = True
            return
        self.versions.append(version)
        self.at_ms.append(now_ms)

    @property
    def last_version(self) -> int:
        """Returns the last version in force, 0 if there is none."""
        return self.versions[-1] if self.versions else 0


def write(path: Path, lifetimes: list[GatewayLifetime]) -> None:
    """Writes all lifetimes of a process."""
    heads = []
    for lifetime in lifetimes:
        head = asdict(lifetime)
        del head["versions"], head["at_ms"]
        heads.append({**head, "steps": len(lifetime.versions)})
    versions = np.concatenate(
        [np.array(lifetime.versions, dtype=np.int64) for lifetime in lifetimes] or [np.empty(0)]
    )
    at_ms = np.concatenate([np.array(lifetime.at_ms, dtype=float) for lifetime in lifetimes] or [np.empty(0)])
    np.savez(path, heads=json.dumps(heads), versions=versions, at_ms=at_ms)


def read(path: Path) -> list[GatewayLifetime]:
    """Returns the lifetimes that `write` wrote."""
    lifetimes, start = [], 0
    with np.load(path, allow_pickle=False) as archive:
        versions, at_ms = archive["versions"], archive["at_ms"]
        for head in json.loads(str(archive["heads"])):
            end = start + head.pop("steps")
            lifetime = GatewayLifetime(**head)
            lifetime.versions = array("q", versions[start:end].astype(np.int64).tolist())
            lifetime.at_ms = array("d", at_ms[start:end].tolist())
            lifetimes.append(lifetime)
            start = end
    return lifetimes
