"""A complete deployment in virtual time.

The nodes run the daemon's production code; network, platform and back ends are simulated.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from random import Random

from starlette.types import ASGIApp

from hillstack.config.bundle import Bundle, Keyset
from hillstack.config.settings import RouterSettings
from hillstack.config.signing import SignedBundle, public_key_of, sign
from hillstack.core.cache_index import CacheIndex
from hillstack.core.fleet import Fleet
from hillstack.daemon.key_value import Put
from hillstack.daemon.node import Node
from hillstack.daemon.ports import Environment
from hillstack.etcd.bundle_store import HEAD_KEY, Head, bundle_key
from hillstack.gateway.app import make_app
from hillstack.messages.types import BackendKind, Machine
from hillstack.simulation.asgi import AsgiCall, AsgiReply, run_asgi
from hillstack.simulation.environment import EPOCH, SimCacheEvents, SimEnvironment
from hillstack.simulation.history import Adopt, History
from hillstack.simulation.network import SimNetwork, SimProcess
from hillstack.simulation.services import (
    BLOCK_TOKENS,
    Services,
    SimApplication,
    SimEngine,
    SimPlatform,
)
from hillstack.simulation.virtual_loop import Scheduler

ZONES = ("zone-a", "zone-b", "zone-c")
PARTNERS = ("alpha", "beta")
TENANTS = ("tenant-a", "tenant-b")
MODEL = "model"
MAX_CLOCK_SKEW_SECONDS = 0.5
CLIENT_ZONE = "clients"
PLATFORM_ZONE = "platform"


@dataclass(frozen=True, slots=True)
class ClusterSize:
    """Number of simulated processes of each kind."""

    routers_per_zone: int = 1
    engines: int = 3
    applications: int = 3


class RecordingNode(Node):
    """A node that records each bundle it adopts in the history."""

    def __init__(
        self,
        settings: RouterSettings,
        environment: Environment,
        fleet: Fleet,
        index: CacheIndex,
        history: History,
    ) -> None:
        super().__init__(settings, environment, fleet, index)
        self._history = history

    def _on_bundle(self) -> None:
        super()._on_bundle()
        current = self.adopter.current
        assert current is not None
        self._history.add(
            Adopt(
                self.clock(),
                self.settings.node.id,
                self.started,
                current.bundle.version,
                current.digest,
            )
        )


@dataclass(slots=True)
class SimRouter:
    """A simulated router: one process with an address for peers and an address for callers."""

    node: Node
    peers: SimProcess
    callers: SimProcess
    app: ASGIApp


class Partners:
    """The partners' signing keys, drawn from the seed."""

    def __init__(self, rng: Random) -> None:
        self._private = {name: rng.randbytes(32).hex() for name in PARTNERS}
        public = {name: public_key_of(key) for name, key in self._private.items()}
        self.keyset = Keyset(version=1, threshold=len(PARTNERS), keys=public)

    def sign(self, bundle: Bundle) -> SignedBundle:
        """Return the bundle signed by all partners."""
        unsigned = SignedBundle(payload=bundle.canonical().decode())
        content = unsigned.signed_bytes()
        signatures = tuple(sign(content, name, key) for name, key in self._private.items())
        return unsigned.model_copy(update={"signatures": signatures})


