"""Starts a serving entry on the users' platform.

The platform passes the path of the settings file in an environment variable.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

from magnoliahold.serving.daemon import run_serving_entry
from magnoliahold.settings.loading import load_serving_settings

SETTINGS_VARIABLE = "MAGNOLIAHOLD_BOOT"


def main() -> None:
    """Runs a serving entry with the settings file that the platform provides."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        sys.exit(f"{SETTINGS_VARIABLE} is not set; start this on the platform")
    run_serving_entry(Path(path), load_serving_settings)


if __name__ == "__main__":
    main()
