"""Fakes of what a request's run sends to targets and gets from them."""

from dataclasses import replace

from gateway_cases import seconds

from runhatch_coordination import Vm
from runhatch_server.gateway._forward import OpenedAnswer
from runhatch_server.gateway._messages import AnswerHead
from runhatch_server.gateway._peer_requests import ForwardedAttempt, _make_grant

PEER = Vm("p1", "d1", "h:1", forward_port=7)


class FakeConnection:
    """Fake of a connection whose answer has arrived; it breaks if ``body`` is None."""

    def __init__(self, body, is_framed=True):
        self._body = body
        self.is_framed = is_framed

    def set_timeout(self, timeout):
        pass

    def read_body(self):
        if self._body is None:
            raise ConnectionResetError
        return self._body


def make_answer(status=200, body=b"ok", is_framed=True):
    head = AnswerHead(status, "", "id", True, False, False, None, seconds(1), ())
    return OpenedAnswer(FakeConnection(body, is_framed), head)


class PartConnection:
    """Fake of a connection that sends ``chunks``, and then ends or breaks."""

    def __init__(self, *chunks, is_framed=True, breaks=False):
        self.is_framed = is_framed
        self._chunks = list(chunks)
        self._breaks = breaks

    def wait_readable(self, timeout):
        return True

    def set_timeout(self, timeout):
        pass

    def read_chunk(self):
        if self._chunks:
            return self._chunks.pop(0)
        if self._breaks:
            raise ConnectionResetError
        return b""


def make_stream(connection):
    head = AnswerHead(200, "", "id", True, False, False, None, seconds(1), ())
    return OpenedAnswer(connection, head)


class ScriptedForwarder:
    """Returns the next of ``results`` for each attempt."""

    def __init__(self, results):
        self.results = list(results)
        self.targets = []
        self.sent_to = []

    def send(self, request, grant, until, caller_gone, resume_after=""):
        self.targets.append(grant.target.name)
        self.sent_to.append(grant.target)
        return self.results.pop(0)

    def recycle_connection(self, opened):
        pass

    def discard_answer(self, opened):
        pass


class ScriptedPeers:
    """Returns the next of ``results`` for each forwarded request, then ``None``.

    A result may be a pair with the software version that the peer states.
    """

    def __init__(self, clock, results):
        self._clock = clock
        self._results = list(results)
        self.requests = []

    @property
    def sent(self):
        return len(self.requests)

    def send(self, request, until, caller_gone, resume_after, on_attempt):
        self.requests.append(request)
        if not self._results:
            return None
        grant = _make_grant(PEER, request, self._clock.elapsed())
        result = self._results.pop(0)
        if isinstance(result, tuple):
            result, version = result
            grant = replace(grant, peer_software_version=version)
        attempt = ForwardedAttempt(grant, result)
        on_attempt(attempt)
        return attempt


class ScriptedVersions:
    """Fake of the versions that began streams; keeps what a run records."""

    def __init__(self, known=()):
        self.known = dict(known)
        self.begun = []
        self.asked = []

    def record_begun(self, attempt_id, service, software_version):
        self.begun.append((attempt_id, service, software_version))

    def find_version(self, attempt_id, service):
        self.asked.append(attempt_id)
        return self.known.get(attempt_id)
