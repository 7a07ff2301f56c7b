"""Parses the command line and reports usage errors in one line."""

from __future__ import annotations

import contextlib
import io
import sys
from typing import TYPE_CHECKING, Any

import defopt  # type: ignore[import-untyped]

from magnoliahold import __version__
from magnoliahold.errors import UsageError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    Commands = Mapping[str, Any]

PROGRAM = "magnoliahold"
LIST_OPTIONS = ("--parameter",)
# `for` is a Python keyword, so a parameter cannot have that name.
OPTION_ALIASES = {"--for": "--duration-s"}
OUTPUT_REPLACEMENTS = (
    ("--duration-s DURATION_S", "--for SECONDS"),
    ("--duration-s", "--for"),
    (" | None value", " value"),
)


def parse_arguments(commands: Commands, argv: Sequence[str]) -> Callable[[], Any]:
    """Parses arguments and returns the command to call.

    Raises `UsageError` for invalid arguments, and SystemExit after printing help.
    """
    output, errors = io.StringIO(), io.StringIO()
    argv = [replace_alias(argument) for argument in argv]
    for option in LIST_OPTIONS:
        argv = join_option_values(argv, option)
    try:
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            command: Callable[[], Any] = defopt.bind(
                commands,
                argv=list(argv),
                version=__version__,
                short={},
                argparse_kwargs={"prog": PROGRAM},
            )
            return command
    except SystemExit as exit_request:
        if exit_request.code:
            raise UsageError(
                describe_usage(errors.getvalue(), commands, argv)
            ) from None
        sys.stdout.write(show_options_as_typed(output.getvalue()))
        raise


def join_option_values(argv: Sequence[str], option: str) -> list[str]:
    """Joins the NAME=VALUE arguments of an option that is given more than once."""
    others: list[str] = []
    values: list[str] = []
    previous = ""
    in_option = False
    for argument in argv:
        if argument == option:
            in_option = True
        elif argument.startswith(f"{option}="):
            values.append(argument.removeprefix(f"{option}="))
        elif in_option and (previous == option or is_assignment(argument)):
            values.append(argument)
        else:
            others.append(argument)
            in_option = False
        previous = argument
    return [*others, option, *values] if values else others


def is_assignment(argument: str) -> bool:
    """Returns whether an argument has the format NAME=VALUE."""
    return "=" in argument and not argument.startswith("-")


def replace_alias(argument: str) -> str:
    """Replaces the alias of an option with the option's name."""
    option, separator, value = argument.partition("=")
    return OPTION_ALIASES.get(option, option) + separator + value


def show_options_as_typed(text: str) -> str:
    """Replaces option names in the parser's output with those that users type."""
    for old, new in OUTPUT_REPLACEMENTS:
        text = text.replace(old, new)
    return text


def describe_usage(printed: str, commands: Commands, argv: Sequence[str]) -> str:
    """Describes invalid arguments in one line, based on the parser's output."""
    reason = show_options_as_typed(printed).strip().rsplit("error: ", 1)[-1]
    command = " ".join([PROGRAM, *find_command_words(commands, argv)])
    return f"{' '.join(reason.split())}; see `{command} --help`"


def find_command_words(commands: Commands, argv: Sequence[str]) -> list[str]:
    """Returns the words of the command in `argv`, such as `standin engine`."""
    words: list[str] = []
    inner: Any = commands
    for argument in argv:
        if not isinstance(inner, dict) or argument not in inner:
            break
        words.append(argument)
        inner = inner[argument]
    return words
