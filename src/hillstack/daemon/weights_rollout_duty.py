"""The duty of rolling out new weights to the runners, performed by the node with its lease."""

from __future__ import annotations

import asyncio
import functools
import logging
from collections.abc import Callable
from random import Random

from hillstack.core.runner_pool import Runner
from hillstack.core.weights_rollout import WeightsLoadPlan, WeightsLoadView
from hillstack.daemon.background_tasks import has_failed
from hillstack.daemon.duty_lease import DutyLease
from hillstack.daemon.duty_progress import DutyProgress
from hillstack.daemon.lease_renewer import AcquireSlot, Candidacy, LeaseRenewer
from hillstack.daemon.peer_exchange import PeerExchange
from hillstack.daemon.weights_orders import OrderOutcome, OrderPaths, OrderSender, WeightsOrder
from hillstack.errors import BackendError, RunnerRestartedError
from hillstack.logs import error_fields
from hillstack.messages.peer_notices import WeightsNotice, WeightsPhase
from hillstack.serving.fleet_state import FleetState

logger = logging.getLogger(__name__)

# Interval of the check for loads that can begin: a tenth of the time that a load takes at the
# runner (0.5 s).
TICK_SECONDS = 0.05
# Time for a datagram to reach all peers and for sends in progress; until then requests still
# arrive.
ANNOUNCE_SECONDS = 0.03
# Less than half of the time for which peers treat a runner as loading after one notice.
REANNOUNCE_SECONDS = 0.3
# The longest prefills observed before a load took 1.2 s (docs/DECISIONS.md).
PREFILL_WAIT_SECONDS = 1.2
# The duration of two loads, each of about 1 s with its wait and report. If a runner's weights are
# due sooner, its prefills are not waited for.
DUE_MARGIN_SECONDS = 2.0
# Interval between two report calls; the reports are 0.1 to 0.3 s old.
POLL_SECONDS = 0.12
# The duration of several loads with their waits and reports. A runner that takes longer is tried
# again later.
LOAD_LIMIT_SECONDS = 6.0
# By the platform's specification, a report shows an order only after this delay.
REPORT_LAG_SECONDS = 0.3
# Pause before an unreachable runner is tried again.
UNREACHABLE_PAUSE_SECONDS = 0.5
# Initial estimate of the duration of a load, including the wait and the report; longer than usual.
INITIAL_LOAD_SECONDS = 1.3
# Weight of the latest load in the moving average of durations: the last five loads dominate.
LOAD_SMOOTHING = 0.2
# How much later than its turn a node tries to acquire the duty while it does not reach a runner
# that other nodes reach: the turns of four nodes.
UNREACHED_DELAY_SECONDS = 2.0


