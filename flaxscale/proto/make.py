"""Generates Python code from the .proto files of this folder. Needs grpcio-tools (requirements-dev.txt)."""

import pathlib
import sys

from grpc_tools import protoc

HERE = pathlib.Path(__file__).parent
ROOT = HERE.parents[1]


def make(out=ROOT):
    """Writes *_pb2.py and *_pb2_grpc.py under `out`, in the folders of the repository."""
    for file in sorted(HERE.glob("*.proto")):
        if protoc.main(["protoc", f"-I{ROOT}", f"--python_out={out}", f"--grpc_python_out={out}", str(file)]):
            sys.exit(f"{file.name} could not be compiled")


if __name__ == "__main__":
    make()
