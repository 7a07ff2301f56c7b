"""Settings of the processes: YAML files that are validated at startup."""

from __future__ import annotations

from magnoliahold.settings.credentials import CredentialSettings, Secret
from magnoliahold.settings.loading import (
    load_entry_settings,
    load_sidecar_settings,
    parse_entry_settings,
    parse_sidecar_settings,
)
from magnoliahold.settings.model import (
    EntrySettings,
    LimitSettings,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    SidecarSettings,
    UpstreamSettings,
)

__all__ = [
    "CredentialSettings",
    "EntrySettings",
    "LimitSettings",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "Secret",
    "SidecarSettings",
    "UpstreamSettings",
    "load_entry_settings",
    "load_sidecar_settings",
    "parse_entry_settings",
    "parse_sidecar_settings",
]
