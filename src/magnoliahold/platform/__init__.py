"""Translates between the users' platform and the types of this product."""

from __future__ import annotations
