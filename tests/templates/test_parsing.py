"""Tests of parsing, validation and encoding of workspace templates."""

from __future__ import annotations

import copy
import unittest
from pathlib import Path
from typing import Any

import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliahold.errors import SettingsError
from magnoliahold.templates import (
    decode_template,
    encode_template,
    parse_template,
)

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
DEADLINE = "2027-02-06T05:30:00+04:00"
TEMPLATE: dict[str, Any] = {
    "workspace": "shop",
    "parameters": {
        "queue": {"type": "integer", "default": 10},
        "name": {"type": "string", "default": "v1"},
    },
    "works": {
        "drafts": {
            "kind": "generation",
            "versions": [
                {"version": "${name}", "upstreams": ["draft"], "share": 1},
                {"version": "v2", "upstreams": ["draft"], "share": 0},
            ],
            "limits": {"max_queued": "${queue}"},
            "move": {"to": "v2", "deadline": DEADLINE},
        }
    },
    "services": {"desk": {"upstreams": ["desk"], "repeatable": ["GET /entries/**"]}},
    "upstreams": {"engine-1": {"checks_fencing": True}},
}
DRAFTS = "works.drafts"
VERSION = {"version": "v1", "upstreams": ["draft"], "share": 1}


def change(path: str, value: Any, document: dict[str, Any] = TEMPLATE) -> str:
    """Returns a template as YAML with one value replaced."""
    changed: Any = copy.deepcopy(document)
    node = changed
    *parents, last = path.split("/")
    for parent in parents:
        node = node[int(parent) if parent.isdigit() else parent]
    node[int(last) if last.isdigit() else last] = value
    return yaml.safe_dump(changed)


def list_fault_paths(text: str, parameters: dict[str, Any] | None = None) -> list[str]:
    """Returns the paths of all faults of a template."""
    try:
        parse_template(text, parameters)
    except ExceptionGroup as group:
        assert all(isinstance(fault, SettingsError) for fault in group.exceptions)
        return [fault.path for fault in group.exceptions]  # type: ignore[attr-defined]
    return []


class TemplateTests(unittest.TestCase):
    def test_examples_are_valid_and_round_trip(self) -> None:
        for name in ("rochebrune", "naulakko"):
            with self.subTest(name):
                text = (EXAMPLES / f"{name}.yaml").read_text()
                template = parse_template(text)
                self.assertEqual(template.workspace, name)
                self.assertEqual(decode_template(encode_template(template)), template)

    def test_parameters_are_substituted(self) -> None:
        text = yaml.safe_dump(TEMPLATE)
        cases: tuple[tuple[dict[str, Any], str, int], ...] = (
            ({}, "v1", 10),
            ({"queue": "25"}, "v1", 25),
            ({"queue": 25, "name": "v7"}, "v7", 25),
            ({"name": "7"}, "7", 10),
        )
        for parameters, version, queue in cases:
            with self.subTest(parameters):
                work = parse_template(text, parameters).works["drafts"]
                self.assertEqual(work.versions[0].version, version)
                self.assertEqual(work.limits.max_queued, queue)
                self.assertEqual(work.from_version, version)

    def test_a_parameter_cannot_change_the_structure(self) -> None:
        value = "v1\n  priority: 9"
        faults = list_fault_paths(yaml.safe_dump(TEMPLATE), {"name": value})
        self.assertEqual(faults, ["works.drafts.versions[0].version"])

    def test_each_fault_is_reported_with_its_path(self) -> None:
        cases: tuple[tuple[str, Any, str], ...] = (
            ("workspace", "a b", "workspace"),
            ("colour", 1, "colour"),
            ("works/drafts/kind", "drawing", f"{DRAFTS}.kind"),
            ("works/drafts/class", "slow", f"{DRAFTS}.class"),
            ("works/drafts/class", 1, f"{DRAFTS}.class"),
            ("works/drafts/priority", 10, f"{DRAFTS}.priority"),
            ("works/drafts/deadline_s", 0, f"{DRAFTS}.deadline_s"),
            ("works/drafts/limits/max_queued", -1, f"{DRAFTS}.limits.max_queued"),
            ("works/drafts/limits/max_queued", "${x}", f"{DRAFTS}.limits.max_queued"),
            ("works/drafts/versions/0/share", 0.5, f"{DRAFTS}.versions"),
            ("works/drafts/versions/0/share", 1.5, f"{DRAFTS}.versions[0].share"),
            (
                "works/drafts/versions/0/upstreams",
                [],
                f"{DRAFTS}.versions[0].upstreams",
            ),
            ("works/drafts/versions/1/version", "v1", f"{DRAFTS}.versions[1].version"),
            ("works/drafts/versions/1/version", "v3", f"{DRAFTS}.move.to"),
            ("works/drafts/move/to", "v1", f"{DRAFTS}.move.to"),
            ("works/drafts/move/deadline", "soon", f"{DRAFTS}.move.deadline"),
            ("works/drafts/move/deadline", 5, f"{DRAFTS}.move.deadline"),
            (
                "works/drafts/move/deadline",
                "2027-02-06T05:30:00",
                f"{DRAFTS}.move.deadline",
            ),
            ("works/drafts/move/canary_cap", 0.2, f"{DRAFTS}.move.canary_cap"),
            ("works/drafts/move/canary_cap", 0, f"{DRAFTS}.move.canary_cap"),
            ("works/drafts/move/stages", [0.05, 0.5], f"{DRAFTS}.move.stages"),
            ("works/drafts/move/stages", [0.05, 0.05, 1], f"{DRAFTS}.move.stages[1]"),
            ("works/drafts/move/stages", [0.5, 1], f"{DRAFTS}.move.stages[0]"),
            ("works/drafts/move/guards", {"errors": 1}, f"{DRAFTS}.move.guards.errors"),
            ("services/desk/repeatable", ["POST"], "services.desk.repeatable[0]"),
            ("upstreams/engine-1", {}, "upstreams.engine-1.checks_fencing"),
            ("parameters/queue/type", "list", "parameters.queue.type"),
            ("parameters/queue/default", "many", "parameters.queue.default"),
        )
        for path, value, expected in cases:
            with self.subTest(path=path, value=value):
                self.assertEqual(list_fault_paths(change(path, value)), [expected])

    def test_all_faults_are_reported_together(self) -> None:
        text = """
            workspace: a b
            parameters: {x: {type: integer, default: no}, y: {type: string}}
            works:
              drafts:
                kind: generation
                priority: 99
                versions:
                  - {version: v1, upstreams: [a], share: 0.4}
                  - {version: v2, upstreams: [a], share: 0.1}
                move: {to: v3, deadline: 2027-01-01T00:00:00, canary_cap: 0.5}
              index:
                kind: drawing
                class: "${z}"
                versions: [{version: v1, upstreams: [], share: 1}]
                move: {to: v1, deadline: 2027-01-01T00:00:00Z, stages: [0.5, 0.2]}
            """
        self.assertCountEqual(
            list_fault_paths(text, {"k": 1}),
            [
                *("workspace", "parameters.x.default", "parameters.y", "parameters.k"),
                *(f"{DRAFTS}.priority", f"{DRAFTS}.versions"),
                *(f"{DRAFTS}.move.deadline", f"{DRAFTS}.move.canary_cap"),
                *("works.index.kind", "works.index.class"),
                "works.index.versions[0].upstreams",
                *("works.index.move.stages", "works.index.move.stages[0]"),
                "works.index.move.stages[1]",
            ],
        )

    def test_an_invalid_row_is_rejected(self) -> None:
        row = encode_template(parse_template(yaml.safe_dump(TEMPLATE)))
        for content in (
            b"",
            b"{}",
            row[:-5],
            row.replace(b"generation", b"x"),
            b"\xff",
        ):
            with self.subTest(content[:20]), self.assertRaises(SettingsError):
                decode_template(content)


SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=20),
    st.sampled_from(["${name}", "${queue}", "${", "$", "v1", "v2", DEADLINE, "GET /"]),
)
TREES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(
            st.one_of(st.text(max_size=8), st.sampled_from([*TEMPLATE, "class"])),
            inner,
            max_size=4,
        ),
    ),
    max_leaves=12,
)
VALUE_PATHS = st.sampled_from(
    (
        *("workspace", "parameters", "parameters/queue", "parameters/queue/default"),
        *("works", "works/drafts", "works/drafts/versions", "works/drafts/versions/0"),
        *("works/drafts/versions/0/share", "works/drafts/move", "services/desk"),
        *("works/drafts/move/stages", "works/drafts/move/deadline", "upstreams"),
        *("works/drafts/move/canary_cap", "services/desk/repeatable", "services"),
    )
)
FIXED_EXAMPLES = settings(
    derandomize=True, database=None, deadline=None, max_examples=100
)


class TemplatePropertyTests(unittest.TestCase):
    """For any input, a template is valid or all its faults are settings errors."""

    def check(self, text: str, parameters: dict[str, Any]) -> None:
        try:
            template = parse_template(text, parameters)
        except ExceptionGroup as group:
            for fault in group.exceptions:
                self.assertIsInstance(fault, SettingsError)
                self.assertEqual(len(str(fault).splitlines()), 1)
            return
        self.assertEqual(decode_template(encode_template(template)), template)

    @FIXED_EXAMPLES
    @given(st.text(max_size=200))
    def test_any_text(self, text: str) -> None:
        self.check(text, {})

    @FIXED_EXAMPLES
    @given(st.text(alphabet="[]{}:,-&*!|>'\"%@`# \n\tab0${}", max_size=80))
    def test_any_punctuation(self, text: str) -> None:
        self.check(text, {})

    @FIXED_EXAMPLES
    @given(VALUE_PATHS, TREES)
    def test_any_value_in_a_valid_template(self, path: str, value: Any) -> None:
        self.check(change(path, value), {})

    @FIXED_EXAMPLES
    @given(st.dictionaries(st.sampled_from(["queue", "name", "x"]), TREES))
    def test_any_parameters(self, parameters: dict[str, Any]) -> None:
        self.check(yaml.safe_dump(TEMPLATE), parameters)
