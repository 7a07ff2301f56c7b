"""Tests that the operators' pages describe what the code defines."""

from __future__ import annotations

import re
import unittest
from pathlib import Path
from typing import TYPE_CHECKING, Any, get_args, get_type_hints

import attrs

from magnoliahold.cli.application import COMMANDS
from magnoliahold.settings import EntrySettings, SidecarSettings
from magnoliahold.settings.faults import get_yaml_key
from magnoliahold.settings.serving import ServingSettings
from magnoliahold.templates import (
    Move,
    MoveGuards,
    Service,
    UpstreamRule,
    Work,
    WorkLimits,
    WorkspaceTemplate,
)
from magnoliahold.templates.parameters import Parameter

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).resolve().parents[1]
PAGES = ROOT / "docs" / "operators"
LOG_CALL = re.compile(r'(?:log_decision|LogDecision|make_part_logger)\(\s*"([a-z]+)"')
METRIC_CALL = re.compile(r'(?:CountMetric|RecordMetric)\(\s*"([a-z_]+)"')
LINK = re.compile(r"\]\(([^)#:]+)\)")


def read_sources() -> str:
    """Reads all source files of the package."""
    paths = sorted((ROOT / "src").rglob("*.py"))
    return "\n".join(path.read_text(encoding="utf-8") for path in paths)


def list_keys(kind: Any, prefix: str = "") -> Iterator[str]:
    """Lists the keys of a settings class, including those of nested groups."""
    hints = get_type_hints(kind)
    for attribute in attrs.fields(kind):
        key = prefix + get_yaml_key(attribute.name)
        inner = hints[attribute.name]
        is_group = attrs.has(inner) and attribute.name not in ("policy", "credentials")
        yield from list_keys(inner, f"{key}.") if is_group else (key,)


class PageTests(unittest.TestCase):
    def check_page(self, name: str, wanted: set[str]) -> None:
        text = (PAGES / name).read_text(encoding="utf-8")
        missing = sorted(word for word in wanted if f"`{word}`" not in text)
        self.assertEqual(missing, [], f"describe these in docs/operators/{name}")

    def test_every_log_prefix_is_described(self) -> None:
        prefixes = {f"{part}:" for part in LOG_CALL.findall(read_sources())}
        self.assertIn("routing:", prefixes)
        self.check_page("alerts.md", prefixes)

    def test_every_metric_is_described(self) -> None:
        metrics = set(METRIC_CALL.findall(read_sources()))
        self.assertIn("resume_seconds", metrics)
        self.check_page("alerts.md", metrics)

    def test_every_settings_key_is_described(self) -> None:
        self.check_page("settings.md", {*list_keys(EntrySettings)} - {"credentials"})
        self.check_page("settings.md", {*list_keys(ServingSettings)})
        keys = {key for key in list_keys(SidecarSettings) if key.startswith("upstream")}
        self.check_page("settings.md", keys)

    def test_every_template_key_is_described(self) -> None:
        kinds = (WorkspaceTemplate, Parameter, Move, Service, UpstreamRule)
        keys = {
            get_yaml_key(item.name) for kind in kinds for item in attrs.fields(kind)
        }
        keys |= {get_yaml_key(item.name) for item in attrs.fields(Work)}
        keys |= {f"limits.{item.name}" for item in attrs.fields(WorkLimits)}
        keys |= {f"guards.{item.name}" for item in attrs.fields(MoveGuards)}
        self.check_page("templates.md", keys - {"limits", "guards"})

    def test_every_parameter_type_is_described(self) -> None:
        types = get_args(get_type_hints(Parameter)["type"])
        self.check_page("templates.md", set(types))

    def test_every_command_is_described(self) -> None:
        text = (PAGES / "command-line.md").read_text(encoding="utf-8")
        for name in COMMANDS:
            with self.subTest(name):
                self.assertRegex(text, rf"\| `{name}[ `]")

    def test_links_lead_to_pages(self) -> None:
        for page in (ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))):
            for target in LINK.findall(page.read_text(encoding="utf-8")):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue((page.parent / target).exists())
