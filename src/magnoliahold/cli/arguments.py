"""Parses the command line, with errors of one line."""

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

LIST_OPTIONS = ("--parameter",)
# `for` is a Python keyword, so no parameter can have that name.
OPTION_ALIASES = {"--for": "--duration-s"}
HELP_REPLACEMENTS = (("--duration-s DURATION_S", "--for SECONDS"),)


def parse_arguments(commands: Commands, argv: Sequence[str]) -> Callable[[], Any]:
    """Parses arguments and returns the command to call.

    Raises `UsageError` for faulty arguments, and SystemExit after printing help.
    """
    output, errors = io.StringIO(), io.StringIO()
    argv = [replace_alias(argument) for argument in argv]
    for option in LIST_OPTIONS:
        argv = gather_option(argv, option)
    try:
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            command: Callable[[], Any] = defopt.bind(
                commands, argv=list(argv), version=__version__, short={}
            )
            return command
    except SystemExit as exit_request:
        if exit_request.code:
            raise UsageError(
                describe_usage(errors.getvalue(), commands, argv)
            ) from None
        sys.stdout.write(adapt_help(output.getvalue()))
        raise


def gather_option(argv: Sequence[str], option: str) -> list[str]:
    """Joins the values of an option that is given several times."""
    others: list[str] = []
    values: list[str] = []
    arguments = iter(argv)
    for argument in arguments:
        if argument == option:
            values.append(next(arguments, ""))
        elif argument.startswith(f"{option}="):
            values.append(argument.removeprefix(f"{option}="))
        else:
            others.append(argument)
    return [*others, option, *values] if values else others


def replace_alias(argument: str) -> str:
    """Replaces an option's alias by the option's name."""
    option, separator, value = argument.partition("=")
    return OPTION_ALIASES.get(option, option) + separator + value


def adapt_help(text: str) -> str:
    """Shows options that have an alias by that alias."""
    for old, new in HELP_REPLACEMENTS:
        text = text.replace(old, new)
    return text


def describe_usage(printed: str, commands: Commands, argv: Sequence[str]) -> str:
    """Describes faulty arguments in one line, given what the parser printed."""
    reason = printed.strip().rsplit("error: ", 1)[-1]
    command = " ".join(["magnoliahold", *find_command_words(commands, argv)])
    return f"{' '.join(reason.split())}; see `{command} --help`"


def find_command_words(commands: Commands, argv: Sequence[str]) -> list[str]:
    """Finds the words that name a command, such as `standin engine`."""
    words: list[str] = []
    inner: Any = commands
    for argument in argv:
        if not isinstance(inner, dict) or argument not in inner:
            break
        words.append(argument)
        inner = inner[argument]
    return words
