"""Steps of tests/machines/host_controller.feature."""

import asyncio
import types as standard_types

import behave
from returns import result

from chervillead import types
from chervillead import verdicts
from chervillead.entries import host_messages
from chervillead.machines import host_controller
from chervillead.machines import interface
from chervillead.pools import ports as ports_module

WAVE = 1


class Service:
    """Answers orders for upkeep and keeps them."""

    def __init__(self):
        self.begun = []
        self.silent = 0

    async def upkeep(self, machine, wave, token):
        """Answers with success, or not at all."""
        del wave, token
        if self.silent:
            self.silent -= 1
            return result.Failure(
                interface.HostCallFailure(
                    verdicts.Verdict.MAY_HAVE_RUN, "no answer"
                )
            )
        self.begun.append(machine)
        return result.Success(None)


@behave.given(
    "a wave over {hosts:d} hosts with a cap of {cap:d} and a new owner of all "
    "hosts"
)
def step(context, hosts, cap):
    context.now_s = 100.0
    context.names = [f"m-{number}" for number in range(hosts)]
    context.service = Service()
    context.stores = True
    wave = interface.Wave(WAVE, tuple(context.names), 30.0, cap, context.now_s)

    async def append(topic, partition, records, producer):
        del topic, partition, records, producer
        return result.Success(0) if context.stores else result.Failure(None)

    clock = types.Clock(lambda: context.now_s, lambda: context.now_s)
    context.orders = host_controller.HostController(
        standard_types.SimpleNamespace(
            token=7,
            has_authority=lambda: True,
            log=lambda *args, **fields: None,
        ),
        interface.HostServiceClient(None, context.service.upkeep, None),
        host_controller.FleetPorts(lambda: {WAVE: wave}, tuple, frozenset),
        standard_types.SimpleNamespace(
            store=standard_types.SimpleNamespace(append=append),
            clock=clock,
            limits=ports_module.Limits(),
        ),
    )


@behave.when("{seconds:d} s pass for the owner of all hosts")
def step(context, seconds):
    context.now_s += seconds


@behave.when("the next order gets no answer")
def step(context):
    context.service.silent = 1


@behave.when("the store takes no records")
def step(context):
    context.stores = False


def ask_for_upkeep(context, names):
    async def ask():
        await asyncio.gather(
            *(
                context.orders.serve(host_messages.BeginMaintenance(name, WAVE))
                for name in names
            )
        )

    asyncio.run(ask())


@behave.when("upkeep of all hosts is asked for")
def step(context):
    ask_for_upkeep(context, context.names)


@behave.when("upkeep of the others is asked for")
def step(context):
    ask_for_upkeep(context, context.names[1:])


@behave.then("{hosts:d} hosts begin their upkeep")
@behave.then("{hosts:d} hosts have begun their upkeep")
def step(context, hosts):
    assert len(context.service.begun) == hosts, context.service.begun
