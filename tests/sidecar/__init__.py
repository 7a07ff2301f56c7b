"""Tests of the sidecar."""

from __future__ import annotations
