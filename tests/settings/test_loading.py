"""Tests of settings files: every fault is reported with its path and remedy."""

from __future__ import annotations

import copy
import tempfile
import unittest
from pathlib import Path
from typing import Any

import yaml

from magnoliahold.settings import (
    load_entry_settings,
    load_sidecar_settings,
    parse_entry_settings,
    parse_sidecar_settings,
)

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
SECRET = "caller-credential-1"

ENTRY: dict[str, Any] = {
    "name": "entry-1",
    "data_centre": "dc-1",
    "address": "127.0.0.1",
    "caller_port": 8080,
    "operator_port": 8081,
    "link_port": 8082,
    "platform": {"base_url": "http://127.0.0.1:8100"},
    "credentials": {
        "callers": {"shop": SECRET},
        "operators": ["operator-credential"],
    },
}
SIDECAR: dict[str, Any] = {
    "name": "sidecar-1",
    "data_centre": "dc-1",
    "address": "127.0.0.1",
    "link_port": 8092,
    "operator_port": 8091,
    "platform": {"base_url": "http://127.0.0.1:8100"},
    "upstream": {
        "kind": "engine",
        "name": "engine-1",
        "base_url": "http://127.0.0.1:8200",
    },
}
PEER = {
    "name": "entry-2",
    "role": "entry",
    "address": "127.0.0.1",
    "link_port": 9082,
    "data_centre": "dc-1",
}