@dataclass(slots=True)
class SimCluster:
    """Routers, back ends, platform and clients.

    Args:
        seed: Seed of all random draws.
        event_loss: Share of cache event batches lost.
    """

    seed: int
    size: ClusterSize = ClusterSize()
    rng: Random = field(init=False)
    scheduler: Scheduler = field(init=False)
    network: SimNetwork = field(init=False)
    history: History = field(init=False)
    partners: Partners = field(init=False)
    services: Services = field(init=False)
    routers: dict[str, SimRouter] = field(init=False)
    clients: SimProcess = field(init=False)
    event_loss: float = 0.0
    _engine_starts: int = field(default=0, init=False)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.scheduler = Scheduler()
        self.network = SimNetwork(self.scheduler, Random(self.rng.getrandbits(64)))
        self.history = History()
        self.partners = Partners(self.rng)
        self.routers = {}
        self.clients = self._process("clients", CLIENT_ZONE, "10.9.0.1:1")
        platform = self._process("platform", PLATFORM_ZONE, "10.9.0.2:1")
        self.services = Services(SimPlatform(platform, Random(self.rng.getrandbits(64))))
        for number in range(self.size.engines):
            self.start_engine(number)
        for number in range(self.size.applications):
            self._start_application(number)
        self._install_first_bundle()
        for name in self.router_names():
            self.start_router(name)

    def router_names(self) -> list[str]:
        """Return the names of all routers, running or not."""
        return [
            f"router-{zone}-{number}"
            for zone in ZONES
            for number in range(self.size.routers_per_zone)
        ]

    def start_router(self, name: str) -> None:
        """Start a router process without any state."""
        zone, _ = name.removeprefix("router-").rsplit("-", 1)
        peers = self._process(name, zone, _peer_address(name))
        callers = SimProcess(f"{name}-http", zone, _caller_address(name), peers.loop)
        self.network.register(callers)
        index = CacheIndex()
        rng = Random(self.rng.getrandbits(64))
        events = SimCacheEvents(
            peers, self.network, index, self.services.engines, rng, self.event_loss
        )
        skew = Random(f"{self.seed}:{name}").uniform(-1, 1) * MAX_CLOCK_SKEW_SECONDS
        environment = SimEnvironment(peers, self.network, self.services.platform, events, rng, skew)
        node = RecordingNode(self._settings(name, zone), environment, Fleet(), index, self.history)
        app = make_app(node)
        callers.on_call = lambda call, _: run_asgi(app, call)
        self.routers[name] = SimRouter(node, peers, callers, app)
        self.scheduler.spawn(peers.loop, node.start())

    def kill_router(self, name: str) -> None:
        """Kill a router process without a shutdown."""
        router = self.routers[name]
        self.network.kill(router.peers)
        self.network.kill(router.callers)

    def start_engine(self, number: int) -> None:
        """Start an engine with an empty cache, as a new incarnation."""
        name = f"engine-{number}"
        zone = ZONES[number % len(ZONES)]
        process = self._process(name, zone, f"10.2.0.{number + 1}:1")
        self._engine_starts += 1
        rng = Random(self.rng.getrandbits(64))
        engine = SimEngine(process, self.history, rng, f"life-{self._engine_starts}")
        self.services.engines[name] = engine
        machine = Machine(
            name, BackendKind.ENGINE, "engines", zone, process.address, "10.2.1.1:1", "10.2.1.1:2"
        )
        self.services.platform.machines[name] = machine

    def crash_engine(self, number: int) -> None:
        """Kill an engine process without a shutdown."""
        self.network.kill(self.services.engines[f"engine-{number}"].process)

    def run_until(self, end: float) -> None:
        """Advance virtual time to ``end``."""
        self.scheduler.run_until(end)

    async def http(self, router: str, call: AsgiCall) -> AsgiReply:
        """Send a caller's request to a router and return the answer.

        Raises:
            ConnectionRefused: The router is down.
            ConnectionBroken: The router was killed before it answered.
        """
        reply = await self.network.call(self.clients, _caller_address(router), call)
        assert isinstance(reply, AsgiReply)
        return reply

    def wall_clock(self) -> float:
        """Return the clients' wall clock."""
        return EPOCH + self.scheduler.now

    def _start_application(self, number: int) -> None:
        name = f"application-{number}"
        zone = ZONES[number % len(ZONES)]
        process = self._process(name, zone, f"10.3.0.{number + 1}:1")
        rng = Random(self.rng.getrandbits(64))
        self.services.applications[name] = SimApplication(process, self.history, rng)
        self.services.platform.machines[name] = Machine(
            name, BackendKind.APPLICATION, "applications", zone, process.address
        )

    def _process(self, name: str, zone: str, address: str) -> SimProcess:
        process = SimProcess(name, zone, address, self.scheduler.new_loop())
        self.network.register(process)
        return process

    def _install_first_bundle(self) -> None:
        bundle = first_bundle()
        signed = self.partners.sign(bundle)
        puts = [
            Put(HEAD_KEY, Head(bundle.version, bundle.digest()).to_json()),
            Put(bundle_key(bundle.version), signed.model_dump_json().encode()),
        ]
        self.services.platform.transact([], puts)

    def _settings(self, name: str, zone: str) -> RouterSettings:
        seeds = [_peer_address(other) for other in self.router_names() if other != name]
        return RouterSettings.model_validate(
            {
                "node": {"id": name, "region": "region", "zone": zone},
                "listen": {"callers": _caller_address(name), "peers": _peer_address(name)},
                "peers": {"seeds": seeds, "key": "0" * 64},
                "platform": {"key_value": ["10.9.0.2:1"], "machine_list": "10.9.0.2:1"},
                "trust": self.partners.keyset.model_dump(),
            }
        )


def tenant_token(tenant: str) -> str:
    """Return a tenant's bearer token."""
    return f"token-{tenant}"


def first_bundle() -> Bundle:
    """Return the bundle in force when the simulation starts."""
    applications, engines = "applications", "engines"
    route = {"pool": applications, "path": "/bookings", "timeout_seconds": 4.0}
    return Bundle.model_validate(
        {
            "version": 1,
            "deployment": "simulation",
            "zones": ZONES,
            "block_tokens": BLOCK_TOKENS,
            "partners": [{"name": name, "share": 1.0} for name in PARTNERS],
            "tenants": [
                {
                    "name": tenant,
                    "partner": partner,
                    "key_hash": hashlib.sha256(tenant_token(tenant).encode()).hexdigest(),
                }
                for tenant, partner in zip(TENANTS, PARTNERS, strict=True)
            ],
            "models": [{"name": MODEL, "pool": engines, "weights_version": 1}],
            "pools": [
                {"name": engines, "kind": "engine"},
                {"name": applications, "kind": "application"},
            ],
            "priorities": [{"name": "normal", "level": 10}],
            "routes": [
                route
                | {"name": "book", "method": "POST", "repeatable": False, "priority": "normal"},
                route
                | {"name": "look-up", "method": "GET", "repeatable": True, "priority": "normal"},
            ],
        }
    )


def _router_number(name: str) -> int:
    zone, number = name.removeprefix("router-").rsplit("-", 1)
    return 10 * ZONES.index(zone) + int(number) + 1


def _peer_address(name: str) -> str:
    return f"10.1.0.{_router_number(name)}:7100"


def _caller_address(name: str) -> str:
    return f"10.1.0.{_router_number(name)}:8100"
