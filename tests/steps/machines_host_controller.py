"""Steps of tests/machines/host_controller.feature."""

import asyncio
import types as standard_types

import behave
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.entries import host_messages
from chervillead.jobs import model
from chervillead.machines import host_controller
from chervillead.machines import interface
from chervillead.pools import ports as ports_module
from chervillead.store import interface as store_interface

WAVE = 1
OWNER_TOKEN = 5


class FakeHostService:
    """Accepts maintenance commands and records their hosts."""

    def __init__(self):
        self.begun = []
        self.moved = []
        self.unanswered = 0

    async def list_hosts(self):
        """Returns four hosts, each with a worker."""
        return result.Success(
            tuple(
                interface.Host(
                    f"m-{number}",
                    "billing",
                    interface.HostState.UP,
                    "zone-a",
                    frozenset(),
                    model.Resources(),
                    f"i-{number}",
                )
                for number in range(4)
            )
        )

    async def move(self, host, pool, token):
        """Records a move."""
        del token
        self.moved.append((host, pool))
        return result.Success(None)

    async def begin_maintenance(self, host, wave, token):
        """Succeeds, or fails as if there was no response."""
        del wave, token
        if self.unanswered:
            self.unanswered -= 1
            return result.Failure(
                interface.HostCallFailure(
                    verdicts.Verdict.MAY_HAVE_RUN, "no response"
                )
            )
        self.begun.append(host)
        return result.Success(None)


@behave.given(
    "a wave over {hosts:d} hosts with a cap of {cap:d} and a new host "
    "controller"
)
def step(context, hosts, cap):
    context.now_s = 100.0
    context.names = [f"m-{number}" for number in range(hosts)]
    context.service = FakeHostService()
    context.accepts_records = True
    context.is_suspended_in_append = False
    context.replaced_in_append = False
    context.previous_commands = {}
    context.has_authority = True
    wave = interface.Wave(WAVE, tuple(context.names), 30.0, cap, context.now_s)

    async def append(topic, partition, records, producer):
        del topic, partition, records, producer
        if context.is_suspended_in_append:
            context.has_authority = False
        if context.replaced_in_append:
            await context.controller.serve(next_owner_report())
        return (
            result.Success(0)
            if context.accepts_records
            else result.Failure(None)
        )

    async def read_latest(topic, partition):
        del topic, partition
        if context.previous_commands is None:
            return result.Failure(None)
        return result.Success(
            store_interface.LatestRecords(
                tuple(
                    store_interface.KeyedRecord(name, value)
                    for name, value in context.previous_commands.items()
                ),
                0,
            )
        )

    clock = types.Clock(lambda: context.now_s, lambda: context.now_s)
    context.controller = host_controller.HostController(
        standard_types.SimpleNamespace(
            token=7,
            has_authority=lambda: context.has_authority,
            log=lambda *args, **fields: None,
        ),
        interface.HostServiceClient(
            context.service.list_hosts,
            context.service.begin_maintenance,
            context.service.move,
        ),
        host_controller.FleetPorts(
            lambda: {WAVE: wave}, lambda: ("portal",), frozenset
        ),
        standard_types.SimpleNamespace(
            store=standard_types.SimpleNamespace(
                append=append, read_latest=read_latest
            ),
            clock=clock,
            limits=ports_module.Limits(),
        ),
    )


@behave.given("the previous owner has just sent commands to {count:d} hosts")
@behave.given("the previous owner has just sent commands to {count:d} host")
def step(context, count):
    just_now = str(int(1000 * context.now_s) - 100).encode()
    context.previous_commands = dict.fromkeys(context.names[:count], just_now)


@behave.given("the store can't tell the previous owner's commands")
def step(context):
    context.previous_commands = None


@behave.then("none of them got a command from the previous owner")
def step(context):
    assert not set(context.service.begun) & set(context.previous_commands)


@behave.when("{seconds:d} s pass for the host controller")
def step(context, seconds):
    context.now_s += seconds


@behave.when("the next command gets no response")
def step(context):
    context.service.unanswered = 1


@behave.when("the host is suspended while the next record is stored")
def step(context):
    context.is_suspended_in_append = True


def next_owner_report():
    return host_messages.ReportLoad(
        "billing", OWNER_TOKEN + 1, 4, 0, 3, 3, 3, 3, term=0, accounted=0
    )


@behave.when("the next owner of the pool has reported its load")
def step(context):
    reply = asyncio.run(context.controller.serve(next_owner_report()))
    assert not reply.reason, reply


@behave.when("a pool releases a host")
def step(context):
    context.reply = asyncio.run(
        context.controller.serve(
            host_messages.TurnOffHost("i-0", "billing", OWNER_TOKEN)
        )
    )


@behave.then("{hosts:d} host is moved")
def step(context, hosts):
    assert len(context.service.moved) == hosts, context.service.moved


@behave.then("the pool is told that nothing was done")
def step(context):
    assert context.reply.reason and not context.reply.may_have_run, (
        context.reply
    )


@behave.when("the store rejects all records")
def step(context):
    context.accepts_records = False


def request_maintenance(context, names, drained=None):
    async def request():
        await asyncio.gather(
            *(
                context.controller.serve(
                    host_messages.BeginMaintenance(
                        name,
                        WAVE,
                        drained or name.replace("m-", "i-"),
                        "billing",
                        OWNER_TOKEN,
                    )
                )
                for name in names
            )
        )

    asyncio.run(request())


@behave.when("maintenance of all hosts is requested")
def step(context):
    request_maintenance(context, context.names)


@behave.when("maintenance is requested for workers that ran there before")
def step(context):
    request_maintenance(context, context.names, drained="i-before")


@behave.when("the next owner reports its load while the next record is stored")
def step(context):
    context.replaced_in_append = True


@behave.when("maintenance of all other hosts is requested")
def step(context):
    request_maintenance(context, context.names[1:])


@behave.then("{hosts:d} hosts begin maintenance")
@behave.then("{hosts:d} hosts have begun maintenance")
def step(context, hosts):
    assert len(context.service.begun) == hosts, context.service.begun
