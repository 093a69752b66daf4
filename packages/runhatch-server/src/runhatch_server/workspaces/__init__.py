"""Usage caps of workspaces and the currency of their keys, over all nodes."""

from runhatch_server.workspaces._exchange import UsageExchange, UsageMessage
from runhatch_server.workspaces._gate import UsageGate
from runhatch_server.workspaces._key_currency import KeyCurrency
from runhatch_server.workspaces._store_time_exchange import (
    StoreTimeExchange,
    StoreTimeMessage,
)

__all__ = [
    "KeyCurrency",
    "StoreTimeExchange",
    "StoreTimeMessage",
    "UsageExchange",
    "UsageGate",
    "UsageMessage",
]
