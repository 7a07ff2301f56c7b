"""Reports errors, one line each, and maps them to exit codes."""

from __future__ import annotations

import os
import sys
import traceback

from twisted.internet.error import CannotListenError
from zmq import ZMQError

from magnoliahold.errors import MagnoliaholdError

EXIT_FAILURE = 1
EXIT_INTERRUPTED = 130
EXIT_INTERNAL = 70
TRACEBACK_VARIABLE = "MAGNOLIAHOLD_TRACEBACK"


def report_error(error: BaseException) -> int:
    """Prints one line for each fault of an error and returns the exit code."""
    if isinstance(error, KeyboardInterrupt):
        return EXIT_INTERRUPTED
    if isinstance(error, BaseExceptionGroup):
        return max(report_error(inner) for inner in error.exceptions)
    if isinstance(error, MagnoliaholdError):
        print_line(str(error))
        return error.exit_code
    if isinstance(error, CannotListenError):
        print_line(
            f"cannot listen on {error.interface}:{error.port} ({error.socketError}); "
            "free the port or choose another address or port"
        )
        return EXIT_FAILURE
    if isinstance(error, ZMQError):
        print_line(
            f"cannot listen for links ({error}); free the port or choose another "
            "address or link_port"
        )
        return EXIT_FAILURE
    if isinstance(error, OSError):
        print_line(
            f"{describe_os_error(error)}; correct that and run the command again"
        )
        return EXIT_FAILURE
    print_line(
        f"internal error ({type(error).__name__}: {error}); report it, with the "
        f"traceback that {TRACEBACK_VARIABLE}=1 prints"
    )
    if os.environ.get(TRACEBACK_VARIABLE):
        traceback.print_exception(error, file=sys.stderr)
    return EXIT_INTERNAL


def describe_os_error(error: OSError) -> str:
    """Describes an operating system error, with the file name if there is one."""
    reason = error.strerror or str(error)
    return f"{error.filename}: {reason}" if error.filename else reason


def print_line(message: str) -> None:
    """Prints a message as one line to standard error."""
    line = " ".join(message.split())
    print(f"magnoliahold: {line}", file=sys.stderr)
