"""Calls to a node's operator listener."""

import http.client
import json
import os
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode, urlsplit

from runhatch_cli._errors import ConflictError, RefusedError, UnreachableError

TOKEN_VARIABLE = "RUNHATCH_TOKEN"
NODE_VARIABLE = "RUNHATCH_NODE"
DEFAULT_NODE = "http://127.0.0.1:7402"
TIMEOUT_SECONDS = 10.0
CONFLICT = 409

Document = dict[str, Any]


@dataclass(frozen=True, slots=True)
class NodeClient:
    """One node, by the base address of its operator listener."""

    url: str

    def get(self, path: str, **arguments: str) -> Document:
        """Read; raises :class:`CommandError` with the node's own words."""
        query = f"?{urlencode(arguments)}" if arguments else ""
        return self._call("GET", path + query, None)

    def post(self, path: str, document: Document) -> Document:
        """Ask or command."""
        return self._call("POST", path, document)

    def put(self, path: str, document: Document) -> Document:
        """Replace."""
        return self._call("PUT", path, document)

    def _call(self, method: str, path: str, document: Document | None) -> Document:
        parts = urlsplit(self.url)
        secure = parts.scheme == "https"
        kind = http.client.HTTPSConnection if secure else http.client.HTTPConnection
        connection = kind(parts.hostname or "", parts.port, timeout=TIMEOUT_SECONDS)
        headers = {"Content-Type": "application/json"}
        token = os.environ.get(TOKEN_VARIABLE)
        if token:
            headers["Authorization"] = f"Bearer {token}"
        body = None if document is None else json.dumps(document)
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            answer = json.loads(response.read())
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise UnreachableError(f"{self.url}: {error}") from None
        finally:
            connection.close()
        if response.status == CONFLICT:
            raise ConflictError(answer["detail"])
        if response.status >= 500:
            raise UnreachableError(f"{self.url}: {answer['detail']}")
        if response.status >= 400:
            raise RefusedError(answer["detail"])
        return dict(answer)
