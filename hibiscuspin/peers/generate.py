"""Generates the committed gRPC code; run it after changing the .proto file."""

import pathlib

from grpc_tools import protoc  # type: ignore[import-untyped]

__all__ = ["main"]


def main() -> int:
    """Runs the protobuf compiler and returns its exit code."""
    folder = pathlib.Path(__file__).parent
    root = folder.parent.parent
    return int(
        protoc.main(
            [
                "protoc",
                f"-I{root}",
                f"--python_out={root}",
                f"--pyi_out={root}",
                f"--grpclib_python_out={root}",
                str(folder / "hibiscuspin.proto"),
            ]
        )
    )


if __name__ == "__main__":
    raise SystemExit(main())
