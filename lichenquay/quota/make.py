"""Makes `quota_pb2.py` from `quota.proto`; needs grpcio-tools (requirements-dev)."""
import sys
from pathlib import Path

HERE = Path(__file__).parent


def make(out=HERE):
    from grpc_tools import protoc
    if protoc.main(["protoc", f"-I{HERE}", f"--python_out={out}", str(HERE / "quota.proto")]):
        sys.exit("quota.proto cannot be compiled")


if __name__ == "__main__":
    make()
