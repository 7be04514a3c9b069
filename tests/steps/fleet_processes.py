"""Steps of tests/fleet_processes.feature."""

import asyncio
import pathlib
import shutil
import socket
import tempfile

import behave

from stand_ins import free_ports
from stand_ins import local_fleet

PLAN = local_fleet.FleetPlan(
    entry_hosts=2, upstreams_per_queue=1, zones=local_fleet.ZONES[:2]
)


@behave.given("a block of {count:d} reserved ports")
def step(context, count):
    context.ports = free_ports.reserve_ports(count)
    context.add_cleanup(context.ports.release)
    context.count = count


@behave.when("another run tries to reserve the same ports")
def step(context):
    base = context.ports.base
    context.blocks = [
        free_ports.bind_ports(port, 1)
        for port in range(base, base + context.count)
    ]


@behave.then("none of them is free")
def step(context):
    assert context.blocks == [None] * context.count, context.blocks


@behave.then("a server of the run that reserved them can listen on each")
def step(context):
    base = context.ports.base
    for port in range(base, base + context.count):
        socket.create_server((free_ports.LOOPBACK, port)).close()


@behave.given(
    'a small fleet whose entry host finds its "{setting}" port in use'
)
def step(context, setting):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="fleet-processes-"))
    context.add_cleanup(shutil.rmtree, folder)
    context.folder = folder
    context.setting = setting


@behave.when("the fleet starts")
def step(context):
    plan = PLAN
    ports = free_ports.reserve_ports(plan.port_count)
    context.add_cleanup(ports.release)
    plan = plan._replace(base_port=ports.base)
    addresses = {
        "callers": plan.callers_address(1),
        "entries": plan.entries_address(1),
    }
    context.address = addresses[context.setting]
    context.add_cleanup(socket.create_server(context.address).close)
    fleet = local_fleet.start_fleet(plan, context.folder, ports)
    context.add_cleanup(local_fleet.stop_fleet, fleet)
    try:
        asyncio.run(local_fleet.wait_until_ready(fleet))
    except local_fleet.ProcessEndedError as error:
        context.error = str(error)
    else:
        context.error = "the fleet is ready"


@behave.then("the start fails at once with the host's name and exit status 4")
def step(context):
    expected = f"{PLAN.entry_name(1)} ended with status 4 "
    assert context.error.startswith(expected), context.error


@behave.then('its last log line names the "{setting}" address')
def step(context, setting):
    line = context.error.splitlines()[-1]
    assert "daemon:cannot-listen" in line, context.error
    assert "{}:{}".format(*context.address) in line, context.error
    assert f'"setting":"{setting}"' in line.replace(" ", ""), context.error
