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
    """How log lines are written."""

    JSON = "json"
    TEXT = "text"


class JsonFormatter(PythonFormatter):
    """Writes one JSON object for each record.

    :param instance: name put into every line.
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
    """Writes an event and its fields as readable text."""

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
    """Send logs to ``stream``, by default standard error, in ``log_format``."""
    FLAGS.mark_as_parsed()  # the command line is read by another library
    use_absl_handler()
    # The kernel warns whenever a timeout is a little late, which load explains.
    getLogger("curio").setLevel(ERROR)
    set_verbosity(INFO)
    as_json = log_format is LogFormat.JSON
    formatter = JsonFormatter(instance=instance) if as_json else TextFormatter()
    get_absl_handler().setFormatter(formatter)
    if stream is not None:
        get_absl_handler().python_handler.setStream(stream)


def log_event(event: str, **fields: object) -> None:
    """Log ``event`` with its fields at level info."""
    get_absl_logger().info(event, extra={_EVENT: event, _FIELDS: fields})
