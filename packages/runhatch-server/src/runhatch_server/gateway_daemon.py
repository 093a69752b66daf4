"""Entry point of the gateway daemon.

It doesn't import the daemon with declared targets, as each module delays the start, and
callers wait for the start after a power failure.
"""

import sys
from collections.abc import Callable

from runhatch_server._process import (
    EXIT_CANNOT_START,
    LOOK_EVERY,
    Signals,
    stop_broken,
)
from runhatch_server.gateway import GatewayNode, GatewayPlatform, GatewaySettings
from runhatch_server.observability import LogLevel, configure_logs


def run_gateway(
    settings: GatewaySettings,
    outside: GatewayPlatform,
    reread: Callable[[], GatewaySettings | None],
) -> int:
    """Run a gateway until a stop signal; return the exit status.

    ``reread`` returns the settings if they changed since its previous call, else
    ``None``.
    """
    signals = Signals()
    configure_logs(LogLevel.CHANGE, "stdout")
    try:
        node = GatewayNode(settings, outside)
        node.set_invariant_error_handler(stop_broken)
        node.start()
    except OSError as error:
        print(f"runhatchd: cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    while not signals.wait_for_stop(LOOK_EVERY):
        # Settings are also reread without a signal.
        changed = reread()
        if changed is not None:
            node.reload(changed)
    node.drain()
    return 0
