"""Send random requests for the gateway soak and compute the expected answers."""

import http.client
import random
from collections.abc import Sequence

from runhatch_standins._gateways import MODELS, request_headers
from runhatch_standins._history import Event, EventKind

REFUSED = (408, 421, 429, 503)
"""Statuses that guarantee that the request was not executed."""
PREFIXES = ("plain", "once", "stream")
RESUMING_PREFIXES = (*PREFIXES, "resumable")
ADAPTERS = ("", "", "/a0", "/a1")
"""Suffixes of model names; together the adapters exceed the slots of an engine."""


def ask(
    connection: http.client.HTTPConnection,
    source: random.Random,
    name: str,
    prefixes: Sequence[str],
) -> tuple[Event, bool]:
    """Send one request; return its event and whether the connection is reusable."""
    kind = source.choice(prefixes)
    once = kind in ("once", "stream")
    model = _choose_model(source) if kind in ("stream", "resumable") else ""
    tokens = source.randint(3, 40)
    expected = f"/{kind}/{name} {name}"
    if model:
        sequence_ids = range(1, tokens + 1)
        expected = "".join(f"id: {i}\ndata: {name}\n\n" for i in sequence_ids)
    method = "POST" if once or model else "GET"
    headers = request_headers(name, model, tokens)
    try:
        connection.request(method, f"/{kind}/{name}", headers=headers)
        response = connection.getresponse()
        is_framed = response.chunked or response.length is not None
        body = response.read()
    except (OSError, http.client.HTTPException):
        return Event(name, EventKind.BROKEN, once), False
    reusable = not response.will_close
    if response.status == 200:
        content = body.decode(errors="replace")
        event = Event(name, EventKind.ANSWERED, once, content, expected, is_framed)
        return event, reusable
    refused = response.status in REFUSED
    event_kind = EventKind.REFUSED_NO if refused else EventKind.REFUSED_UNKNOWN
    return Event(name, event_kind, once, f"status {response.status}"), reusable


def _choose_model(rng: random.Random) -> str:
    return f"{rng.choice(MODELS)['name']}{rng.choice(ADAPTERS)}"
