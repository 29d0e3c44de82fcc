"""Soaks that run side by side on a machine never use each other's addresses.

Guards against a request that a runner ran although no caller of its soak had sent it: the port of a
runner that had ended was given to a runner of another soak, and the first one's nodes sent there.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import re
from pathlib import Path

from tests.processes.own_hosts import HOSTS_PER_NET, own_host
from tests.soak.system import SystemUnderTest

NODES = 6
HOST = re.compile(r"127\.\d+\.\d+\.\d+")


def test_processes_share_no_host() -> None:
    processes = (1, 2, 250, 251, 4_000, 62_499)
    hosts = [{own_host(number, each) for number in range(HOSTS_PER_NET)} for each in processes]
    assert all(first.isdisjoint(second) for first, second in itertools.combinations(hosts, 2))
    assert all(len(each) == HOSTS_PER_NET for each in hosts)
    assert own_host() not in ("127.0.0.1", own_host(1))


def test_all_addresses_of_a_soak_are_on_its_own_hosts(tmp_path: Path) -> None:
    async def addresses() -> list[str]:
        system = SystemUnderTest(tmp_path, NODES, has_regions=True)
        await system.start()
        try:
            nodes = [system.node(name) for name in system.node_names()]
            listened = [f"{node.callers} {node.readiness}" for node in nodes]
            items = system.deployment.store.copy().items.values()
            stored = [base64.b64decode(item.value or "").decode() for item in items]
            return [*listened, *stored]
        finally:
            await system.close()

    found = {host for address in asyncio.run(addresses()) for host in HOST.findall(address)}
    assert found == {own_host(number) for number in range(NODES + 1)}
