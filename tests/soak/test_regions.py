"""The soak's link between two regions: its traffic and the addresses that the store returns."""

from __future__ import annotations

import asyncio
import base64
import socket
import time
from pathlib import Path

from tests.fleet.builders import APPLICATION
from tests.processes.fault_proxy import FaultProxy
from tests.soak.regions import ONE_WAY_LATENCY_SECONDS, DatagramFront, Regions, translate
from tests.soak.system import SystemUnderTest

SILENCE_SECONDS = 0.3
# More tries than there are ended runners whose end the node may not have detected yet.
TRIES = 20


def test_a_store_returns_the_addresses_of_the_link() -> None:
    value = base64.b64encode(b'{"address":"127.0.0.1:7"}').decode()
    body = f'{{"items":[{{"key":"k","value":"{value}"}}],"at":3}}'.encode()
    seen = translate(body, lambda text: text[::-1])
    assert seen == f'{{"items": [{{"key": "k", "value": "{value[::-1]}"}}], "at": 3}}'.encode()
    assert translate(b'{"at":3}', lambda text: "") == b'{"at":3}'


def test_datagrams_are_delayed_and_a_cut_drops_them() -> None:
    async def play(receiver: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        receiver.setblocking(False)
        receiver.bind(("127.0.0.1", 0))
        front = DatagramFront()
        await front.open()
        front.forward_to(f"127.0.0.1:{receiver.getsockname()[1]}")
        host, _, port = front.address.partition(":")
        began_at = time.monotonic()
        receiver.sendto(b"a", (host, int(port)))
        assert await loop.sock_recv(receiver, 10) == b"a"
        assert time.monotonic() - began_at >= ONE_WAY_LATENCY_SECONDS
        front.is_cut = True
        receiver.sendto(b"b", (host, int(port)))
        await asyncio.sleep(SILENCE_SECONDS)
        front.is_cut = False
        receiver.sendto(b"c", (host, int(port)))
        assert await loop.sock_recv(receiver, 10) == b"c"
        front.close()

    with socket.socket(type=socket.SOCK_DGRAM) as receiver:
        asyncio.run(play(receiver))


def test_the_link_works_again_when_the_last_of_two_cuts_ends() -> None:
    async def play(regions: Regions) -> list[bool]:
        await regions.add_node("node-1", "zone-a", "127.0.0.1:7")
        front = regions._nodes["node-1"]
        states = []
        with regions.cut():
            with regions.cut():
                states.append(front.is_cut)
            states.append(front.is_cut)
        states.append(front.is_cut)
        regions.close()
        return states

    proxy = FaultProxy()
    try:
        assert asyncio.run(play(Regions(proxy))) == [True, True, False]
    finally:
        proxy.close()


def test_nodes_reach_runners_of_the_other_region_through_the_link(tmp_path: Path) -> None:
    async def play() -> None:
        system = SystemUnderTest(tmp_path, 2, has_regions=True)
        try:
            await system.start()
            node = system.node("node-1")
            for runner in system.runners_of(APPLICATION):
                if runner.zone == system._zone_of(node.name):
                    system.end_runner(runner.runner_id)
            # Each try has its own path: a request under which two runners end counts as fatal.
            calls = (system.deployment.call(node, f"/safe/{number}") for number in range(TRIES))
            answers = [await call for call in calls]
            answer = answers[-1]
            assert answer.status == 200
            ran_at = answer.body.decode().partition(":")[0]
            assert system.deployment.runners[ran_at].zone != system._zone_of(node.name)
            assert system.proxy.states[f"link to {ran_at}"].connections
        finally:
            await system.close()

    asyncio.run(play())
