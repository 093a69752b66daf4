"""Test restarts, starts without the store and draining targets under load."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from runhatch_standins._callers import Shape, Wanted, send
from runhatch_standins._cluster import Sizes, call, start_cluster
from runhatch_standins._history import EventKind, check_history
from runhatch_standins.demo import count_runs


@pytest.fixture(scope="module")
def own_cluster():
    """Start a separate cluster, because its nodes are restarted."""
    # Well above the lag of the load balancer here, so that a slow host breaks no
    # request.
    settings = {"serving": {"drain_lag_seconds": 2.0}}
    cluster = start_cluster(Sizes(models=4, adapters=2), settings)
    try:
        cluster.apply(cluster.deployment(), "tests")
        for name in cluster.nodes:
            assert cluster.wait_resident(name, 40)
        yield cluster
    finally:
        cluster.close()


class Load:
    """Callers that send requests to the nodes in rotation at a load balancer."""

    def __init__(self, cluster, label):
        self.cluster = cluster
        self.label = label
        self.ready = set(cluster.settings)
        self.stop = threading.Event()
        self.gots = []

    def run_caller(self, caller):
        count = 0
        while not self.stop.is_set():
            shape = [*Shape][count % len(Shape)]
            name = f"{self.label}-{caller}-{count}"
            wanted = Wanted(name, shape, f"m{count % 4}", 30)
            names = sorted(self.ready)
            url = self.cluster.caller_url(names[(caller + count) % len(names)])
            self.gots.append(send(url, wanted))
            count += 1

    def unanswered(self):
        return [got for got in self.gots if got.event.kind is not EventKind.ANSWERED]

    def __enter__(self):
        self.pool = ThreadPoolExecutor(8)
        self.futures = [self.pool.submit(self.run_caller, i) for i in range(8)]
        return self

    def __exit__(self, *exception):
        self.stop.set()
        for future in self.futures:
            future.result()
        self.pool.shutdown()


def count_lookups(gots):
    return {g.event.request: 1 for g in gots if "free" in g.event.answer}


class TestRollingRestart:
    """All nodes are restarted one after the other under load."""

    def test_every_request_is_answered(self, own_cluster):
        """A restart of any node breaks or refuses no request."""
        with Load(own_cluster, "rolling") as load:
            for name in sorted(own_cluster.settings):
                node = own_cluster.nodes[name]
                time.sleep(0.3)
                terminated = threading.Thread(target=node.terminate, args=(40,))
                terminated.start()
                # The load balancer reacts within the lag allowed by the settings.
                time.sleep(0.3)
                load.ready.discard(name)
                terminated.join()
                assert node.process.returncode == 0
                own_cluster.start_node(name)
                while not _is_ready(own_cluster, name):
                    time.sleep(0.05)
                load.ready.add(name)
        assert load.unanswered() == []
        runs = {**count_runs(own_cluster), **count_lookups(load.gots)}
        assert check_history([got.event for got in load.gots], runs) == []


def _is_ready(cluster, name):
    try:
        records = cluster.query(name, {"noun": "models"})
    except (OSError, RuntimeError):
        return False
    return bool(records) and all(record["replicas"] for record in records)


class TestStartWithoutStore:
    """A node that starts while the platform's store is down."""

    def test_node_starts_with_state_from_peers(self, own_cluster):
        """A node that receives configuration and state from a peer serves requests."""
        own_cluster.nodes["n2"].terminate(40)
        call(own_cluster.platform.url, "POST", "/faults", {"down": True})
        try:
            own_cluster.start_node("n2")
            deadline = time.monotonic() + 15
            while not _is_ready(own_cluster, "n2") and time.monotonic() < deadline:
                time.sleep(0.1)
            wanted = Wanted("without-store", Shape.WHOLE, "m1")
            got = send(own_cluster.caller_url("n2"), wanted)
            assert got.event.kind is EventKind.ANSWERED
        finally:
            call(own_cluster.platform.url, "POST", "/faults", {})


class TestDrainingTarget:
    """A target drains by an operator's command, the VM list or its own report."""

    @pytest.mark.parametrize("sign", ["operator", "vm-list", "engine"])
    def test_no_request_starts_after_three_seconds(self, own_cluster, sign):
        """No request starts at the target three seconds after the drain."""
        engine = own_cluster.engines[2]
        with Load(own_cluster, f"leaving-{sign}") as load:
            time.sleep(0.5)
            self._drain(own_cluster, engine, sign)
            time.sleep(3)
            quiet_from = time.time()
            time.sleep(1.5)
        runs = call(engine.url, "GET", "/record")["runs"]
        began = [r for r in runs if r["what"] == "began" and r["at"] > quiet_from]
        assert began == []
        assert own_cluster.ended_nodes() == []
        assert load.unanswered() == []
        self._undrain(own_cluster, engine)

    def _drain(self, cluster, engine, sign):
        if sign == "operator":
            command = {"verb": "drain", "target": engine.name}
            call(cluster.operator_url("n1"), "POST", "/v1/command", command)
        elif sign == "vm-list":
            cluster.publish_vms(leaving=(f"vm-{engine.name}",))
        else:
            call(engine.url, "POST", "/faults", {"draining": True})

    def _undrain(self, cluster, engine):
        call(engine.url, "POST", "/faults", {})
        cluster.publish_vms()
        command = {"verb": "undrain", "target": engine.name}
        call(cluster.operator_url("n1"), "POST", "/v1/command", command)
