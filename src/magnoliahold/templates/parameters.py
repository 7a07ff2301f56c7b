"""Parameters of a template: their declaration, values and substitution."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING, Any, ClassVar, Literal

from attrs import field, frozen

from magnoliahold.errors import SettingsError
from magnoliahold.settings.checks import FieldError, Relation, raise_faults
from magnoliahold.settings.faults import join_path

if TYPE_CHECKING:
    from collections.abc import Mapping

ParameterValue = str | int | float | bool

REFERENCE = re.compile(r"\$\{([^{}]*)\}")
MAX_SUBSTITUTED_CHARACTERS = 10_000
BOOLEAN_WORDS = {"true": True, "false": False}


def require_default_type(type: str, default: Any) -> None:
    """Checks that the default value of a parameter has its declared type."""
    if default is None:
        return
    try:
        convert_parameter(type, default)
    except FieldError as error:
        raise_faults([FieldError(error.problem, error.remedy, ".default")])


@frozen
class Parameter:
    """Declaration of a parameter; without a default, a value must be supplied."""

    type: Literal["string", "integer", "number", "boolean"]
    default: Any = None
    description: str = ""

    relations: ClassVar[tuple[Relation, ...]] = (
        Relation(("type", "default"), require_default_type),
    )


@frozen
class Substitution:
    """Replaces `${name}` in the values of a document, collecting faults by path.

    `unresolved` holds the paths of references to declared parameters that have no valid
    value; that fault is reported for the parameter itself.
    """

    values: Mapping[str, ParameterValue]
    declared: frozenset[str]
    faults: dict[str, SettingsError] = field(factory=dict)
    unresolved: set[str] = field(factory=set)

    def substitute(self, node: Any, path: str = "") -> Any:
        """Returns a copy of a document node with its references replaced."""
        if isinstance(node, dict):
            return {
                key: self.substitute(value, join_path(path, str(key)))
                for key, value in node.items()
            }
        if isinstance(node, list):
            return [
                self.substitute(value, f"{path}[{index}]")
                for index, value in enumerate(node)
            ]
        if isinstance(node, str):
            return self.substitute_text(node, path)
        return node

    def substitute_text(self, text: str, path: str) -> ParameterValue:
        """Replaces the references in a string.

        A string that consists of one reference becomes the value, with its type.
        """
        reference = REFERENCE.fullmatch(text)
        if reference:
            return self.find_value(reference[1], path)
        result = REFERENCE.sub(
            lambda match: format_value(self.find_value(match[1], path)), text
        )
        if len(result) > max(len(text), MAX_SUBSTITUTED_CHARACTERS):
            self.add_fault(
                path, "it is too long after substitution", "use shorter parameters"
            )
            return text
        return result

    def find_value(self, name: str, path: str) -> ParameterValue:
        """Returns the value of a parameter, or records the path of the reference."""
        if name in self.values:
            return self.values[name]
        if name in self.declared:
            self.unresolved.add(path)
        else:
            self.add_fault(
                path,
                f"the parameter {name[:50]!r} is not declared",
                "declare it under `parameters`",
            )
        return ""

    def add_fault(self, path: str, problem: str, remedy: str) -> None:
        """Adds a fault unless the path already has one."""
        self.faults.setdefault(path, SettingsError(path, problem, remedy))


def format_value(value: ParameterValue) -> str:
    """Formats a value for insertion into a string."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def convert_parameter(kind: str, value: Any) -> ParameterValue:
    """Converts a value given as a string, or checks the type of any other value.

    Raises `FieldError` when the value is not of `kind`.
    """
    converted = convert_text(kind, value) if isinstance(value, str) else value
    if not is_of_kind(kind, converted):
        raise FieldError(f"the value is not of type {kind}", f"give one of type {kind}")
    result: ParameterValue = converted
    return result


def convert_text(kind: str, text: str) -> Any:
    """Converts a string to a type; returns it unchanged when that is impossible."""
    try:
        if kind == "integer":
            return int(text)
        if kind == "number":
            return float(text)
    except ValueError:
        return text
    if kind == "boolean":
        return BOOLEAN_WORDS.get(text.strip().lower(), text)
    return text


def is_of_kind(kind: str, value: Any) -> bool:
    """Returns whether a value has the type of a parameter."""
    if kind == "boolean":
        return isinstance(value, bool)
    if kind == "string":
        return isinstance(value, str)
    if isinstance(value, bool):
        return False
    if kind == "integer":
        return isinstance(value, int)
    return isinstance(value, int) or (isinstance(value, float) and math.isfinite(value))


def resolve_parameters(
    declared: Mapping[str, Parameter], supplied: Mapping[str, Any]
) -> tuple[dict[str, ParameterValue], list[SettingsError]]:
    """Returns the value of each parameter, and the faults of invalid values."""
    values = {}
    faults = []
    for name in supplied:
        if name not in declared:
            faults.append(
                SettingsError(
                    join_path("parameters", str(name)[:50]),
                    "a value is supplied but the parameter is not declared",
                    "declare it or leave the value out",
                )
            )
    for name, parameter in declared.items():
        value = supplied.get(name, parameter.default)
        path = join_path("parameters", name)
        if value is None:
            faults.append(
                SettingsError(path, "it has no value", "give a value or a default")
            )
            continue
        try:
            values[name] = convert_parameter(parameter.type, value)
        except FieldError as error:
            faults.append(SettingsError(path, error.problem, error.remedy))
    return values, faults
