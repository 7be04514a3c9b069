"""Steps of tests/callers/application.feature."""

import asyncio

import behave
import eliot
import msgspec

from chervillead.callers import bodies
from chervillead.callers import request_ids
from chervillead.callers import request_limiter
from stand_ins import local_fleet
from stand_ins import memory_caller
from stand_ins import memory_fleet
from stand_ins import virtual_time

PATH = f"/queues/{local_fleet.QUEUES[0]}/requests"


def run_scenario(context, scenario):
    """Runs `scenario(fleet, front ends of two hosts)` and collects the log."""

    async def main():
        plan = local_fleet.FleetPlan(upstreams_per_queue=4)
        fleet = memory_fleet.MemoryFleet(plan, seed=context.seed)
        await fleet.start()
        front_ends = [
            memory_caller.FrontEnd(fleet.hosts[name])
            for name in ("entry-a0", "entry-b0")
        ]
        for front_end in front_ends:
            await front_end.start()
        await scenario(fleet, front_ends)
        context.reserved_bytes = [
            front_end.ports.limiter.held_bytes for front_end in front_ends
        ]
        await fleet.stop()
        context.executed_ids = [r.request_id for r in fleet.executions()]

    context.log = []
    eliot.add_destinations(context.log.append)
    try:
        virtual_time.run_virtual(main(), context.seed)
    finally:
        eliot.remove_destination(context.log.append)


def id_header():
    """Returns the header of a new request id whose claim is in zone c."""
    wall_s = virtual_time.clock().wall()
    return f"chervillead-request-id: {request_ids.new_request_id(wall_s, 2)}"


async def run_beside_other(context, front_end, invalid):
    """Awaits an invalid request while another caller's request runs."""
    other = asyncio.ensure_future(
        memory_caller.call(
            front_end, "POST", PATH, headers=(id_header(),), body=b"run=1"
        )
    )
    await asyncio.sleep(0.1)
    context.response = await invalid
    context.other_response = await other


@behave.when('a caller sends "{header}" while another caller\'s request runs')
def step(context, header):
    async def scenario(_, front_ends):
        lines = tuple(header.split(","))
        if header.startswith("chervillead") or "content" in header:
            lines += (id_header(),) if "-id:" not in header else ()
        invalid = memory_caller.call(front_ends[0], "POST", PATH, headers=lines)
        await run_beside_other(context, front_ends[0], invalid)

    run_scenario(context, scenario)


async def send_slowly(caller, parts):
    """Sends one of `parts` per second."""
    for part in parts:
        caller.send(part)
        await asyncio.sleep(1.0)


async def misuse_connection(front_end, misuse):
    """Returns the response to one kind of misuse of a connection."""
    caller = front_end.connect()
    head = memory_caller.encode(
        "POST",
        PATH,
        headers=(id_header(), "content-length: 50"),
    )
    chunked = memory_caller.encode(
        "POST", PATH, headers=(id_header(), "transfer-encoding: chunked")
    )
    match misuse:
        case "a slow head":
            await send_slowly(caller, (head[i : i + 1] for i in range(8)))
        case "too many headers":
            caller.send(head[:-4] + b"\r\nx: 1" * 100 + b"\r\n\r\n")
        case "an endless header":
            caller.send(head[:-4] + b"\r\nx: ")
            for _ in range(100):
                caller.send(b"y" * 1024)
        case "a slow body":
            await send_slowly(caller, (head, *(b"x" for _ in range(12))))
        case "an endless chunked body":
            caller.send(chunked)
            for _ in range(40):
                caller.send(b"10000\r\n" + b"x" * 65536 + b"\r\n")
                await asyncio.sleep(0.001)
        case "bytes that are not HTTP":
            caller.send(b"\x16\x03\x01\x02\x00\r\n\r\n")
        case "an invalid address":
            caller.send(head.replace(PATH.encode(), b"http:///x"))
        case "a malformed key":
            caller.send(head.replace(b"Bearer key", b"Bearer\xff"))
        case "an unknown queue":
            caller.send(head.replace(b"door-open", b"other"))
        case "an unknown path":
            caller.send(head.replace(b"/queues", b"/other"))
    return await caller.receive()


@behave.when("a caller misuses its connection with {misuse}")
def step(context, misuse):
    async def scenario(_, front_ends):
        invalid = misuse_connection(front_ends[0], misuse)
        await run_beside_other(context, front_ends[0], invalid)

    run_scenario(context, scenario)


