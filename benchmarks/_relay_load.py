"""Callers that measure the first token and the gaps of streams."""

import http.client
import json
import random
import threading
import time
from dataclasses import dataclass, field
from urllib.parse import urlsplit

TIMEOUT_SECONDS = 60.0


@dataclass(slots=True)
class Stream:
    """One stream as its caller saw it; times in seconds."""

    first_token: float
    gaps: list[float] = field(default_factory=list)
    tokens: int = 0
    complete: bool = False


def read_stream(url: str, model: str, prompt: str, tokens: int) -> Stream | None:
    """Send one streaming request; return ``None`` if it fails."""
    parts = urlsplit(url)
    connection = http.client.HTTPConnection(
        str(parts.hostname), parts.port, timeout=TIMEOUT_SECONDS
    )
    document = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {"Content-Type": "application/json"}
    started = time.perf_counter()
    try:
        connection.request(
            "POST", "/v1/chat/completions", json.dumps(document), headers
        )
        response = connection.getresponse()
        if response.status != 200:
            return None
        return _read_events(response, started)
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def _read_events(response: http.client.HTTPResponse, started: float) -> Stream:
    stream = Stream(0.0)
    last = started
    while chunk := response.read1(65_536):
        now = time.perf_counter()
        events = chunk.count(b"\n\n")
        if stream.tokens == 0:
            stream.first_token = now - started
        else:
            stream.gaps.append(now - last)
        last = now
        stream.tokens += events
        stream.complete = stream.complete or b"[DONE]" in chunk
    return stream


def run_streams(
    url: str,
    models: list[str],
    concurrency: int,
    count: int,
    tokens: int,
    seed: int,
    spread: float,
) -> list[Stream]:
    """Run ``count`` streams, ``concurrency`` of them at a time.

    The first ones start at random within ``spread`` seconds.  With a spread of 0 and
    ``count`` equal to ``concurrency``, all start at the same time.
    """
    rng = random.Random(seed)
    lock = threading.Lock()
    streams: list[Stream] = []
    remaining = [count]

    def run_caller(index: int, delay: float) -> None:
        time.sleep(delay)
        while True:
            with lock:
                if remaining[0] <= 0:
                    return
                remaining[0] -= 1
                number = remaining[0]
            model = models[number % len(models)]
            stream = read_stream(url, model, f"bench {index} {number}", tokens)
            if stream is not None:
                with lock:
                    streams.append(stream)

    threads = [
        threading.Thread(target=run_caller, args=(i, rng.uniform(0, spread)))
        for i in range(concurrency)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return streams
