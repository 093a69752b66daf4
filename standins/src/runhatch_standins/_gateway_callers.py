"""What callers of the gateways' soak ask for, and what a whole answer is."""

import http.client
import random

from runhatch_standins._gateways import MODELS, request_headers
from runhatch_standins._history import Event, EventKind

REFUSED = (408, 421, 429, 503)
"""Statuses by which a gateway promises that a request has not run."""
ADAPTERS = ("", "", "/a0", "/a1")
"""What a stream asks for beside its model; more than fits is asked for in all."""


def ask(
    connection: http.client.HTTPConnection, source: random.Random, name: str
) -> tuple[Event, bool]:
    """Send one request; returns what came, and whether the connection stands."""
    kind = source.choice(["plain", "once", "stream"])
    once = kind != "plain"
    model = _model(source) if kind == "stream" else ""
    tokens = source.randint(3, 40)
    expected = f"/{kind}/{name} {name}"
    if model:
        pieces = range(1, tokens + 1)
        expected = "".join(f"id: {i}\ndata: {name}\n\n" for i in pieces)
    method = "POST" if once else "GET"
    headers = request_headers(name, model, tokens)
    try:
        connection.request(method, f"/{kind}/{name}", headers=headers)
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException):
        return Event(name, EventKind.BROKEN, once), False
    reusable = not response.will_close
    if response.status == 200:
        answer = body.decode(errors="replace")
        return Event(name, EventKind.ANSWERED, once, answer, expected), reusable
    refused = response.status in REFUSED
    told = EventKind.REFUSED_NO if refused else EventKind.REFUSED_UNKNOWN
    return Event(name, told, once, f"status {response.status}"), reusable


def _model(source: random.Random) -> str:
    return f"{source.choice(MODELS)['name']}{source.choice(ADAPTERS)}"
