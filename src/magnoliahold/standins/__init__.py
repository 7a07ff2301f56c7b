"""Small stand-ins for engines, services and the platform."""

from __future__ import annotations
