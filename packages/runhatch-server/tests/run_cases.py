"""Fakes of what a request's run sends to targets and gets from them."""

from gateway_cases import seconds

from runhatch_server.gateway._forward import OpenedAnswer
from runhatch_server.gateway._messages import AnswerHead


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


class ScriptedForwarder:
    """Returns the next of ``results`` for each attempt."""

    def __init__(self, results):
        self.results = list(results)
        self.targets = []

    def send(self, request, grant, until, caller_gone, resume_after=""):
        self.targets.append(grant.target.name)
        return self.results.pop(0)

    def recycle_connection(self, opened):
        pass

    def discard_answer(self, opened):
        pass
