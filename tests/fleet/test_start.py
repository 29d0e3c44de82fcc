"""Startup of a node: the modules it loads before it listens, and the handling of early requests."""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from hillstack.config.fleet_settings import load_fleet_settings
from hillstack.daemon import early_listeners
from hillstack.daemon.early_listeners import open_early_listeners
from hillstack.daemon.fleet_node import FleetNode
from hillstack.daemon.start_times import StartTimes
from hillstack.errors import SettingsError
from hillstack.serving.start_gate import (
    CACHES_WAIT_SECONDS,
    FIRST_READ_WAIT_SECONDS,
    StartGate,
)
from hillstack.simulation.virtual_loop import Scheduler
from tests.fleet.deployment import deployment, free_port

SETTINGS = """
[node]
id = "node-1"
zone = "a"
address = "127.0.0.1"
[listen]
callers = "127.0.0.1:8782"
readiness = "127.0.0.1:8789"
peers_port = 7340
[store]
address = "127.0.0.1:8784"
"""
LOADED_BEFORE_LISTENING = {
    "hillstack",
    "hillstack.addresses",
    "hillstack.clock",
    "hillstack.daemon",
    "hillstack.daemon.early_listeners",
    "hillstack.daemon.fleet_main",
    "hillstack.errors",
}
NOT_LOADED_BEFORE_LISTENING = {
    "aiohttp",
    "asyncio",
    "email",
    "http",
    "logging",
    "msgspec",
    "prometheus_client",
    "ssl",
    "starlette",
    "uvicorn",
}


def test_time_bounds_count_from_the_start_of_the_process(tmp_path: Path) -> None:
    # Guards against counting from the end of loading the libraries: weights that were announced
    # before the start would be due up to a second later on a busy machine, but the bound leaves
    # only 0.4 s.
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    settings = load_fleet_settings(path)
    loaded_at = time.monotonic()
    times = StartTimes(loaded_at - 2.0, loaded_at - 1.9, loaded_at)
    listeners: Any = None

    async def make() -> float:
        node = FleetNode(settings, listeners, times)
        await node._store_session.close()
        await node._runner_session.close()
        return node._state.bounds_enforced_from

    contact = settings.bounds.contact_ms / 1000
    assert asyncio.run(make()) <= times.entered_at + contact


def modules_after(statement: str) -> set[str]:
    """Return the modules that a new interpreter has loaded after running a statement."""
    program = f"{statement}; import json, sys; print(json.dumps(sorted(sys.modules)))"
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, check=True)
    return set(json.loads(done.stdout))


def write_settings(folder: Path, callers: str, readiness: str) -> Path:
    path = folder / "node.toml"
    path.write_text(f'[listen]\ncallers = "{callers}"\nreadiness = "{readiness}"\n')
    return path


def test_only_light_modules_are_loaded_before_a_node_listens() -> None:
    loaded = modules_after("import hillstack.daemon.fleet_main")
    local = {name for name in loaded if name.partition(".")[0] == "hillstack"}
    assert local == LOADED_BEFORE_LISTENING
    assert not NOT_LOADED_BEFORE_LISTENING & (loaded - modules_after("pass"))


def test_the_http_client_is_loaded_without_tls_contexts() -> None:
    check = (
        "from hillstack.daemon.plain_http import load_http_client; load_http_client(); "
        "import ssl, aiohttp.connector as connector; "
        "assert connector._SSL_CONTEXT_VERIFIED is None; "
        "assert ssl.create_default_context"
    )
    assert "aiohttp.connector" in modules_after(check)


def test_the_http_server_is_loaded_without_its_command_line() -> None:
    check = (
        "from hillstack.daemon.plain_http import load_http_client, load_http_server; "
        "load_http_client(); load_http_server(); "
        "import hillstack.daemon.fleet_process; "
        "from hillstack.http_server import make_server; "
        "make_server(None, '127.0.0.1:1').config.load()"
    )
    loaded = modules_after(check)
    assert "uvicorn.protocols.http.httptools_impl" in loaded
    assert not loaded & {"click", "uvicorn.main", "uvicorn.supervisors", "multiprocessing"}


def test_a_server_library_that_is_already_loaded_stays_complete() -> None:
    check = (
        "import uvicorn; from hillstack.daemon.plain_http import load_http_server; "
        "load_http_server(); assert uvicorn.main and uvicorn.run"
    )
    assert "uvicorn.main" in modules_after(check)


def test_callers_can_connect_before_the_settings_are_checked(tmp_path: Path) -> None:
    addresses = [f"127.0.0.1:{free_port()}" for _ in range(2)]
    listeners = open_early_listeners(write_settings(tmp_path, *addresses))
    try:
        for address in addresses:
            host, _, port = address.partition(":")
            socket.create_connection((host, int(port))).close()
    finally:
        listeners.callers.close()
        listeners.readiness.close()


