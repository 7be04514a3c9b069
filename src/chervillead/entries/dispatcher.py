"""The dispatcher of one zone: waiting list, slots and grants.

The state is soft: entry hosts own their requests, and a new dispatcher
rebuilds its state from what they report.
"""

import collections
from collections import abc
import itertools
import random
import typing

from chervillead import types
from chervillead.entries import messages
from chervillead.entries import slot_recovery
from chervillead.platform import configuration as configuration_module
from chervillead.upstreams import slots

START_BY_MS = 1000
LEASE_MS = 2000
MAX_RETRY_AFTER_MS = 2000
UNAVAILABLE_RETRY_MS = 1000
DOUBTFUL_S = (START_BY_MS + LEASE_MS) / 1000

Notify = abc.Callable[[str, messages.Message], object]


class WaitingRequest(typing.NamedTuple):
    """A registered request that has no slot yet."""

    entry_host: str
    register: messages.Register
    deadline_s: float


class Dispatcher:
    """Waiting list and slots of one zone."""

    def __init__(
        self,
        *,
        host: str,
        zone: str,
        configuration: abc.Callable[[], configuration_module.Configuration],
        clock: types.Clock,
        notify: Notify,
        may_grant: abc.Callable[[], bool],
    ) -> None:
        """Makes an empty dispatcher.

        Args:
            host: Name of the entry host that it runs on.
            zone: Zone whose upstreams it grants.
            configuration: Returns the newest configuration.
            clock: Source of time.
            notify: Sends a message to an entry host.
            may_grant: Whether the duty seat is active and confirmed right now.
        """
        self._host = host
        self._zone = zone
        self._configuration = configuration
        self._clock = clock
        self._notify = notify
        self._may_grant = may_grant
        self._slots = slots.SlotTable()
        self._waiting: dict[str, collections.deque[WaitingRequest]] = {}
        self._numbers = itertools.count(1)
        # A restarted host must not repeat grant ids that are still in use.
        self._prefix = f"{host}-{random.randbytes(4).hex()}"
        self._doubtful = slot_recovery.DoubtfulGrants(clock, DOUBTFUL_S)

    @property
    def slots(self) -> slots.SlotTable:
        """Slots in use."""
        return self._slots

    def register(
        self, entry_host: str, message: messages.Register
    ) -> messages.Granted | messages.Waiting | messages.Refused:
        """Grants a slot, lists the request as waiting, or refuses it."""
        if not self._may_grant():
            return _refused(
                message,
                "dispatcher-unavailable",
                503,
                f"{self._host} does not dispatch for {self._zone} at present",
                retry_after_ms=UNAVAILABLE_RETRY_MS,
            )
        configuration = self._configuration()
        queue = configuration.queues.get(message.queue)
        if queue is None:
            return _refused(message, "unknown-queue", 404, message.queue)
        upstream = self._free_upstream(configuration, queue, message)
        if upstream is not None:
            return self._grant(entry_host, message, upstream)
        waiting = self._waiting.setdefault(message.queue, collections.deque())
        if len(waiting) >= queue.max_waiting:
            return _refused(
                message,
                "queue-full",
                503,
                f"{message.queue} has {len(waiting)} waiting",
                retry_after_ms=MAX_RETRY_AFTER_MS,
            )
        deadline_s = self._clock.monotonic() + message.time_left_ms / 1000
        waiting.append(WaitingRequest(entry_host, message, deadline_s))
        return messages.Waiting(message.request_id)

    def withdraw(self, message: messages.Withdraw) -> None:
        """Takes a request off the waiting list."""
        for waiting in self._waiting.values():
            for entry in list(waiting):
                if entry.register.request_id == message.request_id:
                    waiting.remove(entry)

    def release(self, message: messages.Release) -> None:
        """Frees the slot of a grant and grants it again."""
        slot = self._slots.release(message.grant_id)
        if slot is not None:
            self.grant_waiting()

    def grant_waiting(self) -> None:
        """Grants free slots to waiting requests, first come first served."""
        if not self._may_grant():
            return
        configuration = self._configuration()
        now_s = self._clock.monotonic()
        for name, waiting in self._waiting.items():
            queue = configuration.queues.get(name)
            while waiting and queue is not None:
                entry = waiting[0]
                if entry.deadline_s <= now_s:
                    waiting.popleft()
                    continue
                upstream = self._free_upstream(
                    configuration, queue, entry.register
                )
                if upstream is None:
                    break
                waiting.popleft()
                granted = self._grant(
                    entry.entry_host, entry.register, upstream
                )
                self._notify(entry.entry_host, granted)

    def restore(self, entry_host: str, holdings: messages.Holdings) -> None:
        """Takes over what an entry host reports that it holds and waits for.

        A grant that isn't in the report may still be on its way to the entry
        host, so it becomes doubtful instead of free.
        """
        self.drop_waiting(entry_host)
        for slot in slot_recovery.held_slots(entry_host, holdings.held):
            self._slots.hold(slot)
        reported = {holding.grant_id for holding in holdings.held}
        self._doubtful.doubt(self._slots, entry_host, reported)
        now_s = self._clock.monotonic()
        for register in holdings.waiting:
            deadline_s = now_s + register.time_left_ms / 1000
            self._waiting.setdefault(
                register.queue, collections.deque()
            ).append(WaitingRequest(entry_host, register, deadline_s))
        self.grant_waiting()

    def suspect(self, entry_host: str) -> None:
        """Acts on the loss of the stream to an entry host.

        Its grants stay in use until it reports them again or they lapse.
        """
        self.drop_waiting(entry_host)
        self._doubtful.doubt(self._slots, entry_host, set())

    def drop_waiting(self, entry_host: str) -> None:
        """Takes all requests of an entry host off the waiting list."""
        for name, waiting in self._waiting.items():
            self._waiting[name] = collections.deque(
                entry for entry in waiting if entry.entry_host != entry_host
            )

    def free_lapsed(self) -> None:
        """Frees the grants that nobody has reported in time."""
        lapsed = self._doubtful.pop_lapsed()
        for grant_id in lapsed:
            self._slots.release(grant_id)
        if lapsed:
            self.grant_waiting()

    def clear(self) -> None:
        """Forgets all state, when the duty seat is lost."""
        self._slots = slots.SlotTable()
        self._waiting.clear()
        self._doubtful.clear()

    def free_slots(self) -> dict[str, int]:
        """Returns the free slots of the zone by queue."""
        configuration = self._configuration()
        free: dict[str, int] = dict.fromkeys(configuration.queues, 0)
        for name, queue in configuration.queues.items():
            for host_name, host in self._hosts(configuration, queue):
                free[name] += max(0, host.slots - self._slots.used(host_name))
        return free

    def _hosts(
        self,
        configuration: configuration_module.Configuration,
        queue: configuration_module.Queue,
    ) -> abc.Iterator[tuple[str, configuration_module.Host]]:
        for name, host in configuration.hosts.items():
            if (
                host.zone == self._zone
                and host.pool == queue.pool
                and configuration_module.host_takes_work(configuration, name)
            ):
                yield name, host

    def _free_upstream(
        self,
        configuration: configuration_module.Configuration,
        queue: configuration_module.Queue,
        message: messages.Register,
    ) -> types.Upstream | None:
        """Returns the least used upstream with a free slot, if any."""
        candidates = (
            (self._slots.used(name), name, host)
            for name, host in self._hosts(configuration, queue)
            if self._slots.used(name) < host.slots
            and slots.size_fits(message.size, host.size)
        )
        best = min(candidates, default=None, key=lambda entry: entry[:2])
        if best is None:
            return None
        _, name, host = best
        return types.Upstream(name, host.zone, host.address)

    def _grant(
        self,
        entry_host: str,
        message: messages.Register,
        upstream: types.Upstream,
    ) -> messages.Granted:
        grant_id = f"{self._prefix}.{next(self._numbers)}"
        self._slots.hold(
            slots.HeldSlot(
                grant_id,
                upstream.name,
                message.queue,
                message.team,
                entry_host,
                message.size,
            )
        )
        return messages.Granted(
            message.request_id, grant_id, upstream, START_BY_MS, LEASE_MS
        )


def _refused(
    message: messages.Register,
    reason: str,
    status: int,
    detail: str,
    *,
    retry_after_ms: int = 0,
) -> messages.Refused:
    return messages.Refused(
        message.request_id, reason, status, detail, retry_after_ms
    )
