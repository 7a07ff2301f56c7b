"""Converts trees of validation errors into lists of faults with paths."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cattrs.errors import (
    AttributeValidationNote,
    ForbiddenExtraKeysError,
    IterableValidationNote,
)

from magnoliahold.errors import SettingsError
from magnoliahold.settings.checks import MAX_NAME_LENGTH, FieldError

if TYPE_CHECKING:
    from collections.abc import Iterator


def group_faults(faults: list[SettingsError]) -> ExceptionGroup[SettingsError]:
    """Returns an exception group of the faults of one file."""
    plural = "" if len(faults) == 1 else "s"
    return ExceptionGroup(f"{len(faults)} fault{plural}", faults)


def collect_faults(error: BaseException, path: str) -> Iterator[SettingsError]:
    """Yields the faults in a tree of validation errors, with their paths."""
    current_path = path + read_path_step(error, path)
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from collect_faults(inner, current_path)
        return
    if isinstance(error, ForbiddenExtraKeysError):
        for key in sorted(map(str, error.extra_fields)):
            yield SettingsError(
                join_path(current_path, key[:MAX_NAME_LENGTH]),
                "the key is unknown",
                "remove it or correct its spelling",
            )
    elif isinstance(error, FieldError):
        fault_path = f"{current_path}{error.path}" or "document"
        yield SettingsError(fault_path.removeprefix("."), error.problem, error.remedy)
    elif isinstance(error, KeyError):
        yield SettingsError(current_path or "document", "it is missing", "add it")
    else:
        problem = " ".join(str(error).split()) or type(error).__name__
        yield SettingsError(current_path or "document", problem, "correct it")


def read_path_step(error: BaseException, path: str) -> str:
    """Reads the last step of the path to a fault from the notes that cattrs adds."""
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, AttributeValidationNote):
            return join_path(path, get_yaml_key(note.name))[len(path) :]
        if isinstance(note, IterableValidationNote):
            if isinstance(note.index, int):
                return f"[{note.index}]"
            return join_path(path, str(note.index)[:MAX_NAME_LENGTH])[len(path) :]
    return ""


def join_path(path: str, key: str) -> str:
    """Appends a key to a path."""
    return f"{path}.{key}" if path else key


def get_yaml_key(attribute_name: str) -> str:
    """Returns the YAML key of an attribute, such as `class` for `class_`."""
    return attribute_name.rstrip("_")