@behave.when("a caller disconnects in the middle of its request body")
def step(context):
    async def scenario(_, front_ends):
        caller = front_ends[0].connect()
        head = memory_caller.encode(
            "POST", PATH, headers=(id_header(), "content-length: 50")
        )
        caller.send(head + b"run=0")
        await asyncio.sleep(0.1)
        caller.disconnect()
        await asyncio.sleep(1.0)

    run_scenario(context, scenario)


@behave.when("a caller sends malformed bytes after a request that is running")
def step(context):
    async def scenario(_, front_ends):
        caller = front_ends[0].connect()
        caller.send(
            memory_caller.encode(
                "POST", PATH, headers=(id_header(),), body=b"run=1"
            )
        )
        await asyncio.sleep(0.1)
        caller.send(b"rubbish\r\n\r\n")
        context.response = await caller.receive()
        context.is_closed = caller.is_closed

    run_scenario(context, scenario)


@behave.when("a caller sends a request and one with an invalid address at once")
def step(context):
    async def scenario(_, front_ends):
        caller = front_ends[0].connect()
        first = memory_caller.encode(
            "POST", PATH, headers=(id_header(),), body=b"run=1"
        )
        caller.send(first + b"GET http:///x HTTP/1.1\r\nhost: x\r\n\r\n")
        context.response = await caller.receive()
        context.is_closed = caller.is_closed

    run_scenario(context, scenario)


def allow_another_connection(limiter):
    """Sets the limit to one connection besides the streams of hosts."""
    limiter.limits = limiter.limits._replace(
        connections=limiter.connections + 1
    )


@behave.when(
    "a caller is refused before its body, sends it, and waits for 10 s"
)
def step(context):
    async def scenario(_, front_ends):
        caller = front_ends[0].connect()
        head = memory_caller.encode(
            "POST", "/x", headers=("content-length: 5",)
        )
        caller.send(head)
        assert (await caller.receive()).status == 404
        caller.send(b"run=1")
        await asyncio.sleep(1.0)
        context.was_closed = caller.is_closed
        await asyncio.sleep(9.0)
        context.is_closed = caller.is_closed

    run_scenario(context, scenario)


@behave.when("a caller that leaves answers unread has to give way")
def step(context):
    async def scenario(_, front_ends):
        limiter = front_ends[0].ports.limiter
        allow_another_connection(limiter)
        caller = front_ends[0].connect()
        caller.send(memory_caller.encode("GET", "/livez"))
        await caller.receive()
        caller.leave_unread(100)
        context.was_closed = caller.is_closed
        front_ends[0].connect()
        context.is_closed = caller.is_closed

    run_scenario(context, scenario)


@behave.then("its connection is closed")
def step(context):
    found = context.was_closed, context.is_closed
    assert found == (False, True), found


@behave.when(
    "a caller repeats a running request through another host without a key"
)
def step(context):
    async def scenario(_, front_ends):
        header = id_header()
        first = asyncio.ensure_future(
            memory_caller.call(
                front_ends[0], "POST", PATH, headers=(header,), body=b"run=1"
            )
        )
        await asyncio.sleep(0.1)
        context.response = await memory_caller.call(
            front_ends[1],
            "POST",
            PATH,
            team="",
            headers=(header,),
            body=b"run=1",
        )
        await first

    run_scenario(context, scenario)


@behave.when(
    "a caller repeats a running request through a full host up to its {part}"
)
def step(context, part):
    async def scenario(_, front_ends):
        limiter = front_ends[1].ports.limiter
        allow_another_connection(limiter)
        headers = (id_header(),)
        encoded = memory_caller.encode(
            "POST", PATH, headers=headers, body=b"run=1"
        )
        first = front_ends[0].connect()
        first.send(encoded)
        await asyncio.sleep(0.1)
        if part == "connection":
            # Another request runs, so the new connection has to give way.
            other = front_ends[1].connect()
            other.send(
                memory_caller.encode(
                    "POST", PATH, headers=(id_header(),), body=b"run=2"
                )
            )
            refused = front_ends[1].connect()
        elif part == "first bytes":
            # Running requests hold all the memory.
            refused = front_ends[1].connect()
            other = request_limiter.Reservation(
                limiter, "other", lambda refusal: None
            )
            limiter.limits = limiter.limits._replace(memory_bytes=0)
            other.complete()
            other.resize(bodies.MAX_BODY_BYTES + request_limiter.REQUEST_BYTES)
            refused.send(encoded[:20])
        else:
            refused = front_ends[1].connect()
            refused.send(encoded[: 20 if part == "head" else -1])
            other = front_ends[1].connect()
        context.response = await refused.receive()
        await first.receive()
        if part == "first bytes":
            other.release()

    run_scenario(context, scenario)


