"""Structured logging of numbered events."""

import sys

import msgspec
from loguru import logger

from .events import Event


def configure_logging(level: str = "INFO", as_json: bool = False) -> None:
    """Send log events to standard error as text or JSON lines."""
    logger.remove()
    sink = write_json if as_json else write_text
    logger.add(sink, level=level, format="{message}")


def log_event(event: Event, **fields: object) -> None:
    """Log one event with its fields."""
    logger.bind(code=event.code, fields=fields).log(event.level, event.text)


def write_json(message: object) -> None:
    """Write a log record as one JSON line."""
    record = message.record  # type: ignore[attr-defined]
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "code": record["extra"].get("code", ""),
        "text": record["message"],
        **record["extra"].get("fields", {}),
    }
    sys.stderr.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")


def write_text(message: object) -> None:
    """Write a log record as one line of text."""
    record = message.record  # type: ignore[attr-defined]
    fields = record["extra"].get("fields", {})
    tail = " ".join(f"{name}={value}" for name, value in fields.items())
    time = record["time"].strftime("%H:%M:%S.%f")[:-3]
    code = record["extra"].get("code", "")
    level = record["level"].name
    sys.stderr.write(f"{time} {level:7} {code} {record['message']} {tail}\n")
