"""Entry point of the gateway daemon.

It doesn't import the daemon with declared targets, as each module delays the start, and
callers wait for the start after a power failure.
"""

import sys
from collections.abc import Callable

from runhatch_server._process import (
    EXIT_CANNOT_START,
    POLL_INTERVAL,
    SignalHandler,
    exit_on_invariant_error,
    return_large_allocations,
)
from runhatch_server.gateway import GatewayNode, GatewayPlatform, GatewaySettings
from runhatch_server.observability import LogLevel, configure_logs


def run_gateway(
    settings: GatewaySettings,
    external_dependencies: GatewayPlatform,
    reload_settings: Callable[[], GatewaySettings | None],
) -> int:
    """Run a gateway until a stop signal; return the exit status.

    ``reload_settings`` returns the settings if they changed since its previous call,
    else ``None``.
    """
    signals = SignalHandler()
    return_large_allocations()
    configure_logs(LogLevel.CHANGE, "stdout")
    try:
        node = GatewayNode(settings, external_dependencies)
        node.set_invariant_error_handler(exit_on_invariant_error)
        node.start()
    except OSError as error:
        print(f"runhatchd: cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    while not signals.wait_for_stop(POLL_INTERVAL):
        # Settings are also reread without a signal.
        changed = reload_settings()
        if changed is not None:
            node.reload(changed)
    node.drain()
    return 0
