"""The partitions that this host owns, by its membership in a store group.

A host is a member while its role is that of an owner. It owns a partition from
the join reply that assigned it until its membership has not been renewed for
the time to live. The generation in the reply is the fencing token: it rises
with every rebalance, so a later owner always has a higher one.

A partition that stays listed in another generation may have been another host's
in between: the store may reassign all partitions at once, and back. Its owner
opens it again under an epoch of the new generation, which shuts such a host
out, and reloads it if one has opened it before. Otherwise nobody else has
sent a command to the partition's workers, so the token stays as it was.
"""

import asyncio
from collections import abc
import typing

from returns import pipeline

from chervillead.pools import group_members
from chervillead.pools import job_recorder
from chervillead.pools import owner_role
from chervillead.pools import owner_state
from chervillead.pools import ownership_checks
from chervillead.pools import partition_owner
from chervillead.pools import pool_partitions
from chervillead.pools import ports as ports_module
from chervillead.pools import renewal_requests
from chervillead.pools import takeover
from chervillead.store import group_commit
from chervillead.store import interface as store_interface

# A shorter time speeds up failover; a longer one survives pauses of the store.
MEMBERSHIP_TTL_S = 2.5
RENEWAL_INTERVAL_S = 0.5
# Delay before the next attempt after a failed call about the membership.
MEMBERSHIP_RETRY_S = 0.15
# How often a host that stands by looks at the list of owners.
STANDBY_INTERVAL_S = 0.25
# An owner that restarts in one generation takes a higher epoch, since an
# append of its predecessor may still be executed.
EPOCHS_PER_GENERATION = 4096

_NOT_A_MEMBER = store_interface.RejectionReason.NOT_A_MEMBER


# Runs alongside an owner for as long as it owns its partition.
RunWithOwner = abc.Callable[
    [partition_owner.PartitionOwner],
    abc.Coroutine[typing.Any, typing.Any, None],
]