def test_connections_of_callers_are_probed(tmp_path: Path) -> None:
    addresses = [f"127.0.0.1:{free_port()}" for _ in range(2)]
    listeners = open_early_listeners(write_settings(tmp_path, *addresses))
    host, _, port = addresses[0].partition(":")
    with socket.create_connection((host, int(port))), listeners.readiness:
        listeners.callers.setblocking(True)
        accepted, _ = listeners.callers.accept()
        with accepted, listeners.callers:
            assert accepted.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
            limit = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            assert limit == early_listeners.CALLER_SILENCE_MS


def test_a_node_waits_for_an_old_process_that_uses_its_address(tmp_path: Path) -> None:
    old = socket.create_server(("127.0.0.1", 0))
    callers = f"127.0.0.1:{old.getsockname()[1]}"
    path = write_settings(tmp_path, callers, f"127.0.0.1:{free_port()}")
    opened: list[early_listeners.EarlyListeners] = []
    starting = threading.Thread(target=lambda: opened.append(open_early_listeners(path)))
    starting.start()
    time.sleep(5 * early_listeners.ADDRESS_RETRY_SECONDS)
    assert not opened
    old.close()
    starting.join()
    assert opened[0].callers.getsockname()[1] == int(callers.partition(":")[2])
    opened[0].callers.close()
    opened[0].readiness.close()


@pytest.mark.parametrize(
    "text", ["[listen", "[listen]\ncallers = 'x'", "[listen]\ncallers = 'x'\nreadiness = 'y'"]
)
def test_settings_that_name_no_address_are_a_clear_error(tmp_path: Path, text: str) -> None:
    path = tmp_path / "node.toml"
    path.write_text(text)
    with pytest.raises(SettingsError):
        open_early_listeners(path)


def test_the_gate_holds_requests_for_a_bounded_time_only() -> None:
    scheduler = Scheduler()
    waiting = scheduler.spawn(scheduler.new_loop(), StartGate().wait_for_first_read())
    scheduler.run_until(FIRST_READ_WAIT_SECONDS / 2)
    assert not waiting.done()
    scheduler.run_until(FIRST_READ_WAIT_SECONDS * 1.1)
    assert waiting.done()
    scheduler.close()


def test_the_gate_opens_for_waiting_requests() -> None:
    gate = StartGate()
    scheduler = Scheduler()
    waiting = scheduler.spawn(scheduler.new_loop(), gate.wait_for_first_read())
    scheduler.at(FIRST_READ_WAIT_SECONDS / 4, gate.open)
    scheduler.run_until(FIRST_READ_WAIT_SECONDS / 2)
    assert waiting.done()
    scheduler.close()


def test_prompts_wait_until_the_contents_of_all_holders_are_known() -> None:
    # Guards against placing prompts before the caches are known (seen in zamudio-reg scale-2, seed
    # 7: 60 prompts right after a start of all nodes).
    gate = StartGate()
    scheduler = Scheduler()
    loop = scheduler.new_loop()
    prompt = scheduler.spawn(loop, gate.wait_for_caches())
    other = scheduler.spawn(loop, gate.wait_for_first_read())
    gate.open()
    scheduler.run_until(CACHES_WAIT_SECONDS / 4)
    assert other.done() and not prompt.done()
    gate.mark_cache_known("i-1")
    gate.expect_caches(["i-1", "i-2"])
    scheduler.run_until(CACHES_WAIT_SECONDS / 2)
    assert not prompt.done()
    gate.mark_cache_known("i-2")
    gate.expect_caches(["i-1", "i-2"])
    scheduler.run_until(CACHES_WAIT_SECONDS * 0.6)
    assert prompt.done()
    scheduler.close()


def test_prompts_wait_for_holders_for_a_bounded_time_only() -> None:
    gate = StartGate()
    scheduler = Scheduler()
    gate.open()
    prompt = scheduler.spawn(scheduler.new_loop(), gate.wait_for_caches())
    scheduler.run_until(CACHES_WAIT_SECONDS * 1.1)
    assert prompt.done()
    later = scheduler.spawn(scheduler.new_loop(), gate.wait_for_caches())
    scheduler.run_until(scheduler.now + 0.001)
    assert later.done()
    scheduler.close()


def test_start_times_return_the_phases() -> None:
    times = StartTimes(entered_at=10.0, listening_at=10.05, loaded_at=10.3)
    assert times.phases(10.4) == {"listening": 0.05, "loaded": 0.3, "started": 0.4}


def test_a_request_that_arrives_while_a_node_loads_its_libraries_is_served(tmp_path: Path) -> None:
    async def main() -> None:
        async with deployment(tmp_path) as running:
            await running.add_runner("i-1")
            node = running.launch("node-1")
            answer = await running.call_when_listening(node, "/safe/x")
            assert (answer.status, answer.body) == (200, b"i-1:body")
            started = next(line for line in node.log() if line["message"] == "started")
            assert started["listening_seconds"] < started["loaded_seconds"]

    asyncio.run(main())
