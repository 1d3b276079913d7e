"""Benchmark of one entry process on loopback, bounded in count and time.

The streams are closed loops: a generator sends the next token of a stream once its
client has received the previous one, so every token is one write at any load. The same
generators and clients then run through a plain Twisted byte relay.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import statistics
import subprocess
import sys
import time
from typing import Any

from twisted.internet import task
from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from features.steps._programs import Programs
from wisteriagw.config._sheet_parsing import COLUMNS
from wisteriagw.http import BodyCollector, HttpClient

HERE = pathlib.Path(__file__).parent
DRIVERS = 4
# Other load on the machine distorts single rounds by a third and more.
ROUNDS = 3
STREAMS = 400
FIRST_TOKEN_SAMPLES = 200
SHORT_REQUESTS = 2000
SHORT_CONCURRENCY = 50
CPU_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def read_cpu_seconds(pid: int) -> float:
    """Return the CPU time used by a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CPU_TICKS_PER_SECOND


def start_fleet(programs: Programs) -> str:
    """Start a log, an engine stand-in and one entry process; return an API key."""
    log = programs.reserve("log")
    programs.start("log", "wisteriagw-standin-log", "--listen", log)
    engine = programs.reserve("engine")
    arguments = ("--listen", engine, "--step-seconds", "0.001")
    rate = ("--prefill-tokens-per-second", "10000000")
    programs.start("engine", "wisteriagw-standin-engine", *arguments, *rate)
    listen, operators = programs.reserve("entry"), programs.reserve("operators")
    arguments = ("--vm", "vm-1", "--data-centre", "dc1", "--listen", listen)
    more = ("--operator-listen", operators, "--log", log)
    programs.wait_until_listening("log")
    programs.start("entry", "wisteriagw-entry", *arguments, *more)
    rows = [",".join(COLUMNS)]
    models = {"ledger": engine}
    for number in range(DRIVERS):
        models[f"bench-{number}"] = programs.reserve(f"generator-{number}")
    for model, address in models.items():
        rows.append(f"model,{model},1,,,,,,,,,,,,,")
        rows.append(f"engine,e-{model},,,dc1,{address},{model},mixed,,,yes,no,,,,")
    for name in ("engine", "entry", "operators"):
        programs.wait_until_listening(name)
    programs.call("operators", "POST", "/v1/customers", {"customer": "market"})
    programs.call("operators", "POST", "/v1/sheets", {"sheet": "\n".join(rows)})
    _, body = programs.call("operators", "POST", "/v1/keys", {"customer": "market"})
    time.sleep(1.5)
    return json.loads(body)["key"]