@behave.when("a caller submits a request for an asynchronous answer")
def step(context):
    async def scenario(_, front_ends):
        context.submitted = await memory_caller.call(
            front_ends[0],
            "POST",
            PATH,
            headers=(id_header(), "prefer: respond-async"),
            body=b"run=1",
        )
        path = context.submitted.headers["location"]

        async def ask_all(method, team):
            return [
                await memory_caller.call(front_end, method, path, team=team)
                for front_end in front_ends
            ]

        context.while_running = await ask_all("GET", "nursery-north")
        context.other_team = await ask_all("GET", "nursery-south")
        context.other_team += await ask_all("DELETE", "nursery-south")
        if getattr(context, "cancels", False):
            await memory_caller.call(front_ends[1], "DELETE", path)
            await asyncio.sleep(0.3)
        else:
            await asyncio.sleep(1.5)
            context.other_team += await ask_all("GET", "nursery-south")
        context.ended = await ask_all("GET", "nursery-north")

    context.submit_scenario = scenario
    run_scenario(context, scenario)


@behave.when("the caller cancels it through another host")
def step(context):
    # Repeats the run, with a cancellation in place of the wait for its end.
    context.cancels = True
    run_scenario(context, context.submit_scenario)


@behave.then('the caller gets a {status:d} problem "{reason}" and a log line')
def step(context, status, reason):
    response = context.response
    assert response.status == status, response
    assert response.headers["content-type"] == "application/problem+json"
    problem = msgspec.json.decode(response.body)
    assert problem["reason"] == reason, problem
    assert problem["status"] == status, problem
    assert problem["detail"], problem
    assert problem["verdict"] == response.headers["chervillead-verdict"]
    log_has(context, reason)


@behave.then('the log has the refusal "{reason}"')
def log_has(context, reason):
    reasons = [entry.get("reason") for entry in context.log]
    assert reason in reasons, reasons


@behave.then("the other caller's request is answered")
def step(context):
    assert context.other_response.status == 200, context.other_response
    assert context.other_response.body == b"done:run=1", context.other_response


@behave.then("no memory for bodies is reserved and no misused request has run")
def step(context):
    assert context.reserved_bytes == [0, 0], context.reserved_bytes
    expected = 1 if hasattr(context, "other_response") else 0
    assert len(context.executed_ids) == expected, context.executed_ids


@behave.then("the caller gets the complete answer and its connection is closed")
def step(context):
    assert context.response.status == 200, context.response
    assert context.response.body == b"done:run=1", context.response
    assert context.is_closed


@behave.then(
    'the caller is refused with {status:d} and the verdict "{verdict}"'
)
def step(context, status, verdict):
    assert context.response.status == status, context.response
    found = context.response.headers["chervillead-verdict"]
    assert found == verdict, context.response


@behave.then("it gets status 202 and the location of the answer")
def step(context):
    assert context.submitted.status == 202, context.submitted


@behave.then("both hosts give its team status 202 while the request runs")
def step(context):
    statuses = [response.status for response in context.while_running]
    assert statuses == [202, 202], context.while_running


@behave.then("neither host lets another team fetch or cancel the request")
def step(context):
    statuses = [response.status for response in context.other_team]
    assert statuses == [404] * 6, context.other_team


@behave.then("after the run both hosts give its team the answer")
def step(context):
    bodies = [response.body for response in context.ended]
    assert bodies == [b"done:run=1"] * 2, context.ended


@behave.then("both hosts report that it was cancelled and had run")
def step(context):
    found = [
        response.headers["chervillead-verdict"] for response in context.ended
    ]
    assert found == ["ran", "ran"], context.ended
    assert [response.status for response in context.ended] == [410, 410]


@behave.when(
    "a caller sends a request and a readiness check to a stopping host"
)
def step(context):
    async def scenario(_, front_ends):
        front_ends[0].stopping = True
        context.stopping = [
            await memory_caller.call(
                front_ends[0],
                "POST",
                PATH,
                headers=(id_header(),),
                body=b"run=1",
            ),
            await memory_caller.call(front_ends[0], "GET", "/readyz"),
        ]

    run_scenario(context, scenario)


@behave.then('it gets an answer and "not ready", and both ask it to disconnect')
def step(context):
    found = [(r.status, r.headers.get("connection")) for r in context.stopping]
    assert found == [(200, "close"), (503, "close")], context.stopping
