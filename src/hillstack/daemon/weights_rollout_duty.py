"""The duty of bringing new weights to the runners: carried by the node that holds its lease."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random

from hillstack.core.runner_pool import Runner
from hillstack.core.weights_rollout import RolloutPlan, RolloutView
from hillstack.daemon.duty_keeper import AcquireSlot, LeaseKeeper
from hillstack.daemon.duty_lease import DutyLease
from hillstack.daemon.peer_exchange import PeerExchange
from hillstack.daemon.weights_orders import OrderOutcome, OrderSender, WeightsOrder
from hillstack.errors import BackendError, RunnerRestartedError
from hillstack.logs import error_fields
from hillstack.messages.peer_notices import WeightsNotice, WeightsPhase
from hillstack.serving.fleet_state import FleetState

logger = logging.getLogger(__name__)

# How late a load begins that could begin: a tenth of a load.
TICK_SECONDS = 0.05
# A datagram's way to all peers and the sends under way: until then requests still arrive.
ANNOUNCE_SECONDS = 0.03
# Less than half of what a runner counts as loading after one word.
REANNOUNCE_SECONDS = 0.3
# The longest prefills seen ahead of a load took 1.2 s (docs/DECISIONS.md).
PREFILL_WAIT_SECONDS = 1.2
# Two loads: a runner whose weights are due sooner is not waited for.
DUE_MARGIN_SECONDS = 2.0
# Between two reports, which are 0.1 to 0.3 s old themselves.
POLL_SECONDS = 0.12
# Several loads' time: a runner that takes longer is left for a later try.
LOAD_LIMIT_SECONDS = 6.0
# A report tells of an order only that much later, by the platform's word.
REPORT_LAG_SECONDS = 0.3
# A runner that was not reached is tried again after that.
REST_SECONDS = 0.5
# Until loads were seen: a wait, a load and a report, chosen on the slow side.
INITIAL_LOAD_SECONDS = 1.3
# Weight of the latest load: the last five count most.
LOAD_SMOOTHING = 0.2


class WeightsRolloutDuty:
    """Gives orders for weights while the lease is held.

    Args:
        state: What the node knows.
        lease: The lease on the duty.
        sender: Talks to runners.
        peers: Where peers are told.
        turn_seconds: Time that must lie between the orders of two holders.
        clock: Monotonic seconds.
        rng: Source of randomness.
    """

    def __init__(
        self,
        state: FleetState,
        lease: DutyLease,
        sender: OrderSender,
        peers: PeerExchange,
        turn_seconds: float,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._state = state
        self._lease = lease
        self._sender = sender
        self._peers = peers
        self._turn = turn_seconds
        self._clock = clock
        self._rng = rng
        self._started_at = clock()
        self._held = asyncio.Event()
        self._orders_taken: dict[str, int] = {}
        self._loading: dict[str, asyncio.Task[None]] = {}
        self._resting_until: dict[str, float] = {}
        self._load_seconds = INITIAL_LOAD_SECONDS
        self._plans: dict[str, RolloutPlan] = {}
        slot = AcquireSlot(state, self._is_free, clock, rng)
        self._keeper = LeaseKeeper(lease, slot, self._note_held)

    async def keep_lease(self) -> None:
        """Renew the lease, or try to get it while nobody holds it, until cancelled."""
        await self._keeper.run()

    async def run(self) -> None:
        """Give orders while the lease is held, until cancelled."""
        while True:
            # All nodes but one wait here: a look each tick was 20 of 75 timers a second.
            await self._held.wait()
            await asyncio.sleep(TICK_SECONDS)
            # A node that has just started does not know whom others have ordered lately.
            if self._lease.fence() is not None and self._clock() >= self._started_at + self._turn:
                self._begin_loads()

    def stop_acquiring(self) -> None:
        """Leave the duty to others from now on, unless it is held already."""
        self._keeper.stop_acquiring()

    async def hand_over(self) -> None:
        """Give the duty up before a planned stop."""
        self._keeper.stop_acquiring()
        for task in list(self._loading.values()):
            task.cancel()
        await self._keeper.hand_over()

    def _is_free(self) -> bool:
        return self._state.duty_known and self._state.duty_holder is None

    def _note_held(self, held: bool) -> None:
        if held is self._held.is_set():
            return
        if held:
            self._held.set()
            self._state.duty_holder = self._state.node_id
        else:
            self._held.clear()
        fields = {"fence": self._lease.fence()}
        logger.info("duty lease held" if held else "duty lease lost", extra=fields)

    def _begin_loads(self) -> None:
        now = self._clock()
        resting = {runner for runner, until in self._resting_until.items() if now < until}
        resting.update(
            runner.runner_id
            for runner in self._state.pool.all()
            if now < runner.peer_ordered_at + self._turn
        )
        for model in self._state.versions.models():
            runners = [
                runner
                for service in self._state.engine_services(model)
                for runner in self._state.pool.of_service(service)
            ]
            view = RolloutView(runners, self._loading, resting, self._load_seconds, now)
            plan = self._plans.setdefault(model, RolloutPlan(model, self._state.versions))
            for runner in plan.next_loads(view):
                self._begin(runner, model)

    def _begin(self, runner: Runner, model: str) -> None:
        task = asyncio.create_task(self._load(runner, model))
        self._loading[runner.runner_id] = task
        task.add_done_callback(lambda _: self._loading.pop(runner.runner_id, None))

    async def _load(self, runner: Runner, model: str) -> None:
        """Bring one runner to the newest version, or leave it for a later try."""
        began_at = self._clock()
        limit = began_at + LOAD_LIMIT_SECONDS
        fields: dict[str, object] = {
            "runner": runner.runner_id,
            "version": self._state.versions.newest(model),
            "running": runner.running(began_at),
            "long_running": runner.long_running(began_at),
            "loading": len(self._loading),
        }
        logger.info("runner taken out to load weights", extra=fields)
        await self._let_prefills_end(runner, model)
        try:
            while self._may_go_on(runner, limit):
                version = self._state.versions.newest(model)
                if await self._advance(runner, model, version):
                    self._announce(runner, model, version, WeightsPhase.SERVED)
                    seconds = self._clock() - began_at
                    self._load_seconds += LOAD_SMOOTHING * (seconds - self._load_seconds)
                    return
                self._announce(runner, model, version, WeightsPhase.LOADING)
        except RunnerRestartedError:
            self._state.note_restarted(runner, self._clock())
            self._peers.restarted(runner.runner_id)
        except BackendError as error:
            logger.warning(
                "runner not reached", extra=error_fields(error) | {"runner": runner.runner_id}
            )
            self._state.pool.failed(runner, self._clock())
            self._resting_until[runner.runner_id] = self._clock() + REST_SECONDS

    async def _let_prefills_end(self, runner: Runner, model: str) -> None:
        """Keep new requests away from a runner until those that it has have begun.

        A load takes out the requests that have not begun, and what was read of them is read again
        elsewhere. The wait is bounded, and shorter when newer weights are due soon.
        """
        versions = self._state.versions
        due = versions.deadline(model, runner.weights_version(model)) - DUE_MARGIN_SECONDS
        gives_up_at = min(self._clock() + PREFILL_WAIT_SECONDS, due)
        wait = ANNOUNCE_SECONDS
        while wait > 0:
            self._announce(runner, model, versions.newest(model), WeightsPhase.LOADING)
            await asyncio.sleep(max(ANNOUNCE_SECONDS, min(wait, REANNOUNCE_SECONDS)))
            now = self._clock()
            wait = min(runner.prefill_wait(now), gives_up_at - now)

    def _may_go_on(self, runner: Runner, limit: float) -> bool:
        if runner.leaves or self._lease.fence() is None:
            return False
        return self._clock() < limit

    async def _advance(self, runner: Runner, model: str, version: int) -> bool:
        """Look at a runner and order it if it is idle; return whether it serves the version."""
        if runner.weights_version(model) >= version:
            return True
        report = await self._sender.report(runner.runner_id, runner.address)
        if report.weights.get(model, 0) >= version:
            return True
        fence = self._lease.fence()
        if not report.busy and fence is not None:
            expected = max(report.orders_taken, self._orders_taken.get(runner.runner_id, 0))
            await self._order(runner, model, version, fence, expected)
        await asyncio.sleep(POLL_SECONDS)
        return False

    async def _order(
        self, runner: Runner, model: str, version: int, fence: int, expected: int
    ) -> None:
        order = WeightsOrder(
            runner.runner_id,
            runner.address,
            model,
            version,
            self._state.node_id,
            fence,
            expected,
        )
        try:
            outcome = await self._sender.order_weights(order)
        except BackendError as error:
            # It may have been taken, or may be carried out later: the next report tells, and the
            # expected number of orders lets at most one of both take effect.
            fields = error_fields(error) | {"runner": runner.runner_id, "version": version}
            logger.warning("order without an answer", extra=fields)
            return
        self._take_outcome(runner, order, outcome)
        # The report tells of the order only after its lag.
        await asyncio.sleep(REPORT_LAG_SECONDS)

    def _take_outcome(self, runner: Runner, order: WeightsOrder, outcome: OrderOutcome) -> None:
        fields = {
            "runner": runner.runner_id,
            "version": order.version,
            "fence": order.fence,
            "expected": order.expected_orders,
            "outcome": outcome,
        }
        logger.info("order answered", extra=fields)
        match outcome:
            case OrderOutcome.TAKEN:
                self._orders_taken[runner.runner_id] = order.expected_orders + 1
            case OrderOutcome.CONFLICT:
                self._orders_taken.pop(runner.runner_id, None)
            case OrderOutcome.OTHER_INSTANCE:
                self._state.pool.note_leaving(runner)
            case OrderOutcome.FENCED:
                self._lease.lose()
            case _:
                pass

    def _announce(self, runner: Runner, model: str, version: int, phase: WeightsPhase) -> None:
        now = self._clock()
        if phase is WeightsPhase.LOADING:
            self._state.pool.note_loading(runner, model, version, now)
        elif self._state.pool.observe_weights(runner, model, version):
            fields = {"runner": runner.runner_id, "version": version, "source": "report"}
            logger.info("weights served", extra=fields)
        self._peers.weights(WeightsNotice(runner.runner_id, model, version, phase))
