"""Settings of a daemon process."""

from runhatch_server.settings._load import load_settings
from runhatch_server.settings._models import (
    Listener,
    LogSettings,
    NodeSettings,
    OperatorRole,
    OperatorSettings,
    OperatorToken,
    PeerSettings,
    PeerTls,
    PlacementSettings,
    PlatformSettings,
    ServingSettings,
    Settings,
)

__all__ = [
    "Listener",
    "LogSettings",
    "NodeSettings",
    "OperatorRole",
    "OperatorSettings",
    "OperatorToken",
    "PeerSettings",
    "PeerTls",
    "PlacementSettings",
    "PlatformSettings",
    "ServingSettings",
    "Settings",
    "load_settings",
]
