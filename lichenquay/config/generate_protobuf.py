"""Generates the `_pb2.py` module of each .proto file. Requires grpcio-tools (the `dev` extra)."""

import sys
from os import PathLike
from pathlib import Path

CONFIG_PACKAGE = Path(__file__).parent
PROTO_FILES = sorted(CONFIG_PACKAGE.parent.glob("*/*.proto"))


def generate(out: str | PathLike | None = None) -> None:
    """Writes the modules to the folder `out`, by default next to their sources; exits if protoc fails."""
    from grpc_tools import protoc

    for proto in PROTO_FILES:
        command = ["protoc", f"-I{proto.parent}", f"--python_out={out or proto.parent}", str(proto)]
        if protoc.main(command):
            sys.exit(f"{proto}: protoc failed")


if __name__ == "__main__":
    generate()
