"""Who may ask and who may change: bearer tokens with roles."""

import hmac
from dataclasses import dataclass

from runhatch_server.settings import OperatorRole, OperatorSettings

LOCAL_OPERATOR = "local"
SCHEME = "Bearer "


@dataclass(frozen=True, slots=True)
class Operator:
    """Who makes a call, and what is allowed to them."""

    name: str
    role: OperatorRole

    def may(self, role: OperatorRole) -> bool:
        """Tell whether the operator's role includes ``role``."""
        return self.role is OperatorRole.CHANGE or role is OperatorRole.READ


class Access:
    """Finds the operator behind a call.

    Without any tokens everybody is let in; the settings see to it that the
    listener is then on loopback only.
    """

    def __init__(self, settings: OperatorSettings) -> None:
        self._tokens = [
            (Operator(token.name, token.role), token.secret().encode())
            for token in settings.tokens
        ]

    def identify(self, authorization: str) -> Operator | None:
        """Return the operator whose token ``authorization`` carries."""
        if not self._tokens:
            return Operator(LOCAL_OPERATOR, OperatorRole.CHANGE)
        given = authorization.removeprefix(SCHEME).encode()
        found = None
        for operator, secret in self._tokens:
            # All are compared, so that the time tells nothing.
            if hmac.compare_digest(given, secret):
                found = operator
        return found
