"""HTTP client of a node's operator listener."""

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
MAX_ANSWER_BYTES = 64 * 1024 * 1024
HTTP_CONFLICT = 409

Document = dict[str, Any]


@dataclass(frozen=True, slots=True)
class NodeClient:
    """A node, identified by the base URL of its operator listener."""

    url: str

    def get(self, path: str, **arguments: str) -> Document:
        """Send a GET request and return the JSON response.

        Raises a subclass of :class:`CommandError` with the detail the node reports.
        """
        query = f"?{urlencode(arguments)}" if arguments else ""
        return self._call("GET", path + query, None)

    def post(self, path: str, document: Document) -> Document:
        """Send a POST request with ``document``; see :meth:`get`."""
        return self._call("POST", path, document)

    def put(self, path: str, document: Document) -> Document:
        """Send a PUT request with ``document``; see :meth:`get`."""
        return self._call("PUT", path, document)

    def _call(self, method: str, path: str, document: Document | None) -> Document:
        parts = urlsplit(self.url)
        is_https = parts.scheme == "https"
        connection_type = (
            http.client.HTTPSConnection if is_https else http.client.HTTPConnection
        )
        connection = connection_type(
            parts.hostname or "", parts.port, timeout=TIMEOUT_SECONDS
        )
        headers = {"Content-Type": "application/json"}
        token = os.environ.get(TOKEN_VARIABLE)
        if token:
            headers["Authorization"] = f"Bearer {token}"
        body = None if document is None else json.dumps(document)
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            content = response.read(MAX_ANSWER_BYTES + 1)
            if len(content) > MAX_ANSWER_BYTES:
                raise UnreachableError(
                    f"{self.url}: found an answer of over {MAX_ANSWER_BYTES} bytes"
                )
            answer = json.loads(content)
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise UnreachableError(f"{self.url}: {error}") from None
        finally:
            connection.close()
        if response.status == HTTP_CONFLICT:
            raise ConflictError(answer["detail"])
        if response.status >= 500:
            raise UnreachableError(f"{self.url}: {answer['detail']}")
        if response.status >= 400:
            raise RefusedError(answer["detail"])
        return dict(answer)
