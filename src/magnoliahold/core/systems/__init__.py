"""Systems: functions that run on the tables of a world in each tick."""

from __future__ import annotations
