"""The membership of a gateway, with its own entry."""

import time
from datetime import timedelta

from runhatch_coordination import Clock, Membership, Vm
from runhatch_server.gateway._settings import GatewaySettings

SUSPICION_TIMEOUT = timedelta(seconds=3.5)
"""Time without a heartbeat after which a peer is suspected: three are lost."""


def build_membership(settings: GatewaySettings, clock: Clock) -> Membership:
    """Return the membership of the node with ``settings``, which is its only member."""
    # A restarted node must supersede reports of its previous incarnation.
    incarnation = int(time.time())
    own = Vm(
        settings.name,
        settings.failure_domain,
        str(settings.peers),
        incarnation,
        settings.broadcast_port,
        settings.forward_port,
    )
    return Membership(own, clock, SUSPICION_TIMEOUT)
