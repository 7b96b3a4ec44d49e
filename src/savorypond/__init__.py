"""A query tier over many shards."""

from typing import TYPE_CHECKING, Any

from savorypond.bundle import check_bundle, decode_bundle, encode_bundle
from savorypond.exceptions import (
    BundleError,
    RequestRefused,
    SavorypondError,
    ServiceFileError,
    SettingsError,
)
from savorypond.model import Address, Bundle, Service
from savorypond.reasons import Execution, MissingReason, RefusalReason
from savorypond.servicefile import load_service_file, load_service_files
from savorypond.settings import Settings, load_settings

if TYPE_CHECKING:
    from savorypond.daemon import Daemon

__version__ = "0.1.0"

__all__ = [
    "Address",
    "Bundle",
    "BundleError",
    "Daemon",
    "Execution",
    "MissingReason",
    "RefusalReason",
    "RequestRefused",
    "SavorypondError",
    "Service",
    "ServiceFileError",
    "Settings",
    "SettingsError",
    "check_bundle",
    "decode_bundle",
    "encode_bundle",
    "load_service_file",
    "load_service_files",
    "load_settings",
]


def __getattr__(name: str) -> Any:
    """Import the daemon on first use: small programs do without its libraries."""
    if name != "Daemon":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from savorypond.daemon import Daemon

    return Daemon
