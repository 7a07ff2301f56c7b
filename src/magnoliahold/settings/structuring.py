"""Turns parsed YAML into attrs classes, collecting every fault with its path."""

from __future__ import annotations

import ipaddress
import math
from typing import TYPE_CHECKING, Any, Literal, TypeVar, get_args, get_origin

import attrs
from cattrs import Converter
from cattrs.cols import (
    homogenous_tuple_structure_factory,
    mapping_structure_factory,
)
from cattrs.errors import (
    AttributeValidationNote,
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationNote,
)
from cattrs.gen import make_dict_structure_fn, override

from magnoliahold.errors import SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    Check = Callable[[Any], None]
    Hook = Callable[[Any, Any], Any]

T = TypeVar("T")

CHECKS = "checks"
MAX_NAME_LENGTH = 100
NAME_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
)


class FieldError(ValueError):
    """A fault of one value; `path` leads from the checked value to the faulty one."""

    def __init__(self, problem: str, remedy: str, path: str = "") -> None:
        super().__init__(problem)
        self.problem = problem
        self.remedy = remedy
        self.path = path


@attrs.frozen
class Relation:
    """A check over several fields of one class, called with their values by name.

    A class lists its relations in the class attribute `relations`. A relation is
    checked whenever its own fields are sound, also beside faults in other fields.
    """

    fields: tuple[str, ...]
    check: Callable[..., None]


def checks(*functions: Check) -> dict[str, tuple[Check, ...]]:
    """Makes the metadata of an attrs field whose value must pass `functions`."""
    return {CHECKS: functions}


def raise_faults(faults: list[FieldError]) -> None:
    """Raises several faults of one value together, if there are any."""
    if faults:
        raise ExceptionGroup("faults of one value", faults)


def require_range(minimum: float, maximum: float) -> Check:
    """Makes a check that a number lies between two bounds, both included."""

    def check(value: Any) -> None:
        if value is not None and not minimum <= value <= maximum:
            raise FieldError(
                f"{value} is out of range", f"use {minimum:g} to {maximum:g}"
            )

    return check


require_port = require_range(1, 65535)


def require_address(value: str) -> None:
    """Checks that a string is an IP number."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise FieldError(
            f"{value!r} is not an IP number", "write one such as 127.0.0.1"
        ) from None


def require_name(value: str | None) -> None:
    """Checks that a string can serve as a name in keys, paths and logs."""
    if value is None:
        return
    if not 0 < len(value) <= MAX_NAME_LENGTH or not set(value) <= NAME_CHARACTERS:
        raise FieldError(
            f"{value!r} is not a name",
            f"use 1 to {MAX_NAME_LENGTH} letters, digits, '-', '_' or '.'",
        )


def require_names(values: dict[str, Any]) -> None:
    """Checks that every key of a mapping is a name."""
    for name in values:
        require_name(name)


def require_http_url(value: str) -> None:
    """Checks that a string is the base URL of an HTTP service."""
    scheme, separator, rest = value.partition("://")
    if scheme not in ("http", "https") or not separator or not rest.strip("/"):
        raise FieldError(
            f"{value!r} is not an HTTP URL", "write one such as http://127.0.0.1:8000"
        )


def make_converter() -> Converter:
    """Makes a strict converter: no coercion and no unknown keys."""
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
    """Tells whether a type is a `Literal`."""
    return get_origin(kind) is Literal


def is_tuple(kind: Any) -> bool:
    """Tells whether a type is `tuple[X, ...]`."""
    return get_origin(kind) is tuple


def is_dict(kind: Any) -> bool:
    """Tells whether a type is `dict[X, Y]`."""
    return get_origin(kind) is dict


def structure_string(value: Any, _: Any) -> str:
    """Accepts a string only."""
    if not isinstance(value, str):
        raise FieldError(f"{describe(value)} is not a string", "put it in quotes")
    return value


def structure_boolean(value: Any, _: Any) -> bool:
    """Accepts true and false only."""
    if not isinstance(value, bool):
        raise FieldError(f"{describe(value)} is not a boolean", "use true or false")
    return value


def structure_integer(value: Any, _: Any) -> int:
    """Accepts an integer only."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise FieldError(f"{describe(value)} is not an integer", "use a whole number")
    return value


