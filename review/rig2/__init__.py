"""Small stand-ins for the cases of the second review; standard library only."""

from __future__ import annotations
