"""Entry point of the `magnoliahold` program."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NoReturn

from magnoliahold.cli.apply import apply
from magnoliahold.cli.arguments import parse_arguments
from magnoliahold.cli.check import check
from magnoliahold.cli.dev import dev
from magnoliahold.cli.drain import drain
from magnoliahold.cli.entry import entry
from magnoliahold.cli.errors import report_error
from magnoliahold.cli.explain import explain
from magnoliahold.cli.measure import measure
from magnoliahold.cli.moves import moves
from magnoliahold.cli.serve import serve
from magnoliahold.cli.sidecar import sidecar
from magnoliahold.cli.soak import soak
from magnoliahold.cli.standin import engine, platform, service
from magnoliahold.cli.status import status

if TYPE_CHECKING:
    from collections.abc import Sequence

COMMANDS = {
    "entry": entry,
    "sidecar": sidecar,
    "serve": serve,
    "explain": explain,
    "soak": soak,
    "standin": {"engine": engine, "service": service, "platform": platform},
    "dev": dev,
    "check": check,
    "apply": apply,
    "status": status,
    "moves": moves,
    "drain": drain,
    "measure": measure,
}


def run_application() -> NoReturn:
    """Runs the command named on the command line and exits."""
    sys.exit(run_command(sys.argv[1:]))


def run_command(argv: Sequence[str]) -> int:
    """Runs one command and returns its exit code."""
    try:
        result = parse_arguments(COMMANDS, argv)()
    except SystemExit as exit_request:
        return exit_request.code if isinstance(exit_request.code, int) else 0
    except (Exception, KeyboardInterrupt) as error:
        return report_error(error)
    return result if isinstance(result, int) else 0
