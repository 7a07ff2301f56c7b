"""Parses, validates and encodes workspace templates for the table service."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING, Any

import msgspec

from magnoliahold.decoding import translate_errors
from magnoliahold.errors import SettingsError
from magnoliahold.settings.checks import MAX_NAME_LENGTH, FieldError, require_name
from magnoliahold.settings.documents import parse_document
from magnoliahold.settings.faults import group_faults, join_path
from magnoliahold.settings.structuring import (
    make_converter,
    structure_document,
    structure_string,
)
from magnoliahold.templates.model import WorkspaceTemplate
from magnoliahold.templates.parameters import (
    Parameter,
    Substitution,
    resolve_parameters,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cattrs import Converter

PARAMETERS = "parameters"
FIRST_DEADLINE_YEAR = 2000
LAST_DEADLINE_YEAR = 2200

ENCODER = msgspec.json.Encoder()
DECODER = msgspec.json.Decoder(WorkspaceTemplate)


def parse_template(
    text: str, parameters: Mapping[str, Any] | None = None
) -> WorkspaceTemplate:
    """Parses a template and substitutes its parameters.

    Raises an exception group of `SettingsError` with every fault found.
    """
    try:
        document = parse_document(text)
    except SettingsError as error:
        raise group_faults([error]) from None
    return check_template(document, parameters or {})


def check_template(
    document: dict[str, Any], supplied: Mapping[str, Any]
) -> WorkspaceTemplate:
    """Validates a parsed document; see `parse_template`."""
    converter = make_converter()
    converter.register_structure_hook(datetime, structure_deadline)
    declared, faults = read_declarations(converter, document.get(PARAMETERS))
    values, value_faults = resolve_parameters(declared, supplied)
    faults.extend(value_faults)
    body = {key: value for key, value in document.items() if key != PARAMETERS}
    substitution = Substitution(values, list_declared_names(document.get(PARAMETERS)))
    substituted = {**substitution.substitute(body), PARAMETERS: values}
    faults.extend(substitution.faults.values())
    try:
        template = structure_document(converter, substituted, WorkspaceTemplate)
    except ExceptionGroup as group:
        reported_paths = substitution.unresolved | set(substitution.faults)
        for fault in group.exceptions:
            if isinstance(fault, SettingsError) and fault.path not in reported_paths:
                faults.append(fault)
    if faults:
        raise group_faults(faults)
    return template


def read_declarations(
    converter: Converter, declared: Any
) -> tuple[dict[str, Parameter], list[SettingsError]]:
    """Returns the valid parameter declarations, and the faults of invalid ones."""
    if declared is None:
        return {}, []
    if not isinstance(declared, dict):
        problem = "it is not a mapping"
        remedy = "declare each parameter as `name: {type: ...}`"
        return {}, [SettingsError(PARAMETERS, problem, remedy)]
    parameters = {}
    faults = []
    for name, declaration in declared.items():
        path = join_path(PARAMETERS, str(name)[:MAX_NAME_LENGTH])
        try:
            parameters[structure_name(name)] = structure_document(
                converter, declaration, Parameter
            )
        except FieldError as error:
            faults.append(SettingsError(path, error.problem, error.remedy))
        except ExceptionGroup as group:
            faults.extend(add_path_prefix(group, path))
    return parameters, faults


def list_declared_names(declared: Any) -> frozenset[str]:
    """Returns the names of all declared parameters, including invalid ones."""
    return frozenset(map(str, declared)) if isinstance(declared, dict) else frozenset()


def structure_name(name: Any) -> str:
    """Accepts only a valid name."""
    accepted = structure_string(name, str)
    require_name(accepted)
    return accepted


def add_path_prefix(group: ExceptionGroup[Exception], path: str) -> list[SettingsError]:
    """Returns the faults of a group with `path` prepended to their paths."""
    faults = [fault for fault in group.exceptions if isinstance(fault, SettingsError)]
    prefixed = []
    for fault in faults:
        inner = "" if fault.path == "document" else f".{fault.path}"
        prefixed.append(SettingsError(path + inner, fault.problem, fault.remedy))
    return prefixed


def structure_deadline(value: Any, _: Any) -> datetime:
    """Accepts only an RFC 3339 time with a time zone."""
    remedy = "write an RFC 3339 time with a zone, such as 2027-02-06T05:30:00+04:00"
    try:
        deadline = datetime.fromisoformat(value)
    except (TypeError, ValueError):
        raise FieldError("it is not a time", remedy) from None
    if deadline.utcoffset() is None:
        raise FieldError("it has no time zone", remedy)
    if not FIRST_DEADLINE_YEAR <= deadline.year <= LAST_DEADLINE_YEAR:
        raise FieldError("the year is out of range", remedy)
    return deadline


def encode_template(template: WorkspaceTemplate) -> bytes:
    """Encodes a template as JSON, as stored in a table row."""
    return ENCODER.encode(template)


def decode_template(content: bytes) -> WorkspaceTemplate:
    """Decodes a template from a table row.

    Raises `SettingsError` when the content is not an encoded template.
    """
    with translate_errors(_make_row_error):
        return DECODER.decode(content)


def _make_row_error(reason: str) -> SettingsError:
    return SettingsError("template row", reason, "apply the workspace's template again")
