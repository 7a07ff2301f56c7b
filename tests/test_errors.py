"""Tests of the exceptions."""

from __future__ import annotations

import unittest

from magnoliahold.errors import SettingsError


class SettingsErrorTests(unittest.TestCase):
    def test_message_names_path_and_remedy(self) -> None:
        error = SettingsError("entry.port", "99999 is not a port", "use 1 to 65535")
        self.assertEqual(str(error), "entry.port: 99999 is not a port; use 1 to 65535")