def run_streams(
    programs: Programs, target: str, pid: int, key: str, seconds: float
) -> dict[str, float]:
    """Run the closed loops through a process and return the measurements."""
    drivers = []
    for number in range(DRIVERS):
        address = programs.addresses["entry"]
        if target == "relay":
            address = programs.addresses[f"relay-{number}"]
        command = [
            sys.executable,
            str(HERE / "bench_stream_driver.py"),
            target,
            address,
        ]
        command += [programs.addresses[f"generator-{number}"], f"bench-{number}", key]
        command += [str(STREAMS // DRIVERS), str(seconds)]
        drivers.append(subprocess.Popen(command, stdout=subprocess.PIPE))
    time.sleep(3.0)
    cpu, started = read_cpu_seconds(pid), time.monotonic()
    time.sleep(seconds - 2.0)
    cpu, elapsed = read_cpu_seconds(pid) - cpu, time.monotonic() - started
    results = [json.loads(driver.communicate(timeout=60)[0]) for driver in drivers]
    rate = sum(result["tokens"] / result["seconds"] for result in results)
    return {
        "tokens_per_second": round(rate),
        "processor_share": round(cpu / elapsed, 3),
        "tokens_per_processor_second": round(rate * elapsed / max(cpu, 1e-9)),
    }


def start_relay(programs: Programs) -> int:
    """Start the plain relay in front of the generators; return its process id."""
    pairs = []
    for number in range(DRIVERS):
        listen = programs.reserve(f"relay-{number}")
        pairs += [listen, programs.addresses[f"generator-{number}"]]
    command = [sys.executable, str(HERE / "bench_relay.py"), *pairs]
    programs.processes["relay"] = subprocess.Popen(command)
    programs.wait_until_listening("relay-0")
    return programs.processes["relay"].pid


@inlineCallbacks
def measure_requests(reactor: Any, programs: Programs, key: str, report: dict) -> Any:
    """Measure first-token times, direct and through the entry, and short requests."""
    client = HttpClient(reactor)
    headers = {"authorization": f"Bearer {key}", "content-type": "application/json"}
    endpoints = {
        name: programs.addresses[name].split(":") for name in ("engine", "entry")
    }
    samples: dict[str, list[float]] = {"engine": [], "entry": []}
    for number in range(FIRST_TOKEN_SAMPLES):
        for name, (host, port) in endpoints.items():
            path, body = build_request(name, number)
            started = time.perf_counter()
            opening, _ = client.open((host, int(port)), "POST", path, body, headers)
            response = yield opening
            yield read_first_token(response)
            samples[name].append(time.perf_counter() - started)
    medians = {name: statistics.median(values) for name, values in samples.items()}
    added = medians["entry"] - medians["engine"]
    report["first_token_ms_direct"] = round(medians["engine"] * 1000, 2)
    report["first_token_ms_added"] = round(added * 1000, 2)

    host, port = endpoints["entry"]
    done = [0]

    @inlineCallbacks
    def send_health_checks() -> Any:
        for _ in range(SHORT_REQUESTS // SHORT_CONCURRENCY):
            path = "/healthz"
            outcome = yield client.send((host, int(port)), "GET", path)
            done[0] += outcome.status == 200

    @inlineCallbacks
    def send_prompts() -> Any:
        for number in range(SHORT_REQUESTS // SHORT_CONCURRENCY):
            path, body = build_request("entry", number, stream=False)
            outcome = yield client.send((host, int(port)), "POST", path, body, headers)
            done[0] += outcome.status == 200

    for name, send in (("healthz", send_health_checks), ("chat", send_prompts)):
        done[0], started = 0, time.perf_counter()
        yield gatherResults([send() for _ in range(SHORT_CONCURRENCY)])
        rate = done[0] / (time.perf_counter() - started)
        report[f"{name}_requests_per_second"] = round(rate)
        report[f"{name}_requests_answered"] = done[0]
    yield client.close()


def build_request(name: str, number: int, stream: bool = True) -> tuple[str, bytes]:
    """Return the path and body of a request for one token to an engine or an entry."""
    if name == "engine":
        body: dict[str, Any] = {"request_id": f"direct-{number}", "attempt": "a"}
        body |= {"customer": "market", "model": "ledger", "adapter": "", "priority": 0}
        body |= {"prompt": "user: How many?", "max_tokens": 1, "first_index": 0}
        return "/generate", json.dumps(body).encode("utf-8")
    body = {"model": "ledger", "max_tokens": 1, "stream": stream}
    body["messages"] = [{"role": "user", "content": "How many?"}]
    return "/v1/chat/completions", json.dumps(body).encode("utf-8")


def read_first_token(response: Any) -> Deferred[None]:
    """Fire at the end of a one-token response, which arrives with the token."""
    collector = BodyCollector(1_000_000)
    response.deliverBody(collector)
    return collector.finished


def main() -> None:
    """Run the benchmark and print its figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0, help="between 4 and 30")
    parser.add_argument("--only-streams", action="store_true")
    options = parser.parse_args()
    seconds = min(max(options.seconds, 4.0), 30.0)
    programs, report = Programs(), {}
    report["load_average"] = os.getloadavg()[0]
    report["cores"] = os.cpu_count()
    try:
        key = start_fleet(programs)
        relay = start_relay(programs)
        pid = programs.processes["entry"].pid
        rounds = []
        for _ in range(ROUNDS):
            pair = {
                "relay": run_streams(programs, "relay", relay, key, seconds),
                "entry": run_streams(programs, "entry", pid, key, seconds),
            }
            rates = [pair[name]["tokens_per_second"] for name in ("entry", "relay")]
            rounds.append({**pair, "entry_to_relay": round(rates[0] / rates[1], 3)})
        rounds.sort(key=lambda pair: pair["entry_to_relay"])
        report["median_round"] = rounds[ROUNDS // 2]
        report["ratios"] = [pair["entry_to_relay"] for pair in rounds]
        if not options.only_streams:
            task.react(run_request_benchmark, (programs, key, report))
    finally:
        programs.kill_all()
        print(json.dumps(report, indent=2))


@inlineCallbacks
def run_request_benchmark(
    reactor: Any, programs: Programs, key: str, report: dict
) -> Any:
    """Run the part of the benchmark that needs an HTTP client."""
    yield measure_requests(reactor, programs, key, report)


if __name__ == "__main__":
    main()
