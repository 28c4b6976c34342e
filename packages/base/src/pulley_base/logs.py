"""Logging of events, each as one line of key=value pairs."""

import json
import logging
import sys

RESERVED_NAMES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
CHARACTERS_TO_QUOTE = frozenset(' "=\n\t\\')


def format_value(value: object) -> str:
    """Return a value as text, quoted as JSON only if needed.

    Quotes are needed for empty text and for a space, quote, equals sign, newline,
    tab or backslash.
    """
    text = value if isinstance(value, str) else str(value)
    if not text or any(character in CHARACTERS_TO_QUOTE for character in text):
        return json.dumps(text, ensure_ascii=False)
    return text


def serialize_pairs(record: dict, **_kwargs) -> str:
    """Return a log record as key=value pairs on one line, without None values."""
    present = ((key, value) for key, value in record.items() if value is not None)
    return " ".join(f"{key}={format_value(value)}" for key, value in present)


def configure_logs(level: str = "info", stream=None) -> None:
    """Write all log events of at least ``level`` to ``stream``.

    ``stream`` is standard error by default. The formatter is that of
    python-json-logger, with a serializer for key=value pairs instead of JSON.
    """
    from pythonjsonlogger.json import JsonFormatter

    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={
                "asctime": "time",
                "levelname": "level",
                "name": "logger",
                "message": "event",
            },
            json_serializer=serialize_pairs,
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def log_event(logger: logging.Logger, event: str, **fields: object) -> None:
    """Log one event with its fields at level info.

    >>> log_event(logging.getLogger("demo"), "connected", peer="127.0.0.1:4100")
    """
    logger.info(event, extra=escape_reserved_names(fields))


def warn_event(logger: logging.Logger, event: str, **fields: object) -> None:
    """Log one event with its fields at level warning."""
    logger.warning(event, extra=escape_reserved_names(fields))


def escape_reserved_names(fields: dict[str, object]) -> dict[str, object]:
    """Append an underscore to field names that the logging module reserves."""
    return {
        f"{name}_" if name in RESERVED_NAMES else name: value
        for name, value in fields.items()
    }
