"""Measures the resident memory that each library of a daemon adds."""

from importlib import import_module

LIBRARIES = (
    "msgspec.msgpack",
    "xxhash",
    "curio",
    "h11",
    "pydantic",
    "yaml",
    "hdrh.histogram",
    "prometheus_client",
    "absl.logging",
    "defopt",
    "grpc",
    "savorypond.daemon",
    "savorypond.entry",
)
STATUS = "/proc/self/status"


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open(STATUS) as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    raise RuntimeError(f"{STATUS} has no VmRSS")


def print_imports() -> None:
    """Print what each library adds; call this before the libraries are imported."""
    before = resident_bytes()
    print("Resident memory of a daemon's imports, in order (MB)")
    print(f"{'interpreter':20} {before / 1e6:6.1f}")
    for library in LIBRARIES:
        import_module(library)
        after = resident_bytes()
        print(f"{library:20} {(after - before) / 1e6:+6.1f} {after / 1e6:6.1f}")
        before = after
