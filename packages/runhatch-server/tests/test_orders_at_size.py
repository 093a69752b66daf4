"""The node that orders many targets keeps its lease and hears of demand meanwhile.

With 70 targets and 305 models the right to order them passed to and fro each three
or four seconds, on a day on which no node failed; after each change no target was
ordered for up to three seconds, and models that were asked for all day were never
loaded.  The holder reached the store in 30 ms all the time.  It resigned since the
look at its lease came too late: "lease", "change": "resigned", "epoch": 1,
"left_ms": 678, "late_ms": 1291, where 300 ms lie between two looks; and then
"epoch": 2, "left_ms": 0, "late_ms": 1980.  The look waited for the lock that a round
of orders holds, and that each message of demand took as well, some hundred a second.
"""

import threading

from gateway_cases import seconds
from orderer_cases import Case

from runhatch_coordination.testing import MemoryTable

WAIT = 2.0
"""Seconds after which a call that waits for a round is given up."""


class LongRound:
    """A holder of the lease whose round does not end before it is told to."""

    def __init__(self, clock):
        self.case = Case(clock, MemoryTable(), models=("m0",))
        self.case.orderer.keep_lease(eager=True)
        self.case.round()
        self._entered, self._may_end = threading.Event(), threading.Event()
        self.case.on_tell = self._hold
        for _ in range(4):
            # What targets hold is told again after some seconds.
            clock.advance(seconds(1))
            self.case.orderer.keep_lease(eager=True)
        self._thread = threading.Thread(target=self.case.orderer.step)

    def __enter__(self):
        self._thread.start()
        assert self._entered.wait(WAIT)
        return self.case

    def __exit__(self, *failure):
        self._may_end.set()
        self._thread.join(WAIT)

    def _hold(self):
        self._entered.set()
        self._may_end.wait(WAIT * 3)


def ends_at_once(work):
    """Tell whether ``work`` ends while a round goes on."""
    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    thread.join(WAIT)
    return not thread.is_alive()


class TestLongRounds:
    """What else the holder has to do while one of its rounds takes long."""

    def test_the_lease_is_renewed(self, clock):
        with LongRound(clock) as case:
            clock.advance(seconds(1))

            assert ends_at_once(lambda: case.orderer.keep_lease(eager=True))
            assert ends_at_once(case.orderer.resign_if_cut_off)
            assert case.orderer.holds_lease() is not None
