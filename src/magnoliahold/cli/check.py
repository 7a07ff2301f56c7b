"""The `check` command."""

from __future__ import annotations

from pathlib import Path  # noqa: TC003
from typing import TYPE_CHECKING, Any

from magnoliahold.cli.errors import report_error
from magnoliahold.cli.parameters import parse_parameters
from magnoliahold.errors import SettingsError, UsageError
from magnoliahold.settings.documents import parse_document, read_text
from magnoliahold.settings.loading import (
    parse_entry_settings,
    parse_serving_settings,
    parse_sidecar_settings,
)
from magnoliahold.templates import parse_template

if TYPE_CHECKING:
    from collections.abc import Mapping

TEMPLATE_KEYS = frozenset(("workspace", "works", "services", "parameters"))
SIDECAR_KEYS = frozenset(("upstream",))
ENTRY_KEYS = frozenset(("credentials", "caller_port", "limits"))
SERVING_KEYS = frozenset(("callers", "store"))


def check(*files: Path, parameter: list[str] = []) -> int:  # noqa: B006
    """Validates settings and template files and reports every fault.

    The type of a file is detected from its keys.

    Args:
        files: The YAML files to check.
        parameter: Values for the templates' parameters, as NAME=VALUE.
    """
    if not files:
        raise UsageError("no file is given; see `magnoliahold check --help`")
    values = parse_parameters(parameter)
    return max(check_file(path, values) for path in files)


def check_file(path: Path, parameters: Mapping[str, str]) -> int:
    """Validates one file, prints the result and returns the exit code."""
    try:
        kind = check_content(path, parameters)
    except (ExceptionGroup, SettingsError) as error:
        faults = error.exceptions if isinstance(error, ExceptionGroup) else (error,)
        return max(report_error(add_file_name(path, fault)) for fault in faults)
    print(f"{path}: {kind} without faults")
    return 0


def check_content(path: Path, parameters: Mapping[str, str]) -> str:
    """Validates the content of a file and returns its type."""
    text = read_text(path)
    document = parse_document(text)
    kind = detect_kind(document)
    if kind == "template":
        parse_template(text, parameters)
    elif kind == "sidecar settings":
        parse_sidecar_settings(document, path.parent)
    elif kind == "serving settings":
        parse_serving_settings(document, path.parent)
    else:
        parse_entry_settings(document, path.parent)
    return kind


def detect_kind(document: Mapping[str, Any]) -> str:
    """Detects the type of a file from its keys."""
    keys = frozenset(document)
    if keys & SIDECAR_KEYS:
        return "sidecar settings"
    if keys & SERVING_KEYS:
        return "serving settings"
    if keys & ENTRY_KEYS:
        return "entry settings"
    if keys & TEMPLATE_KEYS:
        return "template"
    raise SettingsError(
        "document",
        "it is neither settings nor a template",
        "add `upstream` (sidecar), `credentials` (entry), `store` (serving entry) or "
        "`workspace` (template)",
    )


def add_file_name(path: Path, fault: Exception) -> Exception:
    """Adds the file name to the path of a fault."""
    if not isinstance(fault, SettingsError) or fault.path == str(path):
        return fault
    return SettingsError(f"{path}: {fault.path}", fault.problem, fault.remedy)
