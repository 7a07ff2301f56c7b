"""The entry process, which serves HTTP to callers and operators."""

from __future__ import annotations
