"""DRAIN: a machine that nothing disturbs sends on to a worker that is gone."""

import signal
import sys
import threading
import time
from pathlib import Path

from review_harness import (
    BROKEN,
    HELD,
    HOST,
    NOT_RUN,
    CannotRun,
    Deployment,
    Gateway,
    StandIn,
    connect,
    head_of,
    is_disturbed,
)

from runhatch_standins._tcp_relay import LinkFault

ZONES = ("hall-a", "hall-b", "hall-c", "hall-a", "hall-b", "hall-b")
ZONE = "hall-b"
TURNED_AWAY = 2
"""Of six machines, which is a share of 0.35."""
ROUNDS = 8
TURNED_AWAY_SECONDS = 1.5
ROUND_SECONDS = 5.5
CONSUMERS = 8
REQUESTS_PER_SECOND = 8
"""Of each consumer."""
WORK_MS = 60
SLOTS = "6"
SERVES_ON_SECONDS = "2.5"
"""How long a worker that has left serves on, which is ``drain_ms`` and a little."""
DRAIN_SECONDS = 2.0


class Consumer(threading.Thread):
    """Sends requests to one machine at a steady rate, each on a new connection."""

    def __init__(self, deployment: Deployment, gateway: Gateway, label: str) -> None:
        super().__init__()
        self.deployment = deployment
        self.gateway = gateway
        self.label = label
        self.stopped = threading.Event()

    def run(self) -> None:
        number = 0
        while not self.stopped.is_set():
            number += 1
            self.ask(f"{self.label}-{number}")
            time.sleep(1 / REQUESTS_PER_SECOND)

    def ask(self, name: str) -> None:
        """Send one request and read its answer."""
        path = f"/book/{name}?work_ms={WORK_MS}"
        try:
            with connect(self.gateway) as sock:
                sock.settimeout(3)
                sock.sendall(head_of("POST", path, name, 0, 1_500))
                answer = sock.recv(4_096)
        except OSError as error:
            self.deployment.note(f"{name}: {type(error).__name__}")
            return
        status = answer.partition(b"\r\n")[0].decode()
        if " 200 " not in status + " ":
            self.deployment.note(f"{name}: {status or 'closed without an answer'}")


def start_worker(deployment: Deployment) -> StandIn:
    """Start a worker that exits some time after it has left."""
    return deployment.start_worker(
        "desk", "--slots", SLOTS, "--serves-on", SERVES_ON_SECONDS
    )


def choose_machines(deployment: Deployment) -> tuple[list[int], int]:
    """Return the two machines of a zone that read the store most, and another one."""
    before = [relay.answered for relay in deployment.relays]
    time.sleep(1.0)
    members = [i for i, zone in enumerate(ZONES) if zone == ZONE]
    members.sort(key=lambda i: before[i] - deployment.relays[i].answered)
    return members[:TURNED_AWAY], members[-1]


def play_round(deployment: Deployment, number: int, leaving: StandIn) -> None:
    """Play one round."""
    pair, calm = choose_machines(deployment)
    gateway = deployment.gateways[calm]
    label = f"round-{number}"
    consumers = [
        Consumer(deployment, gateway, f"{label}-{i}") for i in range(CONSUMERS)
    ]
    for consumer in consumers:
        consumer.start()
    time.sleep(0.5)
    names = " and ".join(deployment.gateways[i].name for i in pair)
    if is_disturbed():
        deployment.note(f"{label}: the store turns {names} away; {gateway.name} is not")
        for i in pair:
            deployment.relays[i].inject(LinkFault.RESET)
    deployment.note(f"{label}: {leaving.identity} leaves")
    leaving.process.send_signal(signal.SIGUSR1)
    time.sleep(TURNED_AWAY_SECONDS)
    for i in pair:
        deployment.relays[i].inject(LinkFault.NONE)
    if is_disturbed():
        deployment.note(f"{label}: the store serves {names} again")
    time.sleep(ROUND_SECONDS - TURNED_AWAY_SECONDS)
    for consumer in consumers:
        consumer.stopped.set()
    for consumer in consumers:
        consumer.join()


def find_late(deployment: Deployment) -> list[str]:
    """Return the requests that reached a worker too late after it had left."""
    events = deployment.worker_events()
    left_at = {e["id"]: e["t"] for e in events if e["what"] == "entry removed"}
    late = []
    for event in events:
        if event["what"] != "arrived" or event["worker"] not in left_at:
            continue
        after = event["t"] - left_at[event["worker"]]
        if after > DRAIN_SECONDS:
            late.append(f"{event['id']} reached {event['worker']} {after:.3f} s after")
    return late


def play(deployment: Deployment) -> int:
    """Play the case and return the exit status."""
    route = {
        "name": "book",
        "host": HOST,
        "path_prefix": "/book/",
        "kind": "non_idempotent",
        "timeout_ms": 1_500,
        "goal_ms": 500,
        "service": "desk",
        "max_attempts": 1,
    }
    deployment.configure([route], [{"name": "desk", "max_conns": 96}])
    workers = [start_worker(deployment) for _ in range(3)]
    deployment.start_gateways(*ZONES, by_relay=True)
    for number in range(ROUNDS):
        # The new worker starts first, and the old one leaves.
        workers.append(start_worker(deployment))
        time.sleep(0.5)
        play_round(deployment, number, workers.pop(0))
    late = find_late(deployment)
    for line in late:
        deployment.note(f"late: {line} its entry was removed")
    verdict = f"late: {len(late)} requests, the bound is {DRAIN_SECONDS} s"
    deployment.write_record(verdict)
    print(verdict)
    return BROKEN if late else HELD


def main() -> int:
    """Return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    deployment = Deployment(Path(__file__).parent)
    with deployment.stack:
        try:
            return play(deployment)
        except (CannotRun, OSError) as error:
            print(f"could not run: {error}")
            return NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
