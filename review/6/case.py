"""Late second copies of a worker's 421 answers, and the requests sent once more.

A stream that may not be resumed is sent to a worker that does not have its adapter yet,
answered 421, and sent again on the same connection once the adapter is there.
"""

import os
import random
import sys
import threading
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "target" / "review-2"))

from harness_2 import (  # type: ignore[import-not-found]
    HOST,
    SEAL,
    Answer,
    Caller,
    Connection,
    Inbound,
    NotRunError,
    Record,
    System,
    Worker,
    build_answer,
)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DURATION_S = 75.0
GATEWAYS = 3
WORKERS = 5
GARBLING_WORKERS = 3
"""A share of 0.6 of the workers, the largest dose of the site for late copies."""
COPY_SHARE = 0.03
"""Share of the answers of those workers that come twice, the largest dose there."""
ADAPTERS = 24
ADAPTER_SLOTS = 8
ADAPTER_S = 0.15
"""Time of an adapter from the weight store, ten times as long as of a recent one."""
ADAPTER_SHARE = 0.25
"""Share of the requests that need an adapter."""
FIRST_EVENT_S = 0.05
EVENTS = 4
EVENT_S = 0.02


class Runs:
    """What the workers ran, rejected and sent twice; thread-safe."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.by_attempt: Counter[str] = Counter()
        self.rejected = 0
        self.answers = 0
        self.copies = 0


def main() -> int:
    """Run the case; return its exit status."""
    record = Record(Path(__file__).with_name("record.txt"))
    runs = Runs()
    garbling: set[str] = set()
    random_source = random.Random(int(os.environ.get("SEED", "1")))

    def send(worker: Worker, connection: Connection, answer: bytes, name: str) -> None:
        with runs.lock:
            runs.answers += 1
            is_doubled = worker.identity in garbling
            is_doubled &= random_source.random() < COPY_SHARE
            runs.copies += is_doubled
        if is_doubled:
            connection.late_extra = answer
            record.write("late_copy", worker=worker.identity, id=name)
        connection.sock.sendall(answer)

    def serve(worker: Worker, inbound: Inbound, connection: Connection) -> None:
        name = inbound.attempt_id
        model, _, adapter = inbound.headers["x-runhatch-model"].partition("/")
        echo = [("X-Runhatch-Attempt-Id", name)]
        if not worker.has(model, adapter):
            with runs.lock:
                runs.rejected += 1
            record.write("rejected", worker=worker.identity, id=name, status=421)
            answer = build_answer(421, [*echo, ("X-Runhatch-Not-Executed", "1")])
            send(worker, connection, answer, name)
            return
        with runs.lock:
            runs.by_attempt[name] += 1
        record.write("runs", worker=worker.identity, id=name)
        time.sleep(FIRST_EVENT_S)
        events = [f"id: {n}\ndata: {name}\n\n" for n in range(1, EVENTS + 1)]
        head = [*echo, (SEAL, f"seal.{worker.identity}")]
        head += [("Content-Type", "text/event-stream"), ("Keep-Alive", "timeout=10")]
        lines = ["HTTP/1.1 200 Status", *(f"{key}: {value}" for key, value in head)]
        lines += ["Transfer-Encoding: chunked", "", ""]
        connection.sock.sendall("\r\n".join(lines).encode())
        for event in events:
            time.sleep(EVENT_S)
            connection.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event.encode()))
        connection.sock.sendall(b"0\r\n\r\n")
        record.write("run_ended", worker=worker.identity, id=name)

    system = None
    try:
        system = System(record, ADAPTER_S)
        write_manifest(system)
        workers = []
        for number in range(WORKERS):
            zone = f"hall-{'abc'[number % 3]}"
            worker = Worker(system, "reader-llm", zone, serve, 64)
            worker.models = {f"m{number}": set()}
            worker.register()
            workers.append(worker)
        if HAS_TROUBLE:
            garbling |= {worker.identity for worker in workers[:GARBLING_WORKERS]}
        system.add_gateways(GATEWAYS)
        system.wait_ready()
        time.sleep(5.0)
        answers = call(system, record)
    except NotRunError as error:
        print(f"not run: {error}")
        return 2
    finally:
        if system is not None:
            if "LOGS" in os.environ:
                Path(os.environ["LOGS"]).write_text(system.read_logs())
            system.close()
        time.sleep(0.2)
        record.close()
    return judge(answers, runs)


def write_manifest(system: System) -> None:
    """Write the first manifest."""
    models = [
        {
            "name": f"m{number}",
            "weight_size": 65_100.0,
            "load_s": 9.0,
            "disk_s": 2.0,
            "warm_s": 0.76,
            "adapters": ADAPTERS,
            "adapter_mb": 12.0,
        }
        for number in range(WORKERS)
    ]
    engine = {
        "slots": 64,
        "models": models,
        "weight_size": 70_000.0,
        "adapter_slots": ADAPTER_SLOTS,
        "kv_capacity": 132_029,
        "loads_per_s": 1.4,
        "stride": 2,
    }
    route = {
        "name": "contract-draft",
        "host": HOST,
        "path_prefix": "/gono990/",
        "kind": "stream",
        "service": "reader-llm",
        "timeout_ms": 15_000,
        "goal_ms": 800,
        "priority": 0,
        "max_attempts": 1,
        "session_affinity": True,
        "gap_target_ms": 400,
    }
    service = {"name": "reader-llm", "max_conns": 360, "engine": engine}
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 5_000,
        "idle_timeout_ms": 30_000,
    }
    manifest = {"version": 3, "routes": [route], "services": [service]}
    system.write_row("op", "config", {**manifest, "limits": limits})


def call(system: System, record: Record) -> list[Answer]:
    """Send requests for adapters in turn, one caller at each gateway and model."""
    answers: list[Answer] = []
    until = time.monotonic() + DURATION_S

    def run(port: int, number: int, seed: int) -> None:
        source = random.Random(seed)
        caller = Caller(record, port, 15.0)
        while time.monotonic() < until:
            model = f"m{number}"
            if source.random() < ADAPTER_SHARE:
                model += f"/a{source.randint(1, ADAPTERS)}"
            headers = {
                "X-Runhatch-Model": model,
                "X-Runhatch-Token-Count": "60,8",
                "X-Runhatch-Prompt-Prefix": f"{source.randrange(1 << 30):x}:60",
                "X-Runhatch-Deadline-Ms": "15000",
            }
            answers.append(caller.ask("POST", "/gono990/2f", headers))
            time.sleep(source.uniform(0.02, 0.1))
        with suppress(OSError):
            caller.close()

    threads = []
    for position, gateway in enumerate(system.gateways):
        for number in range(WORKERS):
            arguments = (gateway.front, number, 100 * position + number)
            threads.append(threading.Thread(target=run, args=arguments))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def judge(answers: list[Answer], runs: Runs) -> int:
    """Return 1 if a rule was broken."""
    statuses = Counter(answer.status for answer in answers)
    twice = [name for name, count in runs.by_attempt.items() if count > 1]
    promised = {
        answer.attempt_id: answer.status
        for answer in answers
        if answer.status in (408, 421, 429, 503)
    }
    untrue = [name for name in promised if runs.by_attempt[name]]
    print(
        f"{len(answers)} attempts, answers {dict(statuses)}; workers gave "
        f"{runs.answers} answers of 421 and copied {runs.copies}; "
        f"ran more than once: {len(twice)} {twice[:3]}; "
        f"refused as not run, and run: {len(untrue)} {untrue[:3]}"
    )
    if not statuses[200]:
        print("not run: no request was served")
        return 2
    return 1 if twice or untrue else 0


if __name__ == "__main__":
    sys.exit(main())