class Ownership:
    """Follows the group membership and runs an owner per partition."""

    def __init__(
        self,
        member: group_members.Member,
        ports: ports_module.OwnerPorts,
        boot_time: abc.Callable[[], float],
        run_with_owner: RunWithOwner,
        role: owner_role.OwnerRole,
    ) -> None:
        self._run_with_owner = run_with_owner
        self._role = role
        self._member = member
        self._ports = ports
        self._boot_time = boot_time
        self._generation = 0
        self._confirmed_s = float("-inf")
        self._owners: dict[int, partition_owner.PartitionOwner] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        # Tokens that must not be used again: a newer owner has fenced them, or
        # this host has given them up.
        self._spent_tokens: dict[int, int] = {}
        self._failed_partitions: set[int] = set()
        self._is_leaving = False
        # Epochs used in the present generation.
        self._used_epochs = 0
        # Whether the store may count this process as a member.
        self._may_be_member = False
        self._is_group_lost = False
        self._is_store_unavailable = False
        self._renewals = renewal_requests.RenewalRequests()
        self._on_change: abc.Callable[[], None] = lambda: None

    @property
    def member(self) -> group_members.Member:
        """This process as a member of the owners' group."""
        return self._member

    @property
    def owners(self) -> abc.Mapping[int, partition_owner.PartitionOwner]:
        """Owners of this host's partitions, by partition."""
        return self._owners

    def on_change(self, action: abc.Callable[[], None]) -> None:
        """Sets the function to call when a partition is gained or lost."""
        self._on_change = action

    def is_confirmed(self) -> bool:
        """Returns whether the membership is certain to hold now."""
        return self._boot_time() - self._confirmed_s < MEMBERSHIP_TTL_S

    def owner_of(self, partition: int) -> partition_owner.PartitionOwner | None:
        """Returns the owner of a partition, or None if it can't serve calls."""
        owner = self._owners.get(partition)
        if (
            owner is None
            or not owner.state.is_loaded
            or not owner.state.is_owner()
        ):
            return None
        return owner

    async def maintain_membership(self) -> None:
        """Joins, renews and leaves by the role; returns after `leave`."""
        await self._remove_previous_processes()
        while not self._is_leaving:
            # A host rejoins only after it has left: the same generation would
            # give it the tokens that it had before.
            if self._role.is_owner or not self._may_be_member:
                self._role.update()
            if self._role.is_owner:
                delay_s = await self._renew()
            else:
                delay_s = await self._stand_by()
            if delay_s < RENEWAL_INTERVAL_S:
                await asyncio.sleep(delay_s)
            else:
                await self._renewals.wait(RENEWAL_INTERVAL_S)

    async def leave(self) -> None:
        """Gives up all partitions and leaves the group."""
        self._is_leaving = True
        self._release_all("leaving")
        if self._may_be_member:
            await self._leave_group()

    async def _renew(self) -> float:
        """Joins or renews, and returns the delay before the next renewal."""
        number = self._renewals.begin()
        sent_s = self._boot_time()
        self._may_be_member = True
        outcome = await self._ports.store.join(
            pool_partitions.OWNERS_GROUP,
            str(self._member),
            pool_partitions.JOBS_TOPIC,
            int(1000 * MEMBERSHIP_TTL_S),
            self._generation,
        )
        if self._is_leaving:
            # A join that overlapped with leaving may have restored the
            # membership.
            await self._leave_group()
            return 0.0
        failure = None if pipeline.is_successful(outcome) else outcome.failure()
        self._is_store_unavailable = failure is not None
        self._log_group(failure)
        if failure is not None:
            return MEMBERSHIP_RETRY_S
        self._apply_membership(outcome.unwrap(), sent_s)
        for owner in self._owners.values():
            ownership_checks.apply_renewal(owner.state, number)
        return RENEWAL_INTERVAL_S

    async def _stand_by(self) -> float:
        """Leaves if needed, and returns the delay before the next look."""
        self._release_all("standing-by")
        if not self._may_be_member:
            return STANDBY_INTERVAL_S
        failure = await self._leave_group()
        self._log_group(failure)
        return STANDBY_INTERVAL_S if failure is None else MEMBERSHIP_RETRY_S

    async def _leave_group(self) -> store_interface.StoreFailure | None:
        """Leaves the group and returns why the store may not have done it."""
        outcome = await self._ports.store.leave(
            pool_partitions.OWNERS_GROUP, str(self._member)
        )
        if not pipeline.is_successful(outcome):
            failure = outcome.failure()
            if failure.rejection is not _NOT_A_MEMBER:
                return failure
        self._may_be_member = False
        return None

    def _log_group(self, failure: store_interface.StoreFailure | None) -> None:
        """Logs when the calls about the group start or stop failing."""
        if failure is not None and not self._is_group_lost:
            self._ports.log(
                "dependency:lost", name="store group", error=failure.detail
            )
        if failure is None and self._is_group_lost:
            self._ports.log("dependency:regained", name="store group")
        self._is_group_lost = failure is not None

    async def _remove_previous_processes(self) -> None:
        """Removes earlier processes at this address, which have ended."""
        outcome = await self._ports.store.owners(pool_partitions.OWNERS_GROUP)
        if not pipeline.is_successful(outcome):
            return
        for text in sorted(set(outcome.unwrap().values())):
            previous = group_members.parse_member(text)
            if (
                previous is not None
                and previous.address == self._member.address
                and previous.incarnation != self._member.incarnation
            ):
                await self._ports.store.leave(
                    pool_partitions.OWNERS_GROUP, text
                )

    def _apply_membership(
        self, membership: store_interface.Membership, sent_s: float
    ) -> None:
        generation = membership.generation
        # In the same generation no partition has changed hands.
        is_changed = generation != self._generation
        if is_changed:
            self._generation = generation
            self._used_epochs = 0
        self._confirmed_s = sent_s
        for partition in list(self._owners):
            fenced = self._tasks[partition].done()
            if fenced and partition not in self._failed_partitions:
                self._spent_tokens[partition] = self._owners[
                    partition
                ].state.token
            if fenced:
                self._release(partition, "fenced")
            elif partition not in membership.partitions:
                self._release(partition, "reassigned")
            elif is_changed:
                state = self._owners[partition].state
                is_in_use = (
                    state.is_in_use()
                    or partition == pool_partitions.HOSTS_PARTITION
                )
                state.writer.reopen(self._next_epoch(), is_idle=not is_in_use)
        self._failed_partitions.clear()
        for partition in sorted(membership.partitions):
            spent_token = self._spent_tokens.get(partition, -1)
            if partition not in self._owners and generation > spent_token:
                self._acquire(partition, generation)

    def _next_epoch(self) -> int:
        """Returns an epoch that no owner has used before."""
        number = min(self._used_epochs, EPOCHS_PER_GENERATION - 1)
        self._used_epochs += 1
        return self._generation * EPOCHS_PER_GENERATION + number

    def _acquire(self, partition: int, token: int) -> None:
        writer = group_commit.PartitionWriter(
            self._ports.store,
            pool_partitions.JOBS_TOPIC,
            partition,
            self._next_epoch(),
        )
        writer.on_refused(
            lambda record, detail: self._note_refused(partition, record, detail)
        )
        owner = partition_owner.PartitionOwner(
            partition,
            token,
            writer,
            self._ports,
            owner_state.OwnershipStatus(
                self.is_confirmed,
                lambda: self._is_store_unavailable,
                self._renewals.request,
            ),
        )
        self._owners[partition] = owner
        self._tasks[partition] = asyncio.create_task(
            self._run_owner(owner, writer)
        )
        self._ports.log("owner:gained", partition=partition, token=token)

    def _note_refused(
        self, partition: int, record: store_interface.KeyedRecord, detail: str
    ) -> None:
        """Logs and counts a record that the store never accepts."""
        kind = job_recorder.kind_of(record.key)
        self._ports.increment("chervillead_refused_records", kind)
        self._ports.log(
            "record:refused",
            partition=partition,
            kind=kind,
            key=record.key,
            record_bytes=record.size_bytes,
            error=detail,
        )

    async def _run_owner(
        self,
        owner: partition_owner.PartitionOwner,
        writer: group_commit.PartitionWriter,
    ) -> None:
        partition = owner.state.partition
        if not await takeover.load(owner, writer, self._ports):
            return
        self._on_change()
        try:
            async with asyncio.TaskGroup() as group:
                companion = group.create_task(self._run_with_owner(owner))
                await owner.run()
                companion.cancel()
        except Exception as error:
            self._failed_partitions.add(partition)
            self._ports.log(
                "owner:failed",
                partition=partition,
                token=owner.state.token,
                error=owner_state.describe_error(error),
            )
        if writer.is_outdated and self._owners.get(partition) is owner:
            self._release(partition, "interrupted")
            self._acquire(partition, self._generation)

    def _release_all(self, reason: str) -> None:
        for partition, owner in list(self._owners.items()):
            self._spent_tokens[partition] = owner.state.token
            self._release(partition, reason)

    def _release(self, partition: int, reason: str) -> None:
        owner = self._owners.pop(partition)
        self._tasks.pop(partition).cancel()
        self._ports.log(
            "owner:lost",
            partition=partition,
            token=owner.state.token,
            reason=reason,
        )
        self._on_change()
