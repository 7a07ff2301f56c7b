"""Exceptions that commands report; their messages say what to do."""

from __future__ import annotations


class MagnoliaholdError(Exception):
    """Base class of the errors that a command reports in one line.

    `exit_code` is the exit status of the command line program.
    """

    exit_code = 1


def escape_unprintable(text: str) -> str:
    """Escapes the unprintable characters of a text, such as line breaks."""
    return "".join(
        character
        if character.isprintable()
        else character.encode("unicode_escape").decode("ascii")
        for character in text
    )


class SettingsError(MagnoliaholdError):
    """A fault in a settings or template file, with the path of the key and a remedy."""

    exit_code = 2

    def __init__(self, path: str, problem: str, remedy: str) -> None:
        super().__init__(escape_unprintable(f"{path}: {problem}; {remedy}"))
        self.path = path
        self.problem = problem
        self.remedy = remedy


class UsageError(MagnoliaholdError):
    """A command was given invalid arguments."""

    exit_code = 2


class OperatorUnreachableError(MagnoliaholdError):
    """The operators' API of an entry did not answer."""

    exit_code = 3


class OperatorRefusedError(MagnoliaholdError):
    """The operators' API of an entry rejected a request."""

    exit_code = 4


class VersionConflictError(MagnoliaholdError):
    """The workspace was changed since the version that the operator expected."""

    exit_code = 5

    def __init__(self, workspace: str, current_version: int | None) -> None:
        super().__init__(
            f"workspace {workspace} was changed by someone else and is now at version "
            f"{current_version}; read it back with `magnoliahold status`, then apply "
            f"again with --expected-version {current_version}"
        )
        self.workspace = workspace
        self.current_version = current_version


class ProcessBrokenError(MagnoliaholdError):
    """A process stopped because its tables violated an invariant."""

    exit_code = 70

    def __init__(self) -> None:
        super().__init__(
            "the process stopped because its tables broke an invariant; restart it "
            "and report the log line that begins with 'invariant:'"
        )
