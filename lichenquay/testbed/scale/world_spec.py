"""The specification that each process of a scale run reads at its start: a JSON file that all of
them share.
"""

import json
from dataclasses import asdict, dataclass
from pathlib import Path

from lichenquay.config.distribution_settings import distribution_fingerprint
from lichenquay.config.endpoint_list import ENGINE_PREFIX
from lichenquay.fleet.message_envelope import Layer
from lichenquay.testbed.scale.scenario import CONTROL_ZONE, Shape

FLEET = "scale"
CLIENT = f"{CONTROL_ZONE}-client"  # The client that proposes changes.
CONFIG_PREFIX = "config/"
PREFIXES = (CONFIG_PREFIX, ENGINE_PREFIX)  # The subscription of a gateway.
OPEN_LAYERS = {Layer.DISTRIBUTION: distribution_fingerprint(FLEET)}


@dataclass(frozen=True)
class WorldSpec:
    """Holds the world's shape, where its processes listen, and the folder of its files.

    `addresses`: of control processes. `loopbacks`: the address of each host's gateways.
    """

    shape: Shape
    addresses: dict[str, tuple[str, int]]
    loopbacks: list[str]
    folder: str

    @property
    def path(self) -> Path:
        """Returns the path of the file."""
        return Path(self.folder) / "world.json"

    def write(self) -> None:
        """Writes the file that `read` reads."""
        self.path.write_text(json.dumps(asdict(self)))


def read(path: str) -> WorldSpec:
    """Returns the spec that `write` wrote."""
    spec = json.loads(Path(path).read_text())
    addresses = {name: (host, port) for name, (host, port) in spec["addresses"].items()}
    return WorldSpec(Shape(**spec["shape"]), addresses, spec["loopbacks"], spec["folder"])
