"""Interfaces of the table and instance services, and clients for them."""

from __future__ import annotations
