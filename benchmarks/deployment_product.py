"""The product's decisions on the deployment model."""

from benchmarks import deployment_model
from chervillead import types
from chervillead.entries import dispatcher as dispatcher_module
from chervillead.entries import messages
from chervillead.fleet import borrowing_controller
from chervillead.fleet import budgets
from chervillead.fleet import configuration as configuration_module
from chervillead.fleet import demand
from chervillead.fleet import drain_steps
from chervillead.fleet import fold_hosts
from chervillead.fleet import host_borrowing
from chervillead.fleet import host_list
from chervillead.fleet import host_monitor
from chervillead.fleet import log_client
from chervillead.fleet import pool_moves
from chervillead.fleet import rollouts

RETRY_S = 0.5


class ProductDispatch:
    """The real dispatchers of all zones, and entry hosts that ask them."""

    def __init__(self, world: deployment_model.World) -> None:
        self._world = world
        self._waits: dict[str, tuple[deployment_model.Work, set[str]]] = {}
        clock = types.Clock(lambda: world.now_s, lambda: world.now_s)
        self._zones = {
            zone: dispatcher_module.Dispatcher(
                host=zone,
                zone=zone,
                configuration=lambda: world.configuration,
                clock=clock,
                notify=lambda peer, message, z=zone: self._take(z, message),  # type: ignore[misc]
            )
            for zone in deployment_model.ZONES
        }
        world.every(0.25, self._tick)

    def submit(self, work: deployment_model.Work) -> None:
        """Registers a request with its own zone, then with the freest one."""
        if self._world.now_s > work.submitted_s + deployment_model.DEADLINE_S:
            self._world.refuse(work)
            return
        self._waits[str(work.number)] = (work, set())
        if not self._register(work, work.zone):
            others = [z for z in self._zones if z != work.zone]
            free = {z: self._zones[z].free_slots()[work.queue] for z in others}
            self._register(work, max(others, key=free.__getitem__))
        if (
            str(work.number) in self._waits
            and not (self._waits[str(work.number)][1])
        ):
            self._retry(work)

    def _retry(self, work: deployment_model.Work) -> None:
        del self._waits[str(work.number)]
        at_s = self._world.now_s + RETRY_S
        self._world.at(at_s, lambda: self.submit(work))

    def _register(self, work: deployment_model.Work, zone: str) -> bool:
        """Registers with one zone; returns whether it granted a slot."""
        left_s = work.submitted_s + deployment_model.DEADLINE_S
        reply = self._zones[zone].register(
            work.zone,
            messages.Register(
                str(work.number),
                work.queue,
                work.team,
                types.Size(),
                int((left_s - self._world.now_s) * 1000),
                0,
            ),
        )
        if isinstance(reply, messages.Waiting):
            self._waits[str(work.number)][1].add(zone)
        elif isinstance(reply, messages.Granted):
            self._take(zone, reply)
        return isinstance(reply, messages.Granted)

    def _take(self, zone: str, message: messages.Message) -> None:
        if isinstance(message, messages.Granted):
            self._start(zone, message)
        elif isinstance(message, messages.Refused):
            work, zones = self._waits.get(message.request_id, (None, set()))
            zones.discard(zone)
            if work is not None and not zones:
                self._retry(work)

    def _start(self, zone: str, granted: messages.Granted) -> None:
        known = self._waits.pop(granted.request_id, None)
        if known is None:
            unused = messages.Release(granted.grant_id, False, False, 0)
            self._world.at(
                self._world.now_s, lambda: self._zones[zone].release(unused)
            )
            return
        work, zones = known
        withdrawal = messages.Withdraw(granted.request_id)
        for other in zones - {zone}:
            self._world.at(
                self._world.now_s + self._world.deployment.delay_s,
                lambda z=other: self._zones[z].withdraw(withdrawal),  # type: ignore[misc]
            )
        used = messages.Release(
            granted.grant_id, True, False, int(work.run_s * 1000)
        )
        self._world.start(
            work,
            granted.upstream.name,
            lambda: self._zones[zone].release(used),
        )

    def _tick(self) -> None:
        for part in self._zones.values():
            part.grant_waiting()


