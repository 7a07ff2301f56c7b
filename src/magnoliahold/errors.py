"""Typed errors whose messages name the remedy."""

from __future__ import annotations


class MagnoliaholdError(Exception):
    """Base of the errors that a command reports in one line.

    `exit_code` is the exit code of the command line program.
    """

    exit_code = 1


class SettingsError(MagnoliaholdError):
    """One fault in a settings or template file, with its path and remedy."""

    exit_code = 2

    def __init__(self, path: str, problem: str, remedy: str) -> None:
        super().__init__(f"{path}: {problem}; {remedy}")
        self.path = path
        self.problem = problem
        self.remedy = remedy
