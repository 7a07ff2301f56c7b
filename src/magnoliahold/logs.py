"""Structured logs: one JSON object per line, with credentials redacted."""

from __future__ import annotations

import json
import logging
import sys
import time
from typing import TYPE_CHECKING, Any, TextIO, cast

from pythonjsonlogger.core import RESERVED_ATTRS, merge_record_extra
from pythonjsonlogger.json import JsonFormatter
from twisted.logger import STDLibLogObserver, globalLogBeginner

from magnoliahold.gatheredlines import LINES

if TYPE_CHECKING:
    from pythonjsonlogger.core import LogData
    from twisted.logger import ILogObserver

REDACTED = "[redacted]"
SECRET_PREFIX_LENGTH = 8
MAX_LINEAR_SEARCH_SECRETS = 100
MIN_SECRET_LENGTH = SECRET_PREFIX_LENGTH
ROOT_NAME = "magnoliahold"
MAX_FIELD_LENGTH = 1000
MAX_FIELD_ITEMS = 100
FIELDS = "fields"
EXCLUDED_ATTRIBUTES = frozenset((*RESERVED_ATTRS, FIELDS))


class Redactor:
    """Replaces registered secrets in texts.

    Up to `MAX_LINEAR_SEARCH_SECRETS` secrets are searched for one by one. More are
    looked up by their first characters, so that the cost of a text does not grow with
    their number.
    """

    def __init__(self) -> None:
        self._secrets: list[str] = []
        self._secrets_by_prefix: dict[str, list[str]] = {}

    def register(self, secret: str) -> None:
        """Adds a secret; one shorter than `MIN_SECRET_LENGTH` is ignored."""
        for variant in {secret, json.dumps(secret)[1:-1]}:
            if len(variant) < MIN_SECRET_LENGTH:
                continue
            known = self._secrets_by_prefix.setdefault(
                variant[:SECRET_PREFIX_LENGTH], []
            )
            if variant not in known:
                known.append(variant)
                self._secrets.append(variant)

    def redact(self, text: str) -> str:
        """Returns the text with each registered secret replaced."""
        if len(self._secrets) <= MAX_LINEAR_SEARCH_SECRETS:
            found = {secret for secret in self._secrets if secret in text}
        else:
            found = self._find_by_prefix(text)
        for secret in sorted(found, key=len, reverse=True):
            text = text.replace(secret, REDACTED)
        return text

    def _find_by_prefix(self, text: str) -> set[str]:
        """Finds the registered secrets in a text by their prefixes."""
        found = set()
        for start in range(len(text) - SECRET_PREFIX_LENGTH + 1):
            prefix = text[start : start + SECRET_PREFIX_LENGTH]
            for secret in self._secrets_by_prefix.get(prefix, ()):
                if text.startswith(secret, start):
                    found.add(secret)
        return found


REDACTOR = Redactor()


def register_secret(secret: str) -> None:
    """Redacts a credential in every log line of this process."""
    REDACTOR.register(secret)


class LineFormatter(JsonFormatter):
    """Formats a record as one JSON object on one line, with secrets redacted."""

    def __init__(self, process_name: str) -> None:
        super().__init__(
            "%(message)s",
            rename_fields={"message": "message"},
            json_ensure_ascii=True,
        )
        self.process_name = process_name

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Adds time, level, process and message before the fields of the record."""
        log_data["time"] = self.formatTime(record)
        log_data["level"] = record.levelname.lower()
        log_data["process"] = self.process_name
        log_data["message"] = record.getMessage()
        merge_record_extra(record, log_data, EXCLUDED_ATTRIBUTES)
        fields = getattr(record, FIELDS, {})
        log_data.update({name: shorten(value) for name, value in fields.items()})
        if record.exc_info:
            log_data["exception"] = self.formatException(record.exc_info)

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Formats the time of a record as RFC 3339 in UTC with milliseconds."""
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        return f"{seconds}.{int(record.msecs):03d}Z"

    def serialize_log_record(self, log_data: LogData) -> str:
        """Serializes a record and redacts the secrets in the line."""
        return REDACTOR.redact(super().serialize_log_record(log_data))


