"""Converts parsed YAML to attrs classes and collects every fault with its path."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, Literal, TypeVar, get_args, get_origin

import attrs
from cattrs import Converter
from cattrs.cols import (
    homogenous_tuple_structure_factory,
    mapping_structure_factory,
)
from cattrs.errors import ClassValidationError
from cattrs.gen import make_dict_structure_fn, override

from magnoliahold.settings.checks import CHECKS, FieldError
from magnoliahold.settings.faults import collect_faults, get_yaml_key, group_faults

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from magnoliahold.settings.checks import Relation

    Hook = Callable[[Any, Any], Any]

T = TypeVar("T")


def make_converter() -> Converter:
    """Creates a strict converter: no type coercion and no unknown keys."""
    converter = Converter(forbid_extra_keys=True, detailed_validation=True)
    converter.register_structure_hook(str, structure_string)
    converter.register_structure_hook(bool, structure_boolean)
    converter.register_structure_hook(int, structure_integer)
    converter.register_structure_hook(float, structure_number)
    converter.register_structure_hook_func(is_literal, structure_literal)
    converter.register_structure_hook_factory(attrs.has, make_class_hook)
    converter.register_structure_hook_factory(is_tuple, make_tuple_hook)
    converter.register_structure_hook_factory(is_dict, make_dict_hook)
    return converter


def is_literal(kind: Any) -> bool:
    """Returns whether a type is a `Literal`."""
    return get_origin(kind) is Literal


def is_tuple(kind: Any) -> bool:
    """Returns whether a type is `tuple[X, ...]`."""
    return get_origin(kind) is tuple


def is_dict(kind: Any) -> bool:
    """Returns whether a type is `dict[X, Y]`."""
    return get_origin(kind) is dict


def structure_string(value: Any, _: Any) -> str:
    """Accepts only a string."""
    if not isinstance(value, str):
        raise FieldError(f"{describe_value(value)} is not a string", "put it in quotes")
    return value


def structure_boolean(value: Any, _: Any) -> bool:
    """Accepts only true and false."""
    if not isinstance(value, bool):
        raise FieldError(
            f"{describe_value(value)} is not a boolean", "use true or false"
        )
    return value


def structure_integer(value: Any, _: Any) -> int:
    """Accepts only an integer."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise FieldError(
            f"{describe_value(value)} is not an integer", "use a whole number"
        )
    return value


def structure_number(value: Any, _: Any) -> float:
    """Accepts only a finite number."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldError(f"{describe_value(value)} is not a number", "use a number")
    try:
        number = float(value)
    except OverflowError:
        number = math.inf
    if not math.isfinite(number):
        raise FieldError("the number is not finite", "use a finite number")
    return number


def structure_literal(value: Any, kind: Any) -> Any:
    """Accepts only a value of the given `Literal`."""
    choices = get_args(kind)
    if not isinstance(value, str | int) or value not in choices:
        listed = ", ".join(str(choice) for choice in choices)
        raise FieldError(
            f"{describe_value(value)} is not a valid choice", f"use one of {listed}"
        )
    return value


def make_class_hook(kind: Any, converter: Converter) -> Hook:
    """Returns the hook of an attrs class, which applies its checks and relations."""
    hooks = {
        attribute.name: make_checked_hook(attribute, converter)
        for attribute in attrs.fields(attrs.resolve_types(kind))
    }
    overrides = {
        name: override(rename=get_yaml_key(name), struct_hook=hook)
        for name, hook in hooks.items()
    }
    structure: Hook = make_dict_structure_fn(kind, converter, **overrides)  # type: ignore[arg-type]

    def structure_class(value: Any, _: Any) -> Any:
        errors: list[Exception] = []
        result = None
        try:
            result = structure(value, kind)
        except ClassValidationError as group:
            errors.extend(group.exceptions)
        for relation in getattr(kind, "relations", ()):
            errors.extend(check_relation(relation, kind, hooks, value))
        if errors:
            raise ClassValidationError(f"faults of {kind.__name__}", errors, kind)
        return result

    return require_kind(dict, "a mapping", "write `key: value` lines", structure_class)


def check_relation(
    relation: Relation, kind: Any, hooks: dict[str, Hook], value: dict[str, Any]
) -> Iterator[Exception]:
    """Checks a relation if all its fields are valid, and yields what it raises."""
    attributes = attrs.fields_dict(kind)
    field_values = {}
    for name in relation.fields:
        attribute = attributes[name]
        key = get_yaml_key(name)
        try:
            if key in value:
                field_values[name] = hooks[name](value[key], attribute.type)
            else:
                field_values[name] = make_default(attribute)
        except Exception:  # reported by the hook of the field
            return
    try:
        relation.check(**field_values)
    except (FieldError, ExceptionGroup) as error:
        yield error


def make_default(attribute: attrs.Attribute[Any]) -> Any:
    """Returns the default value of a field; raises KeyError when it has none."""
    default: Any = attribute.default
    if default is attrs.NOTHING:
        raise KeyError(attribute.name)
    if isinstance(default, attrs.Factory):  # type: ignore[arg-type]
        return default.factory()
    return default


def make_checked_hook(attribute: attrs.Attribute[Any], converter: Converter) -> Hook:
    """Returns the hook of one field: the hook of its type, then the field's checks."""
    functions = attribute.metadata.get(CHECKS, ())

    def structure(value: Any, kind: Any) -> Any:
        result = converter.structure(value, kind)
        check_validator(attribute, result)
        for check in functions:
            check(result)
        return result

    return structure


def check_validator(attribute: attrs.Attribute[Any], value: Any) -> None:
    """Applies the attrs validator of a field, if any, so that its fault has a path."""
    if attribute.validator is None:
        return
    try:
        attribute.validator(None, attribute, value)
    except (ValueError, TypeError) as error:
        raise FieldError(str(error), "give a value within that bound") from None


def make_tuple_hook(kind: Any, converter: Converter) -> Hook:
    """Returns the hook of `tuple[X, ...]`, which accepts only a YAML list."""
    structure: Hook = homogenous_tuple_structure_factory(kind, converter)
    return require_kind(list, "a list", "write one `- item` a line", structure)


def make_dict_hook(kind: Any, converter: Converter) -> Hook:
    """Returns the hook of `dict[X, Y]`, which accepts only a YAML mapping."""
    structure: Hook = mapping_structure_factory(kind, converter)
    return require_kind(dict, "a mapping", "write `key: value` lines", structure)


def require_kind(accepted: type, name: str, remedy: str, structure: Hook) -> Hook:
    """Wraps a hook so that it rejects values of another type."""

    def structure_accepted(value: Any, kind: Any) -> Any:
        if not isinstance(value, accepted):
            raise FieldError(f"{describe_value(value)} is not {name}", remedy)
        return structure(value, kind)

    return structure_accepted


def describe_value(value: Any) -> str:
    """Describes an invalid value without quoting text, which may be long or secret."""
    if value is None:
        return "an empty value"
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list):
        return "a list"
    if isinstance(value, str):
        return "a string"
    return str(value)[:50]


def structure_document(converter: Converter, mapping: Any, kind: type[T]) -> T:
    """Structures a mapping; raises one group of `SettingsError` with all faults."""
    try:
        return converter.structure(mapping, kind)
    except Exception as error:  # cattrs raises many types
        raise group_faults(list(collect_faults(error, ""))) from None
