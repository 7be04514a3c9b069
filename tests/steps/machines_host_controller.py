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


class FakeHostService:
    """Accepts maintenance commands and records their hosts."""

    def __init__(self):
        self.begun = []
        self.unanswered = 0

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
    wave = interface.Wave(WAVE, tuple(context.names), 30.0, cap, context.now_s)

    async def append(topic, partition, records, producer):
        del topic, partition, records, producer
        return (
            result.Success(0)
            if context.accepts_records
            else result.Failure(None)
        )

    clock = types.Clock(lambda: context.now_s, lambda: context.now_s)
    context.controller = host_controller.HostController(
        standard_types.SimpleNamespace(
            token=7,
            has_authority=lambda: True,
            log=lambda *args, **fields: None,
        ),
        interface.HostServiceClient(
            None, context.service.begin_maintenance, None
        ),
        host_controller.FleetPorts(lambda: {WAVE: wave}, tuple, frozenset),
        standard_types.SimpleNamespace(
            store=standard_types.SimpleNamespace(append=append),
            clock=clock,
            limits=ports_module.Limits(),
        ),
    )


@behave.when("{seconds:d} s pass for the host controller")
def step(context, seconds):
    context.now_s += seconds


@behave.when("the next command gets no response")
def step(context):
    context.service.unanswered = 1


@behave.when("the store rejects all records")
def step(context):
    context.accepts_records = False


def request_maintenance(context, names):
    async def request():
        await asyncio.gather(
            *(
                context.controller.serve(
                    host_messages.BeginMaintenance(name, WAVE)
                )
                for name in names
            )
        )

    asyncio.run(request())


@behave.when("maintenance of all hosts is requested")
def step(context):
    request_maintenance(context, context.names)


@behave.when("maintenance of all other hosts is requested")
def step(context):
    request_maintenance(context, context.names[1:])


@behave.then("{hosts:d} hosts begin maintenance")
@behave.then("{hosts:d} hosts have begun maintenance")
def step(context, hosts):
    assert len(context.service.begun) == hosts, context.service.begun
