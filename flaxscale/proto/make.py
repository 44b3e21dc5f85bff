"""Writes the Python code of the schemas beside them. Needs grpcio-tools (requirements-dev.txt)."""

import pathlib
import sys

from grpc_tools import protoc

HERE = pathlib.Path(__file__).parent
ROOT = HERE.parents[1]


def make(out=ROOT):
    """Writes *_pb2.py and *_pb2_grpc.py under `out`, as a tree that starts at the repository's root."""
    for file in sorted(HERE.glob("*.proto")):
        if protoc.main(["protoc", f"-I{ROOT}", f"--python_out={out}", f"--grpc_python_out={out}", str(file)]):
            sys.exit(f"{file.name} was not taken")


if __name__ == "__main__":
    make()
