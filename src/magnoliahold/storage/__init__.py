"""Interfaces of the platform's services, and HTTP clients for them."""

from __future__ import annotations