def structure_number(value: Any, _: Any) -> float:
    """Accepts a finite number only."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldError(f"{describe(value)} is not a number", "use a number")
    try:
        number = float(value)
    except OverflowError:
        number = math.inf
    if not math.isfinite(number):
        raise FieldError("the number is not finite", "use a finite number")
    return number


def structure_literal(value: Any, kind: Any) -> Any:
    """Accepts one of the values of a `Literal`."""
    choices = get_args(kind)
    if not isinstance(value, str | int) or value not in choices:
        listed = ", ".join(str(choice) for choice in choices)
        raise FieldError(f"{describe(value)} is not a choice", f"use one of {listed}")
    return value


def make_class_hook(kind: Any, converter: Converter) -> Hook:
    """Makes the hook of an attrs class, which applies its checks and relations."""
    hooks = {
        attribute.name: make_checked_hook(attribute, converter)
        for attribute in attrs.fields(attrs.resolve_types(kind))
    }
    overrides = {
        name: override(rename=name_key(name), struct_hook=hook)
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
    """Checks a relation if each of its fields is sound, and yields what it raises."""
    attributes = attrs.fields_dict(kind)
    parts = {}
    for name in relation.fields:
        attribute = attributes[name]
        key = name_key(name)
        try:
            if key in value:
                parts[name] = hooks[name](value[key], attribute.type)
            else:
                parts[name] = make_default(attribute)
        except Exception:  # reported by the field itself
            return
    try:
        relation.check(**parts)
    except (FieldError, ExceptionGroup) as error:
        yield error


def make_default(attribute: attrs.Attribute[Any]) -> Any:
    """Makes the default value of a field, or raises KeyError when it has none."""
    default: Any = attribute.default
    if default is attrs.NOTHING:
        raise KeyError(attribute.name)
    if isinstance(default, attrs.Factory):  # type: ignore[arg-type]
        return default.factory()
    return default


def name_key(attribute_name: str) -> str:
    """Names the YAML key of an attribute: `class_` stands for `class`."""
    return attribute_name.rstrip("_")


def make_checked_hook(attribute: attrs.Attribute[Any], converter: Converter) -> Hook:
    """Makes the hook of one field: its type's own hook, then the field's checks."""
    functions = attribute.metadata.get(CHECKS, ())

    def structure(value: Any, kind: Any) -> Any:
        result = converter.structure(value, kind)
        check_validator(attribute, result)
        for check in functions:
            check(result)
        return result

    return structure


def check_validator(attribute: attrs.Attribute[Any], value: Any) -> None:
    """Applies the validator of a field, if any, so that its fault has a path."""
    if attribute.validator is None:
        return
    try:
        attribute.validator(None, attribute, value)
    except (ValueError, TypeError) as error:
        raise FieldError(str(error), "give a value within that bound") from None


def make_tuple_hook(kind: Any, converter: Converter) -> Hook:
    """Makes the hook of `tuple[X, ...]`, which accepts a YAML list only."""
    structure: Hook = homogenous_tuple_structure_factory(kind, converter)
    return require_kind(list, "a list", "write one `- item` a line", structure)


def make_dict_hook(kind: Any, converter: Converter) -> Hook:
    """Makes the hook of `dict[X, Y]`, which accepts a YAML mapping only."""
    structure: Hook = mapping_structure_factory(kind, converter)
    return require_kind(dict, "a mapping", "write `key: value` lines", structure)


def require_kind(accepted: type, name: str, remedy: str, structure: Hook) -> Hook:
    """Wraps a hook so that it refuses values of another kind."""

    def structure_accepted(value: Any, kind: Any) -> Any:
        if not isinstance(value, accepted):
            raise FieldError(f"{describe(value)} is not {name}", remedy)
        return structure(value, kind)

    return structure_accepted


def describe(value: Any) -> str:
    """Describes a faulty value without quoting what may be long or secret."""
    if value is None:
        return "an empty value"
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list):
        return "a list"
    if isinstance(value, str):
        return "a text"
    return str(value)[:50]


def structure_document(converter: Converter, mapping: Any, kind: type[T]) -> T:
    """Structures a mapping, or raises one group of `SettingsError` with all faults."""
    try:
        return converter.structure(mapping, kind)
    except Exception as error:  # cattrs raises many kinds
        raise group_faults(list(collect_faults(error, ""))) from None


def group_faults(faults: list[SettingsError]) -> ExceptionGroup[SettingsError]:
    """Groups the faults of one file."""
    plural = "" if len(faults) == 1 else "s"
    return ExceptionGroup(f"{len(faults)} fault{plural}", faults)


def collect_faults(error: BaseException, path: str) -> Iterator[SettingsError]:
    """Walks a tree of validation errors and yields its faults with their paths."""
    here = path + read_place(error, path)
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from collect_faults(inner, here)
        return
    if isinstance(error, ForbiddenExtraKeysError):
        for key in sorted(map(str, error.extra_fields)):
            yield SettingsError(
                join_path(here, key[:MAX_NAME_LENGTH]),
                "the key is unknown",
                "remove it or correct its spelling",
            )
    elif isinstance(error, FieldError):
        place = f"{here}{error.path}" or "document"
        yield SettingsError(place.removeprefix("."), error.problem, error.remedy)
    elif isinstance(error, KeyError):
        yield SettingsError(here or "document", "it is missing", "add it")
    else:
        problem = " ".join(str(error).split()) or type(error).__name__
        yield SettingsError(here or "document", problem, "correct it")


def read_place(error: BaseException, path: str) -> str:
    """Reads the last step of the path to a fault from the error's notes."""
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, AttributeValidationNote):
            return join_path(path, name_key(note.name))[len(path) :]
        if isinstance(note, IterableValidationNote):
            if isinstance(note.index, int):
                return f"[{note.index}]"
            return join_path(path, str(note.index)[:MAX_NAME_LENGTH])[len(path) :]
    return ""


def join_path(path: str, key: str) -> str:
    """Adds a key to a path."""
    return f"{path}.{key}" if path else key
