"""Reads YAML documents of settings and templates, with size limits and clear errors."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import yaml

from magnoliahold.errors import SettingsError

if TYPE_CHECKING:
    from collections.abc import Hashable
    from pathlib import Path

MAX_DOCUMENT_BYTES = 1024 * 1024
TIMESTAMP_TAG = "tag:yaml.org,2002:timestamp"


class DocumentLoader(yaml.SafeLoader):
    """A safe YAML loader without aliases, duplicate keys or implicit timestamps."""

    def compose_node(self, parent: yaml.Node | None, index: int) -> yaml.Node | None:
        """Composes a node; rejects aliases."""
        if self.check_event(yaml.events.AliasEvent):
            raise yaml.composer.ComposerError(
                None, None, "aliases are not supported", self.get_mark()
            )
        return super().compose_node(parent, index)

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        """Constructs a mapping; rejects duplicate keys."""
        mapping: dict[Hashable, Any] = super().construct_mapping(node, deep=deep)
        if len(mapping) != len(node.value):
            raise yaml.constructor.ConstructorError(
                None, None, "duplicate key in this mapping", node.start_mark
            )
        return mapping


DocumentLoader.yaml_implicit_resolvers = {
    first: [(tag, pattern) for tag, pattern in resolvers if tag != TIMESTAMP_TAG]
    for first, resolvers in yaml.SafeLoader.yaml_implicit_resolvers.items()
}


def parse_document(text: str) -> dict[str, Any]:
    """Parses YAML text whose top level is a mapping with string keys.

    Raises `SettingsError` when the text is too large, not YAML or not a mapping.
    """
    if len(text.encode("utf-8", "surrogatepass")) > MAX_DOCUMENT_BYTES:
        raise SettingsError(
            "document",
            f"it is larger than {MAX_DOCUMENT_BYTES} bytes",
            "split it into smaller files",
        )
    try:
        document = yaml.load(text, DocumentLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        path = f"line {mark.line + 1}" if mark else "document"
        problem = " ".join(str(error.problem or error.context).split())
        raise SettingsError(path, problem, "correct the YAML") from None
    except (yaml.YAMLError, ValueError, TypeError, KeyError, IndexError) as error:
        problem = " ".join(str(error).split())
        raise SettingsError("document", problem, "correct the YAML") from None
    except RecursionError:
        raise SettingsError(
            "document", "it is nested too deeply", "use fewer levels"
        ) from None
    if not isinstance(document, dict):
        raise SettingsError(
            "document", "its top level is not a mapping", "write `key: value` lines"
        )
    return document


def read_text(path: Path) -> str:
    """Reads a UTF-8 file; raises `SettingsError` when that fails."""
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(
            str(path),
            f"cannot read it ({error.strerror})",
            "give the path of a readable file",
        ) from None
    except UnicodeDecodeError:
        raise SettingsError(
            str(path), "it is not UTF-8 text", "save it as UTF-8"
        ) from None
