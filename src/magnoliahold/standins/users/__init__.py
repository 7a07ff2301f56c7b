"""Stand-ins that implement the protocols of the users' platform, for the soak."""

from __future__ import annotations
