"""Small simulated engines, services and platform for tests and local use."""

from __future__ import annotations
