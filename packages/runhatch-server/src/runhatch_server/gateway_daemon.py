"""The daemon that passes requests through, from its settings to its exit status.

It imports nothing of the daemon with declared targets: each module costs time at
every start, and after a loss of power callers wait for it.
"""

import sys
from collections.abc import Callable

from runhatch_server._process import (
    EXIT_CANNOT_START,
    LOOK_EVERY,
    Signals,
    stop_broken,
)
from runhatch_server.gateway import GatewayNode, GatewayOutside, GatewaySettings
from runhatch_server.observability import LogLevel, configure_logs


def run_gateway(
    settings: GatewaySettings,
    outside: GatewayOutside,
    reread: Callable[[], GatewaySettings | None],
) -> int:
    """Run a gateway until told to stop; returns the exit status.

    ``reread`` returns the settings if they have changed since it was called last.
    """
    signals = Signals()
    configure_logs(LogLevel.CHANGE, "stdout")
    try:
        node = GatewayNode(settings, outside)
        node.on_broken_invariant(stop_broken)
        node.start()
    except OSError as error:
        print(f"runhatchd: cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    while not signals.wait_for_stop(LOOK_EVERY):
        # The settings may also change without a signal.
        changed = reread()
        if changed is not None:
            node.reload(changed)
    node.drain()
    return 0
