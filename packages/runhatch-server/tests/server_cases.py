"""Deployments and requests shared by the tests."""

from datetime import timedelta

from runhatch_coordination import SystemClock
from runhatch_server.serving import CallerRequest, Route, RouteKind

ROUTE = Route(RouteKind.MODEL, "m0")


def make_request(name="r", caller="c", priority=3, seconds=5.0):
    now = SystemClock().elapsed()
    return CallerRequest(
        request_id=name,
        caller=caller,
        route=ROUTE,
        method="POST",
        path="/",
        priority=priority,
        received_at=now,
        deadline=now + timedelta(seconds=seconds),
        idempotent=True,
        key=None,
        body=b"",
    )


def deployment_document(**changes):
    """Return a small valid deployment, with the sections in ``changes`` replaced."""
    document = {
        "pools": [
            {
                "name": "reader",
                "targets": [
                    {
                        "name": f"w{i}",
                        "url": f"http://127.0.0.1:{9000 + i}",
                        "failure_domain": f"d{i % 3}",
                        "memory_mb": 100,
                        "concurrency": 4,
                        "fencing": "refuses",
                    }
                    for i in range(3)
                ],
            }
        ],
        "models": [
            {"name": f"m{i}", "pool": "reader", "memory_mb": 30, "loading_peak_mb": 5}
            for i in range(4)
        ],
        "adapters": [{"name": "a0", "base": "m0", "memory_mb": 2}],
    }
    return {**document, **changes}
