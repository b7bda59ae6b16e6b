"""Makes the `_pb2.py` beside each .proto of the program; needs grpcio-tools (requirements-dev)."""

import sys
from pathlib import Path

HERE = Path(__file__).parent
PROTOS = sorted(HERE.parent.glob("*/*.proto"))


def make(out=None):
    """Into the folder `out`, or each beside its source."""
    from grpc_tools import protoc

    for proto in PROTOS:
        if protoc.main(["protoc", f"-I{proto.parent}", f"--python_out={out or proto.parent}", str(proto)]):
            sys.exit(f"{proto.name} cannot be compiled")


if __name__ == "__main__":
    make()
