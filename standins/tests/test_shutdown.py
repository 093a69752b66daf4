"""Restarts, starts without the store, and targets that leave, under load."""

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
    """A system of its own, since its nodes are restarted."""
    # A lag well above the balancer's here, so that a slow host cuts nothing.
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
    """Callers that send through the nodes a balancer would use."""

    def __init__(self, cluster, label):
        self.cluster = cluster
        self.label = label
        self.ready = set(cluster.settings)
        self.stop = threading.Event()
        self.gots = []

    def call(self, caller):
        count = 0
        while not self.stop.is_set():
            shape = [*Shape][count % len(Shape)]
            name = f"{self.label}-{caller}-{count}"
            wanted = Wanted(name, shape, f"m{count % 4}", 30)
            names = sorted(self.ready)
            url = self.cluster.caller_url(names[(caller + count) % len(names)])
            self.gots.append(send(url, wanted))
            count += 1

    def unserved(self):
        return [got for got in self.gots if got.event.kind is not EventKind.ANSWERED]

    def __enter__(self):
        self.pool = ThreadPoolExecutor(8)
        self.futures = [self.pool.submit(self.call, i) for i in range(8)]
        return self

    def __exit__(self, *exception):
        self.stop.set()
        for future in self.futures:
            future.result()
        self.pool.shutdown()


def lookups(gots):
    return {g.event.request: 1 for g in gots if "free" in g.event.answer}


class TestRollingRestart:
    """All nodes are replaced one after the other, under load."""

    def test_cuts_nothing(self, own_cluster):
        """Every request is answered, whichever node is being restarted."""
        with Load(own_cluster, "rolling") as load:
            for name in sorted(own_cluster.settings):
                node = own_cluster.nodes[name]
                time.sleep(0.3)
                terminated = threading.Thread(target=node.terminate, args=(40,))
                terminated.start()
                # The balancer notices within the lag that the settings allow.
                time.sleep(0.3)
                load.ready.discard(name)
                terminated.join()
                assert node.process.returncode == 0
                own_cluster.start_node(name)
                while not _is_ready(own_cluster, name):
                    time.sleep(0.05)
                load.ready.add(name)
        assert load.unserved() == []
        runs = {**count_runs(own_cluster), **lookups(load.gots)}
        assert check_history([got.event for got in load.gots], runs) == []


def _is_ready(cluster, name):
    try:
        records = cluster.query(name, {"noun": "models"})
    except (OSError, RuntimeError):
        return False
    return bool(records) and all(record["replicas"] for record in records)


class TestStartWithoutStore:
    """A node that starts while the platform's store is down."""

    def test_takes_all_from_peers(self, own_cluster):
        """Configuration and picture come from a peer, and it serves."""
        own_cluster.nodes["n2"].terminate(40)
        call(own_cluster.platform.url, "POST", "/faults", {"down": True})
        try:
            own_cluster.start_node("n2")
            give_up = time.monotonic() + 15
            while not _is_ready(own_cluster, "n2") and time.monotonic() < give_up:
                time.sleep(0.1)
            wanted = Wanted("without-store", Shape.WHOLE, "m1")
            got = send(own_cluster.caller_url("n2"), wanted)
            assert got.event.kind is EventKind.ANSWERED
        finally:
            call(own_cluster.platform.url, "POST", "/faults", {})


class TestLeavingTarget:
    """A target leaves by one of three signs."""

    @pytest.mark.parametrize("sign", ["operator", "vm-list", "engine"])
    def test_gets_no_new_work_after_three_seconds(self, own_cluster, sign):
        """No request begins at the target three seconds after the sign."""
        engine = own_cluster.engines[2]
        with Load(own_cluster, f"leaving-{sign}") as load:
            time.sleep(0.5)
            self._give_sign(own_cluster, engine, sign)
            time.sleep(3)
            quiet_from = time.time()
            time.sleep(1.5)
        runs = call(engine.url, "GET", "/record")["runs"]
        began = [r for r in runs if r["what"] == "began" and r["at"] > quiet_from]
        assert began == []
        assert own_cluster.ended_nodes() == []
        assert load.unserved() == []
        self._take_back(own_cluster, engine)

    def _give_sign(self, cluster, engine, sign):
        if sign == "operator":
            command = {"verb": "drain", "target": engine.name}
            call(cluster.operator_url("n1"), "POST", "/v1/command", command)
        elif sign == "vm-list":
            cluster.publish_vms(leaving=(f"vm-{engine.name}",))
        else:
            call(engine.url, "POST", "/faults", {"draining": True})

    def _take_back(self, cluster, engine):
        call(engine.url, "POST", "/faults", {})
        cluster.publish_vms()
        command = {"verb": "undrain", "target": engine.name}
        call(cluster.operator_url("n1"), "POST", "/v1/command", command)