def change(document: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    """Copies a document and replaces one value, or removes it if `value` is None."""
    changed = copy.deepcopy(document)
    *parents, last = path.split(".")
    node = changed
    for parent in parents:
        node = node.setdefault(parent, {})
    if value is None:
        del node[last]
    else:
        node[last] = value
    return changed


def list_fault_paths(action: Any, *arguments: Any) -> list[str]:
    """Returns the paths of the faults that an action raises."""
    try:
        action(*arguments)
    except ExceptionGroup as group:
        return [fault.path for fault in group.exceptions]  # type: ignore[attr-defined]
    return []


class EntrySettingsTests(unittest.TestCase):
    def test_each_fault_is_reported_with_its_path(self) -> None:
        cases: tuple[tuple[str, Any, str], ...] = (
            ("colour", "red", "colour"),
            ("platform.retries", 3, "platform.retries"),
            ("name", 7, "name"),
            ("name", "entry one", "name"),
            ("address", "localhost", "address"),
            ("address", None, "address"),
            ("platform.base_url", "127.0.0.1:8100", "platform.base_url"),
            ("platform.timeout_s", 0, "platform.timeout_s"),
            ("platform.timeout_s", float("nan"), "platform.timeout_s"),
            ("platform", "http://127.0.0.1", "platform"),
            ("caller_port", 70000, "caller_port"),
            ("caller_port", "8080", "caller_port"),
            ("caller_port", True, "caller_port"),
            ("link_port", 8080, "link_port"),
            ("limits.max_body_bytes", 1, "limits.max_body_bytes"),
            ("log.level", "loud", "log.level"),
            ("policy", ["tick_s"], "policy"),
            ("policy.tick_s", 0, "policy.tick_s"),
            ("policy.membership", {"beat": 1}, "policy.membership.beat"),
            (
                "policy.claims",
                {"max_per_transaction": -1},
                "policy.claims.max_per_transaction",
            ),
            ("peers", [PEER, PEER], "peers[1].name"),
            ("peers", [{**PEER, "name": "entry-1"}], "peers[0].name"),
            ("peers", [{**PEER, "role": "platform"}], "peers[0].role"),
            ("peers", [{**PEER, "address": "a.example"}], "peers[0].address"),
            ("credentials.operators", ["short"], "credentials.operators[0]"),
            ("credentials.operators", [SECRET], "credentials.operators[0]"),
            ("credentials.operators", "operator-credential", "credentials.operators"),
            ("credentials.callers", {"a/b": SECRET}, "credentials.callers"),
            ("credentials.callers.shop", "file:absent", "credentials.callers.shop"),
            ("credentials.callers.shop", 12345678, "credentials.callers.shop"),
            ("credentials.callers.shop", "two words 9", "credentials.callers.shop"),
        )
        for path, value, expected in cases:
            with self.subTest(path=path, value=value):
                invalid = change(ENTRY, path, value)
                self.assertEqual(
                    list_fault_paths(parse_entry_settings, invalid), [expected]
                )

    def test_all_faults_are_reported_together(self) -> None:
        invalid = change(ENTRY, "colour", "red")
        invalid = change(invalid, "name", 7)
        invalid = change(invalid, "address", None)
        invalid = change(invalid, "caller_port", 70000)
        invalid = change(invalid, "link_port", 8081)
        invalid = change(invalid, "credentials.callers.shop", "file:absent")
        invalid = change(invalid, "peers", [{"name": "a"}])
        self.assertCountEqual(
            list_fault_paths(parse_entry_settings, invalid),
            [
                *("colour", "name", "address", "caller_port"),
                "credentials.callers.shop",
                *("peers[0].role", "peers[0].address", "peers[0].link_port"),
                "peers[0].data_centre",
            ],
        )

    def test_relations_are_checked_despite_other_faults(self) -> None:
        invalid = change(change(ENTRY, "link_port", 8081), "colour", "red")
        paths = list_fault_paths(parse_entry_settings, invalid)
        self.assertCountEqual(paths, ["colour", "link_port"])

    def test_valid_settings_have_defaults(self) -> None:
        settings = parse_entry_settings({**ENTRY, "peers": [PEER]})
        self.assertEqual(settings.log.level, "info")
        self.assertEqual(settings.peers[0].name, "entry-2")
        self.assertGreater(settings.limits.max_body_bytes, 0)


class SidecarSettingsTests(unittest.TestCase):
    def test_each_fault_is_reported_with_its_path(self) -> None:
        cases: tuple[tuple[str, Any, str], ...] = (
            ("upstream", None, "upstream"),
            ("upstream.kind", "gpu", "upstream.kind"),
            ("upstream.capacity", 0, "upstream.capacity"),
            ("upstream.capacity", 1.5, "upstream.capacity"),
            ("upstream.base_url", "ftp://127.0.0.1", "upstream.base_url"),
            ("upstream.checks_fencing", "yes", "upstream.checks_fencing"),
            ("operator_port", 8092, "link_port"),
            ("credentials", {}, "credentials"),
        )
        for path, value, expected in cases:
            with self.subTest(path=path, value=value):
                invalid = change(SIDECAR, path, value)
                self.assertEqual(
                    list_fault_paths(parse_sidecar_settings, invalid), [expected]
                )


class SettingsFileTests(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.path = self.directory / "entry.yaml"

    def test_examples_are_valid(self) -> None:
        entry = load_entry_settings(EXAMPLES / "entry.yaml")
        sidecar = load_sidecar_settings(EXAMPLES / "sidecar.yaml")
        self.assertEqual((entry.name, sidecar.name), ("entry-1", "sidecar-1"))

    def test_credential_files_are_relative_to_the_settings_file(self) -> None:
        (self.directory / "shop").write_text("from-a-file-1\n")
        document = change(ENTRY, "credentials.callers.shop", "file:shop")
        self.path.write_text(yaml.safe_dump(document))
        credentials = load_entry_settings(self.path).credentials
        self.assertEqual(credentials.find_workspace("from-a-file-1"), "shop")

    def test_unreadable_files_give_one_fault(self) -> None:
        cases: tuple[tuple[bytes | None, str], ...] = (
            (None, "cannot read it"),
            (b"\xff\xfe", "not UTF-8"),
            (b"a: [1", "expected"),
            (b"a: 1\na: 2", "duplicate key in this mapping"),
            (b"a: &x 1\nb: *x", "aliases are not supported"),
            (b"- 1", "not a mapping"),
            (b"", "not a mapping"),
            (b"a: !!python/object:os.system 1", "could not determine a constructor"),
            (b"[" * 5000, "nested too deeply"),
            (b"a: " + b"x" * 2_000_000, "larger than"),
        )
        for content, problem in cases:
            with self.subTest(problem=problem):
                self.path.unlink(missing_ok=True)
                if content is not None:
                    self.path.write_bytes(content)
                with self.assertRaises(ExceptionGroup) as caught:
                    load_entry_settings(self.path)
                self.assertEqual(len(caught.exception.exceptions), 1)
                self.assertIn(problem, str(caught.exception.exceptions[0]))


class CredentialTests(unittest.TestCase):
    def test_credentials_identify_only_their_owner(self) -> None:
        credentials = parse_entry_settings(ENTRY).credentials
        cases = (
            (SECRET, "shop", False),
            ("operator-credential", None, True),
            (SECRET[:-1], None, False),
            ("", None, False),
            ("\udcff", None, False),
        )
        for candidate, workspace, operator in cases:
            with self.subTest(candidate=candidate):
                self.assertEqual(credentials.find_workspace(candidate), workspace)
                self.assertEqual(credentials.is_operator(candidate), operator)

    def test_no_representation_shows_a_credential(self) -> None:
        settings = parse_entry_settings(ENTRY)
        shown = f"{settings!r} {settings} {settings.credentials.callers['shop']}"
        self.assertNotIn(SECRET, shown)
        self.assertNotIn("operator-credential", shown)

    def test_no_fault_shows_a_credential(self) -> None:
        for value in ("two words of it", "tiny", "x" * 5000, ["in-a-list-1"]):
            with self.subTest(value=value):
                invalid = change(ENTRY, "credentials.callers.shop", value)
                with self.assertRaises(ExceptionGroup) as caught:
                    parse_entry_settings(invalid)
                text = str(caught.exception.exceptions)
                self.assertNotIn(value[0] if isinstance(value, list) else value, text)
