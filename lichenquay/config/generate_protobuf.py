"""Generates the `_pb2.py` beside each .proto file; needs grpcio-tools (the `dev` extra)."""

import sys
from os import PathLike
from pathlib import Path

HERE = Path(__file__).parent
PROTOS = sorted(HERE.parent.glob("*/*.proto"))


def make(out: str | PathLike | None = None) -> None:
    """Writes the modules into the folder `out`, or each beside its source; exits where one fails."""
    from grpc_tools import protoc

    for proto in PROTOS:
        command = ["protoc", f"-I{proto.parent}", f"--python_out={out or proto.parent}", str(proto)]
        if protoc.main(command):
            sys.exit(f"{proto.name} cannot be compiled")


if __name__ == "__main__":
    make()
