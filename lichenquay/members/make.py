"""Makes `members_pb2.py` from `members.proto`; needs grpcio-tools (requirements-dev)."""
import sys
from pathlib import Path

HERE = Path(__file__).parent


def make(out=HERE):
    from grpc_tools import protoc
    if protoc.main(["protoc", f"-I{HERE}", f"--python_out={out}", str(HERE / "members.proto")]):
        sys.exit("members.proto cannot be compiled")


if __name__ == "__main__":
    make()
