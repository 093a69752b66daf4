"""Authentication of operators by bearer tokens with roles."""

import hmac
from dataclasses import dataclass

from runhatch_server.settings import OperatorRole, OperatorSettings

LOCAL_OPERATOR = "local"
BEARER_PREFIX = "Bearer "


@dataclass(frozen=True, slots=True)
class Operator:
    """The operator who makes a call, with their role."""

    name: str
    role: OperatorRole

    def has_role(self, role: OperatorRole) -> bool:
        """Return whether the operator's role includes ``role``."""
        return self.role is OperatorRole.CHANGE or role is OperatorRole.READ


class Access:
    """Identify the operator who makes a call.

    Without configured tokens every call is allowed; the settings then require a
    listener on a loopback address.
    """

    def __init__(self, settings: OperatorSettings) -> None:
        self._tokens = [
            (Operator(token.name, token.role), token.read_secret().encode())
            for token in settings.tokens
        ]

    def identify(self, authorization: str) -> Operator | None:
        """Return the operator of the token in ``authorization``, or None."""
        if not self._tokens:
            return Operator(LOCAL_OPERATOR, OperatorRole.CHANGE)
        given = authorization.removeprefix(BEARER_PREFIX).encode()
        found = None
        for operator, secret in self._tokens:
            # Compares all tokens, to be safe against timing attacks.
            if hmac.compare_digest(given, secret):
                found = operator
        return found
