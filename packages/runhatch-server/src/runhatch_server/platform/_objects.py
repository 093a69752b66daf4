"""The object store through the S3 REST protocol: whole objects, PUT and GET."""

from urllib.parse import quote

from runhatch_server.http import HttpClient, Reply

PUT_TRIES = 2


class HttpObjects:
    """A :class:`runhatch_coordination.ObjectStore` behind HTTP.

    Names are unique to their bodies, so a put whose answer was lost is repeated.
    """

    def __init__(self, http: HttpClient, bucket: str) -> None:
        self._http = http
        self._bucket = bucket

    def put(self, name: str, body: bytes) -> bool:
        """Store ``body``; true only if the store said so."""
        headers = {"Content-Type": "application/octet-stream"}
        for _ in range(PUT_TRIES):
            reply = self._http.call("PUT", self._path(name), body, headers)
            if isinstance(reply, Reply):
                return reply.status == 200
        return False

    def get(self, name: str) -> bytes | None:
        """Return the body, or ``None``."""
        reply = self._http.call("GET", self._path(name), b"", {})
        if isinstance(reply, Reply) and reply.status == 200:
            return reply.body
        return None

    def _path(self, name: str) -> str:
        return f"/{self._bucket}/{quote(name)}"
