"""Loads and validates settings files."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

from magnoliahold.errors import SettingsError
from magnoliahold.settings.credentials import Secret, make_secret_hook
from magnoliahold.settings.documents import parse_document, read_text
from magnoliahold.settings.faults import group_faults
from magnoliahold.settings.model import EntrySettings, SidecarSettings
from magnoliahold.settings.serving import ServingSettings
from magnoliahold.settings.structuring import make_converter, structure_document

if TYPE_CHECKING:
    from collections.abc import Mapping

T = TypeVar("T")


def load_entry_settings(path: str | Path) -> EntrySettings:
    """Loads the settings of an entry.

    Raises an exception group of `SettingsError` with every fault of the file.
    """
    return load_settings(Path(path), EntrySettings)


def load_sidecar_settings(path: str | Path) -> SidecarSettings:
    """Loads the settings of a sidecar.

    Raises an exception group of `SettingsError` with every fault of the file.
    """
    return load_settings(Path(path), SidecarSettings)


def load_serving_settings(path: str | Path) -> ServingSettings:
    """Loads the settings of an entry that calls its upstreams itself.

    Raises an exception group of `SettingsError` with every fault of the file.
    """
    return load_settings(Path(path), ServingSettings)


def parse_entry_settings(
    mapping: Mapping[str, Any], base_directory: Path | None = None
) -> EntrySettings:
    """Validates the settings of an entry given as a mapping."""
    return parse_settings(mapping, EntrySettings, base_directory or Path())


def parse_sidecar_settings(
    mapping: Mapping[str, Any], base_directory: Path | None = None
) -> SidecarSettings:
    """Validates the settings of a sidecar given as a mapping."""
    return parse_settings(mapping, SidecarSettings, base_directory or Path())


def parse_serving_settings(
    mapping: Mapping[str, Any], base_directory: Path | None = None
) -> ServingSettings:
    """Validates the settings of a serving entry given as a mapping."""
    return parse_settings(mapping, ServingSettings, base_directory or Path())


def load_settings(path: Path, kind: type[T]) -> T:
    """Loads a settings file; credential files are resolved relative to it."""
    try:
        mapping = parse_document(read_text(path))
    except SettingsError as error:
        raise group_faults([error]) from None
    return parse_settings(mapping, kind, path.parent)


def parse_settings(
    mapping: Mapping[str, Any], kind: type[T], base_directory: Path
) -> T:
    """Validates a mapping of settings."""
    converter = make_converter()
    converter.register_structure_hook(Secret, make_secret_hook(base_directory))
    return structure_document(converter, mapping, kind)