def shorten(value: object) -> object:
    """Returns the value of a field, cut if it is a long text or list.

    Callers choose some of them, and pay less for their bytes than a log line costs.
    """
    if isinstance(value, str) and len(value) > MAX_FIELD_LENGTH:
        # A secret that is cut couldn't be found any more.
        start = REDACTOR.redact(value)[:MAX_FIELD_LENGTH]
        return f"{start}... ({len(value)} characters)"
    if isinstance(value, (list, tuple)):
        return [shorten(item) for item in value[:MAX_FIELD_ITEMS]]
    return value


class PartLogger:
    """Logs the messages of one component under its prefix, with ids as fields."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix.rstrip(": ")
        self._logger = logging.getLogger(f"{ROOT_NAME}.{self.prefix}")

    def debug(self, sentence: str, /, **fields: object) -> None:
        """Logs detail for debugging."""
        self._log(logging.DEBUG, sentence, fields)

    def info(self, sentence: str, /, **fields: object) -> None:
        """Logs a decision or a change of state."""
        self._log(logging.INFO, sentence, fields)

    def warning(self, sentence: str, /, **fields: object) -> None:
        """Logs something that operators may have to act on."""
        self._log(logging.WARNING, sentence, fields)

    def error(self, sentence: str, /, **fields: object) -> None:
        """Logs a failure that operators have to act on."""
        self._log(logging.ERROR, sentence, fields)

    def exception(self, sentence: str, /, **fields: object) -> None:
        """Logs a failure with the traceback of the exception being handled."""
        self._log(logging.ERROR, sentence, fields, with_exception=True)

    def gather(
        self,
        sentence: str,
        /,
        kind: str = "",
        level: int = logging.WARNING,
        **fields: object,
    ) -> None:
        """Logs what strangers cause, which may come in any number.

        Of each sentence and `kind` at most one line a second is written, with the
        number of those that it stands for in the field `count`.
        """
        LINES.write(
            (self.prefix, sentence, kind),
            lambda gathered: self._log(level, sentence, gathered),
            fields,
        )

    def _log(
        self,
        level: int,
        sentence: str,
        fields: dict[str, object],
        with_exception: bool = False,
    ) -> None:
        if self._logger.isEnabledFor(level):
            message = f"{self.prefix}: {sentence}"
            self._logger.log(
                level,
                "%s",
                message,
                exc_info=with_exception,
                extra={FIELDS: fields},
            )


def make_part_logger(prefix: str) -> PartLogger:
    """Makes the logger of one component; `prefix` is, for example, `routing`."""
    return PartLogger(prefix)


class LogState:
    """Records whether Twisted log events are already forwarded to the logs."""

    twisted_events_forwarded = False


def set_log_level(level: str) -> None:
    """Sets the level from which this process logs messages of its own."""
    logging.getLogger(ROOT_NAME).setLevel(level.upper())


def configure_logging(
    process_name: str, level: str = "info", stream: TextIO | None = None
) -> logging.Handler:
    """Writes all logs of this process to `stream`, standard error by default.

    Replaces an earlier configuration. Returns the handler, so that a test can remove
    it.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(LineFormatter(process_name))
    root = logging.getLogger()
    for old in [old for old in root.handlers if has_line_formatter(old)]:
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(logging.WARNING)
    set_log_level(level)
    forward_twisted_events()
    return handler


def has_line_formatter(handler: logging.Handler) -> bool:
    """Returns whether a handler was installed by `configure_logging`."""
    return isinstance(handler.formatter, LineFormatter)


def forward_twisted_events() -> None:
    """Forwards Twisted log events to the standard logs; repeated calls do nothing."""
    if LogState.twisted_events_forwarded:
        return
    LogState.twisted_events_forwarded = True
    globalLogBeginner.beginLoggingTo(
        [cast("ILogObserver", STDLibLogObserver("twisted"))],
        discardBuffer=True,
        redirectStandardIO=False,
    )
