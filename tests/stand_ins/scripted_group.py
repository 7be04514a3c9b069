"""An owners' group whose answers a test controls, with one host in it."""

import asyncio
from collections import abc
import typing

from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.pools import group_members
from chervillead.pools import owner_eligibility
from chervillead.pools import owner_role
from chervillead.pools import ownership
from chervillead.pools import ports as ports_module
from chervillead.store import interface as store_interface
from stand_ins import virtual_time

PARTITION = 3
OWN_ADDRESS = types.Address("10.9.0.1", 7000)
CALL_S = 0.004


class ScriptedGroup:
    """One host's membership, which never expires.

    Attributes:
        owners: The listed owners.
        is_leave_failing: Whether calls that leave aren't executed and fail.
        join_s: Duration of a call that joins; it is executed at its end.
        join_failure: Verdict on calls that join; None if they are answered.
        calls: Calls about the membership that were executed, in order.
        attempted_leaves: Number of calls that leave, executed or not.
        tokens: Tokens of the owners of the partition, in order.
        ownership: The host's ownership.
    """

    def __init__(self, cores: float) -> None:
        self.owners: set[owner_eligibility.Candidate] = set()
        self.is_leave_failing = False
        self.join_s = CALL_S
        self.join_failure: verdicts.Verdict | None = None
        self.calls: list[str] = []
        self.attempted_leaves = 0
        self.tokens: list[typing.Any] = []
        self._generation = 0
        self._highest_epoch = 0
        self._partition_end = 0
        self._is_member = False
        self._boot_time = asyncio.get_running_loop().time
        member = group_members.Member(OWN_ADDRESS, "a", "host", "zone", cores)
        self.ownership = ownership.Ownership(
            member,
            self._owner_ports(),
            self._boot_time,
            _wait_until_cancelled,
            owner_role.OwnerRole(
                member.candidate,
                owner_role.RolePorts(
                    lambda: self.owners, 24, self._boot_time, self._log
                ),
            ),
        )

    @property
    def is_member(self) -> bool:
        """Whether the host is a member."""
        return self._is_member

    def list_larger_owners(self) -> None:
        """Lists two owners of two cores."""
        self.owners = {
            owner_eligibility.Candidate(types.Address(host, 7000), 2.0)
            for host in ("10.1.0.1", "10.1.0.2")
        }

    def change(self) -> None:
        """Changes the group, as when another member joins or leaves."""
        self._generation += 1

    def open_elsewhere(self) -> None:
        """Opens the partition as another host to which it was assigned."""
        self._generation += 1
        self._highest_epoch = self._generation * ownership.EPOCHS_PER_GENERATION
        self._partition_end += 1

    async def _append(
        self,
        topic: str,
        partition: int,
        records: abc.Sequence[store_interface.KeyedRecord],
        producer: store_interface.Producer,
    ) -> typing.Any:
        await asyncio.sleep(CALL_S)
        if producer.epoch < self._highest_epoch:
            return result.Failure(
                store_interface.StoreFailure(
                    verdicts.Verdict.NOT_RUN,
                    "409",
                    store_interface.RejectionReason.FENCED,
                )
            )
        self._highest_epoch = producer.epoch
        self._partition_end += len(records)
        return result.Success(self._partition_end)

    async def _join(self, *call: object) -> typing.Any:
        await asyncio.sleep(self.join_s)
        if self.join_failure is not None:
            return result.Failure(
                store_interface.StoreFailure(self.join_failure, "no answer")
            )
        if not self._is_member:
            self._generation += 1
            self.calls.append("join")
        self._is_member = True
        return result.Success(
            store_interface.Membership(self._generation, frozenset({PARTITION}))
        )

    async def _leave(self, *call: object) -> typing.Any:
        self.attempted_leaves += 1
        await asyncio.sleep(CALL_S)
        if self.is_leave_failing:
            return result.Failure(
                store_interface.StoreFailure(
                    verdicts.Verdict.MAY_HAVE_RUN, "no reply"
                )
            )
        self.calls.append("leave")
        self._is_member = False
        return result.Success(None)

    def _log(self, message_type: str, **fields: object) -> None:
        if message_type == "owner:gained":
            self.tokens.append(fields["token"])

    def _owner_ports(self) -> ports_module.OwnerPorts:
        return ports_module.OwnerPorts(
            store=store_interface.Store(
                append=self._append,
                read=_answer_with(store_interface.ReadPage((), 0, 0)),
                read_latest=_answer_with(store_interface.LatestRecords((), 0)),
                join=self._join,
                leave=self._leave,
                owners=_answer_with({}),
            ),
            open_worker=_open_no_worker,
            clock=virtual_time.clock(),
            limits=ports_module.Limits(),
            configuration=lambda: None,
            zones_out=frozenset,
            is_current=lambda: True,
            log=self._log,
            increment=_ignore,
            observe=_ignore,
            call_owner=None,
        )


def _ignore(*values: object) -> None:
    pass


def _open_no_worker(*values: object) -> typing.NoReturn:
    raise AssertionError("no worker is listed")


def _answer_with(value: object) -> abc.Callable[..., typing.Any]:
    async def answer(*call: object) -> typing.Any:
        await asyncio.sleep(CALL_S)
        return result.Success(value)

    return answer


async def _wait_until_cancelled(owner: object) -> None:
    await asyncio.Event().wait()