class WeightsRolloutDuty:
    """Orders runners to load new weights while the lease is held.

    Runners tell holders apart by the machine from which an order arrives. All orders with one fence
    therefore leave from one node: ``sender`` opens direct connections only, and a holder that does
    not reach a runner gives up the duty, so that another node orders the runner with a new fence.

    Args:
        state: The node's view of the fleet.
        lease: The lease on the duty.
        sender: Sends orders and report calls to runners over this node's own connections.
        paths: Knows which runners this node reaches.
        peers: Sends notices to the peers.
        holder_gap_seconds: How long this node leaves a runner alone after another holder has
            announced a load on it, and how long it does not acquire the duty after its own start.
        clock: Monotonic seconds.
        rng: Source of randomness.
    """

    def __init__(
        self,
        state: FleetState,
        lease: DutyLease,
        sender: OrderSender,
        paths: OrderPaths,
        peers: PeerExchange,
        holder_gap_seconds: float,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._state = state
        self._lease = lease
        self._sender = sender
        self._paths = paths
        self._peers = peers
        self._other_holder_wait = holder_gap_seconds
        self._clock = clock
        self._rng = rng
        self._started_at = clock()
        self._held = asyncio.Event()
        self._orders_taken: dict[str, int] = {}
        self._loading: dict[str, asyncio.Task[None]] = {}
        # Runners that have been ordered in the load that is in progress.
        self._ordered: set[str] = set()
        self._paused_until: dict[str, float] = {}
        self._load_seconds = INITIAL_LOAD_SECONDS
        self._plans: dict[str, WeightsLoadPlan] = {}
        self._progress = DutyProgress(clock)
        self._gave_up_at = float("-inf")
        candidacy = Candidacy(
            self._is_free, lambda: state.duty_holder, self._may_order_from, self._acquire_delay
        )
        slot = AcquireSlot(state, candidacy, clock, rng)
        self._lease_renewer = LeaseRenewer(lease, slot, self._note_held)

    async def maintain_lease(self) -> None:
        """Renew the lease, or try to acquire it while nobody holds it, until cancelled."""
        await self._lease_renewer.run()

    async def run(self) -> None:
        """Give orders while the lease is held, until cancelled."""
        while True:
            # All nodes but the holder wait here. Checking in each tick instead took 20 of a node's
            # 75 timers a second.
            await self._held.wait()
            await asyncio.sleep(TICK_SECONDS)
            if self._lease.fence() is not None and self._clock() >= self._may_order_from():
                await self._work()

    def stop_acquiring(self) -> None:
        """Stop trying to acquire the duty; a lease that is already held is still renewed."""
        self._lease_renewer.stop_acquiring()

    async def release_on_stop(self) -> None:
        """Cancel the loads in progress and release the duty before a planned stop."""
        self._lease_renewer.stop_acquiring()
        for task in list(self._loading.values()):
            task.cancel()
        await self._lease_renewer.release_on_stop()

    def _may_order_from(self) -> float:
        """Return from when this node may order.

        A node that has just started does not know the latest orders of other holders. A node that
        has given the duty up leaves it to others for as long.
        """
        return max(self._started_at, self._gave_up_at) + self._other_holder_wait

    def _is_free(self) -> bool:
        return self._state.duty_known and self._state.duty_holder is None

    def _acquire_delay(self) -> float:
        """Return how long this node lets nodes go first that reach more runners."""
        reaches_all = not any(map(self._is_unreached, self._engine_runners()))
        return 0.0 if reaches_all else UNREACHED_DELAY_SECONDS

    def _is_unreached(self, runner: Runner) -> bool:
        return not runner.is_leaving and self._paths.is_lost(runner.address)

    def _engine_runners(self) -> list[Runner]:
        models = self._state.versions.models()
        return [runner for model in models for runner in self._runners_of(model)]

    def _runners_of(self, model: str) -> list[Runner]:
        return [
            runner
            for service in self._state.engine_services(model)
            for runner in self._state.pool.of_service(service)
        ]

    def _note_held(self, held: bool) -> None:
        if held is self._held.is_set():
            return
        if held:
            self._held.set()
            self._progress.begin()
            self._state.duty_holder = self._state.node_id
        else:
            self._held.clear()
        fields = {"fence": self._lease.fence()}
        logger.info("duty lease held" if held else "duty lease lost", extra=fields)

    async def _work(self) -> None:
        """Start the loads that are due, or give up the duty if another node should do that."""
        due = self._due_runners()
        unreached = [runner.runner_id for runner in due if self._is_unreached(runner)]
        self._progress.observe(has_work=bool(due), unreached=unreached)
        if not self._other_nodes():
            self._start_loads()
        elif self._progress.is_stalled():
            await self._give_up("no order takes effect")
        elif not self._progress.lacks_reach():
            self._start_loads()
        elif not self._loading:
            await self._give_up("a runner is reached only by other nodes")

    async def _give_up(self, cause: str) -> None:
        """Release the duty, and leave it to the other nodes for a while."""
        logger.warning("duty given up", extra={"cause": cause, "fence": self._lease.fence()})
        self._gave_up_at = self._clock()
        await self._lease_renewer.release()
        self._note_held(False)

    def _due_runners(self) -> list[Runner]:
        """Return the runners that should load a version and may be ordered by this node now."""
        now = self._clock()
        return [
            runner
            for model in self._state.versions.models()
            for runner in self._plan(model).due_runners(self._runners_of(model), now)
            if not self._is_left_to_other_holder(runner, now)
        ]

    def _is_left_to_other_holder(self, runner: Runner, now: float) -> bool:
        """Return whether another holder may have ordered a runner a short time ago."""
        return now < runner.peer_ordered_at + self._other_holder_wait

    def _start_loads(self) -> None:
        now = self._clock()
        paused = {runner for runner, until in self._paused_until.items() if now < until}
        paused.update(
            runner.runner_id
            for runner in self._state.pool.all()
            if self._is_left_to_other_holder(runner, now) or self._is_unreached(runner)
        )
        for model in self._state.versions.models():
            runners = self._runners_of(model)
            view = WeightsLoadView(runners, self._loading, paused, self._load_seconds, now)
            for runner in self._plan(model).next_loads(view):
                self._start_load(runner, model)

    def _plan(self, model: str) -> WeightsLoadPlan:
        plan = self._plans.get(model)
        if plan is None:
            all_nodes_know = functools.partial(self._is_known_to_all, model)
            plan = self._plans[model] = WeightsLoadPlan(model, self._state.versions, all_nodes_know)
        return plan

    def _is_known_to_all(self, model: str, version: int) -> bool:
        """Return whether all other nodes have reported that they know a version."""
        return self._state.announcement_receipts.all_know(self._other_nodes(), model, version)

    def _other_nodes(self) -> list[str]:
        """Return the listed nodes except for this one."""
        order = self._state.nodes.relay_order(None)
        return [node_id for node_id in order if node_id != self._state.node_id]

    def _start_load(self, runner: Runner, model: str) -> None:
        task = asyncio.create_task(self._load(runner, model))
        self._loading[runner.runner_id] = task
        task.add_done_callback(lambda ended: self._end_load(runner.runner_id, ended))

    def _end_load(self, runner_id: str, task: asyncio.Task[None]) -> None:
        self._loading.pop(runner_id, None)
        self._ordered.discard(runner_id)
        if has_failed(task, {"task": "weights_load", "runner": runner_id}):
            self._paused_until[runner_id] = self._clock() + UNREACHABLE_PAUSE_SECONDS

    async def _load(self, runner: Runner, model: str) -> None:
        """Order one runner to load the newest version, until it serves it or the attempt fails."""
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
        await self._wait_for_prefills(runner, model)
        try:
            while self._may_continue(runner, limit):
                version = self._state.versions.newest(model)
                served = await self._advance(runner, model, version)
                if served is not None:
                    self._progress.note_progress()
                    self._announce(runner, model, served, WeightsPhase.SERVED)
                    seconds = self._clock() - began_at
                    self._load_seconds += LOAD_SMOOTHING * (seconds - self._load_seconds)
                    return
                self._announce(runner, model, version, WeightsPhase.LOADING)
        except RunnerRestartedError:
            self._state.note_restarted(runner, self._clock())
            self._peers.restarted(runner.runner_id)
        except BackendError as error:
            logger.warning(
                "could not load weights: runner not reachable",
                extra=error_fields(error) | {"runner": runner.runner_id},
            )
            self._paused_until[runner.runner_id] = self._clock() + UNREACHABLE_PAUSE_SECONDS
            await self._suspect(runner)

    async def _suspect(self, runner: Runner) -> None:
        """Suspect a runner that did not answer, unless only the path to it is lost."""
        check = self._paths.check(runner.address, "weights order failed")
        if check is not None:
            await check
        if not self._is_unreached(runner):
            self._state.pool.failed(runner, self._clock())

    async def _wait_for_prefills(self, runner: Runner, model: str) -> None:
        """Keep new requests away from a runner until its current prefills are done.

        A load evicts the requests that are still in their prefill, and another runner has to repeat
        the prefill. The wait is bounded, and shorter if newer weights are due soon.
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

    def _may_continue(self, runner: Runner, limit: float) -> bool:
        if runner.is_leaving or self._lease.fence() is None:
            return False
        return self._clock() < limit

    async def _advance(self, runner: Runner, model: str, version: int) -> int | None:
        """Poll a runner and send an order if it is idle.

        Returns:
            The version that the runner serves if it needs no order now: the given one, or one that
            it has just loaded and that other nodes may not know to be superseded. Else None.
        """
        known = runner.weights_version(model)
        if known >= version:
            return known
        report = await self._sender.report(runner.runner_id, runner.address)
        served = report.weights.get(model, 0)
        if served >= version:
            return served
        if served > known and not self._plan(model).is_due(served, self._clock()):
            return served
        if report.busy:
            self._progress.note_progress()
        fence = self._lease.fence()
        if not report.busy and fence is not None:
            expected = max(report.orders_taken, self._orders_taken.get(runner.runner_id, 0))
            await self._order(runner, model, version, fence, expected)
        await asyncio.sleep(POLL_SECONDS)
        return None

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
        # Other holders leave the runner alone from before the order can take effect.
        self._ordered.add(runner.runner_id)
        self._announce(runner, model, version, WeightsPhase.LOADING)
        try:
            outcome = await self._sender.order_weights(order)
        except BackendError as error:
            # The runner may have accepted the order, or may execute it later. The next report shows
            # which; the expected number of orders lets at most one of this order and the next take
            # effect.
            fields = error_fields(error) | {"runner": runner.runner_id, "version": version}
            logger.warning("weights order without an answer", extra=fields)
            return
        self._apply_outcome(runner, order, outcome)
        # The report shows the order only after this delay.
        await asyncio.sleep(REPORT_LAG_SECONDS)

    def _apply_outcome(self, runner: Runner, order: WeightsOrder, outcome: OrderOutcome) -> None:
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
                self._progress.note_progress()
            case OrderOutcome.CONFLICT:
                self._orders_taken.pop(runner.runner_id, None)
            case OrderOutcome.OTHER_INSTANCE:
                self._state.pool.note_leaving(runner)
            case OrderOutcome.FENCED:
                self._lease.invalidate()
            case _:
                pass

    def _announce(self, runner: Runner, model: str, version: int, phase: WeightsPhase) -> None:
        now = self._clock()
        if phase is WeightsPhase.LOADING:
            self._state.pool.note_loading(runner, model, version, now)
        elif self._state.pool.observe_weights(runner, model, version):
            fields = {"runner": runner.runner_id, "version": version, "source": "report"}
            logger.info("weights served", extra=fields)
        is_ordered = runner.runner_id in self._ordered
        notice = WeightsNotice(runner.runner_id, model, version, phase, is_ordered)
        self._peers.weights(notice)
