"""Structured logs: one JSON object a line, or plain text.

Fields are documented in docs/OPERATIONS.md.
"""

from enum import StrEnum
from io import TextIOBase
from logging import ERROR, getLogger
from typing import Any

from absl.flags import FLAGS
from absl.logging import (
    INFO,
    PythonFormatter,
    get_absl_handler,
    get_absl_logger,
    set_verbosity,
    use_absl_handler,
)
from msgspec.json import encode

_EVENT = "savorypond_event"
_FIELDS = "savorypond_fields"


class LogFormat(StrEnum):
    """The format of log lines."""

    JSON = "json"
    TEXT = "text"


class JsonFormatter(PythonFormatter):
    """Formats each record as one JSON object.

    :param instance: name of the instance, added to every line.
    """

    def __init__(self, *, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: Any) -> str:
        """Return ``record`` as one line of JSON."""
        line: dict[str, object] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "instance": self._instance,
            "event": getattr(record, _EVENT, "message"),
        }
        fields = getattr(record, _FIELDS, None)
        if fields is None:
            line["message"] = record.getMessage()
        else:
            line.update(fields)
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return encode(line).decode()


class TextFormatter(PythonFormatter):
    """Formats an event and its fields as plain text."""

    def format(self, record: Any) -> str:
        """Return ``record`` as text."""
        fields = getattr(record, _FIELDS, None)
        if fields is None:
            return super().format(record)
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        return f"{record.levelname[0]} {getattr(record, _EVENT)} {pairs}"


def configure_logging(
    *, log_format: LogFormat, instance: str, stream: TextIOBase | None = None
) -> None:
    """Log in ``log_format`` to ``stream``, by default standard error."""
    FLAGS.mark_as_parsed()  # defopt parses the command line, not absl
    use_absl_handler()
    # Curio warns of every timeout that fires late, which is normal under load.
    getLogger("curio").setLevel(ERROR)
    set_verbosity(INFO)
    as_json = log_format is LogFormat.JSON
    formatter = JsonFormatter(instance=instance) if as_json else TextFormatter()
    get_absl_handler().setFormatter(formatter)
    if stream is not None:
        get_absl_handler().python_handler.setStream(stream)


def log_event(event: str, **fields: object) -> None:
    """Log ``event`` with its fields at level INFO."""
    get_absl_logger().info(event, extra={_EVENT: event, _FIELDS: fields})
