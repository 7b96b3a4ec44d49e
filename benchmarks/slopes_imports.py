"""Resident memory after each library that a daemon imports, in turn."""

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
    """Print what each library adds; to be called before anything imports them."""
    before = resident_bytes()
    print("Resident memory of a daemon's imports, in turn (MB)")
    print(f"{'interpreter':20} {before / 1e6:6.1f}")
    for library in LIBRARIES:
        import_module(library)
        after = resident_bytes()
        print(f"{library:20} {(after - before) / 1e6:+6.1f} {after / 1e6:6.1f}")
        before = after