class ProductMaintenance:
    """Rollouts, moves and the borrowing controller, each second."""

    def __init__(self, world: deployment_model.World) -> None:
        self._world = world
        self._monitor = host_monitor.HostMonitor()
        self._versions: dict[str, int] = {}
        self._demands: dict[str, demand.PoolDemand] = {}
        self.borrowed_host_s = 0.0
        self.rolled_out_s = float("inf")
        world.every(1.0, self._tick)

    def _tick(self) -> None:
        world = self._world
        for name in sorted(world.configuration.hosts):
            if budgets.is_in_maintenance(world.configuration, name):
                self._advance(name)
        for reason, rollout in rollouts.active_rollouts(
            world.configuration
        ).items():
            self._roll_out(reason, rollout.pool)
        self._borrow()

    def _advance(self, name: str) -> None:
        world, now_s = self._world, self._world.now_s
        state = world.configuration
        running = None if world.is_down(name) else len(world.running[name])
        self._monitor.track_record(name, self._versions[name], now_s)
        self._monitor.record_observation(
            name, host_list.UNKNOWN, running, now_s
        )
        conditions = self._monitor.conditions(name, now_s)
        if budgets.is_moving(state, name):
            move = pool_moves.next_move(state, name, conditions)
            if move is not None:
                self._apply_move(name, move)
            return
        step = drain_steps.next_step(state, name, conditions)
        is_held = step.action is drain_steps.Action.HOLD
        self._monitor.set_condition(name, "held", now_s, is_held)
        if step.action is drain_steps.Action.REBOOT:
            done = world.reboot(name)
            self._monitor.record_reboot(
                name,
                log_client.RebootState.DONE
                if done
                else log_client.RebootState.REBOOTING,
                now_s,
            )
        elif step.drain is not None:
            self._apply_drain(name, step.drain)

    def _roll_out(self, reason: str, pool: str) -> None:
        world = self._world
        soaking = self._monitor.returned_within(drain_steps.SOAK_S, world.now_s)
        running = {
            name: len(tasks)
            for name, tasks in world.running.items()
            if not world.is_down(name)
        }
        drain = configuration_module.Drain(
            configuration_module.DrainState.GRANTED, reason
        )
        for name in rollouts.choose_wave(
            world.configuration, reason, running=running, soaking=soaking
        ):
            world.task_moves += running[name]
            self._apply_drain(name, drain)
        done = rollouts.returned_hosts(world.configuration)
        if len(done) == deployment_model.HOSTS:
            self.rolled_out_s = min(self.rolled_out_s, world.now_s)

    def _borrow(self) -> None:
        world = self._world
        samples = {
            queue: borrowing_controller.QueueSample(
                sum(place.waiting.values()),
                sum(place.running.values()),
                deployment_model.RUN_S,
            )
            for queue, place in world.places.items()
        }
        loads = borrowing_controller.pool_loads(world.configuration, samples)
        self._demands = {
            pool: demand.update_demand(self._demands.get(pool), load, 1.0)
            for pool, load in loads.items()
        }
        running = {n: len(tasks) for n, tasks in world.running.items()}
        leaving = configuration_module.MoveState.LEAVING
        for move in host_borrowing.choose_moves(
            world.configuration, self._demands, running
        ):
            world.task_moves += running[move.host]
            self._apply_move(
                move.host, configuration_module.Move(move.to_pool, leaving)
            )
        spare = world.deployment.services[-1]
        self.borrowed_host_s += sum(
            name.rpartition("-")[0] == spare
            and (
                host.pool != spare
                or budgets.is_moving(world.configuration, name)
            )
            for name, host in world.configuration.hosts.items()
        )

    def _apply_drain(
        self, name: str, drain: configuration_module.Drain
    ) -> None:
        world = self._world
        world.configuration = fold_hosts.apply_drain(
            world.configuration, name, drain
        ).value_or(world.configuration)
        self._versions[name] = self._versions.get(name, 0) + 1
        if drain.state is configuration_module.DrainState.RETURNED:
            self._monitor.record_return(name, world.now_s)

    def _apply_move(self, name: str, move: configuration_module.Move) -> None:
        world = self._world
        world.configuration = fold_hosts.apply_move(
            world.configuration, name, move
        ).value_or(world.configuration)
        self._versions[name] = self._versions.get(name, 0) + 1
