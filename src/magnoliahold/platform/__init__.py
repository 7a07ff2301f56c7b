"""Interfaces of the platform's services and clients for them."""

from __future__ import annotations
