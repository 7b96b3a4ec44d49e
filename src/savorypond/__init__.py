"""A query tier over many shards."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from savorypond.config.bundle import check_bundle, decode_bundle, encode_bundle
    from savorypond.daemon import Daemon
    from savorypond.exceptions import (
        BundleError,
        RequestRefused,
        SavorypondError,
        ServiceFileError,
        SettingsError,
    )
    from savorypond.model import Address, Bundle, Service
    from savorypond.reasons import Execution, MissingReason, RefusalReason
    from savorypond.services.loader import load_service_file, load_service_files
    from savorypond.settings import Settings, load_settings

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

_MODULES = {
    "Address": "model",
    "Bundle": "model",
    "BundleError": "exceptions",
    "Daemon": "daemon",
    "Execution": "reasons",
    "MissingReason": "reasons",
    "RefusalReason": "reasons",
    "RequestRefused": "exceptions",
    "SavorypondError": "exceptions",
    "Service": "model",
    "ServiceFileError": "exceptions",
    "Settings": "settings",
    "SettingsError": "exceptions",
    "check_bundle": "config.bundle",
    "decode_bundle": "config.bundle",
    "encode_bundle": "config.bundle",
    "load_service_file": "services.loader",
    "load_service_files": "services.loader",
    "load_settings": "settings",
}


def __getattr__(name: str) -> Any:
    """Import a public name on first use: each program loads only what it needs."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)
