"""Starts an entry on the platform, which names the settings file in a variable."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from magnoliahold.serving.daemon import run_serving_entry
from magnoliahold.settings.loading import load_serving_settings

SETTINGS_VARIABLE = "MAGNOLIAHOLD_BOOT"


def main() -> None:
    """Runs an entry with the settings that the platform has placed."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        sys.exit(f"{SETTINGS_VARIABLE} is not set; start this on the platform")
    run_serving_entry(Path(path), load_serving_settings)


if __name__ == "__main__":
    main()
