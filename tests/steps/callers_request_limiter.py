"""Steps of tests/callers/request_limiter.feature."""

import random

import behave

from chervillead import verdicts
from chervillead.callers import largest_first
from chervillead.callers import refusal_log
from chervillead.callers import request_limiter

KB = 1024
BODY_LIMIT = 40 * KB


class Limited:
    """A limiter and what it decided."""

    def __init__(self, memory_bytes, connections):
        self.refused = []
        self.closed = []
        self.limiter = request_limiter.RequestLimiter(
            request_limiter.Limits(memory_bytes, connections),
            lambda: BODY_LIMIT,
            lambda refusal, client: self.refused.append(
                (client, refusal.reason)
            ),
        )

    def refusals(self, client, reason=request_limiter.NO_MEMORY):
        """Returns how many requests of a client were refused."""
        return self.refused.count((client, reason))


def add_request(limited, client, held_bytes, *, complete=False):
    """Adds a request, which refuses itself when it has to give way."""
    connection = limited.limiter.connect(client, lambda refusal: None)
    reservation = connection.reserve(lambda refusal: None)
    if reservation.resize(held_bytes) and complete:
        reservation.complete()
    return reservation


@behave.given("a limiter for {memory:d} KB and {connections:d} connections")
def step(context, memory, connections):
    context.limited = Limited(memory * KB, connections)


@behave.when(
    'client "{client}" holds {size:d} KB in each of {count:d} {state} requests'
)
@behave.when(
    'client "{client}" holds {size:d} KB in each of {count:d} {state} request'
)
def step(context, client, size, count, state):
    for _ in range(count):
        add_request(
            context.limited, client, size * KB, complete=state == "complete"
        )


@behave.when('client "{client}" adds an incomplete request of {size:d} KB')
def step(context, client, size):
    add_request(context.limited, client, size * KB)


@behave.then(
    '{first:d} request of client "{a}" and {second:d} of client "{b}" were '
    "refused for room"
)
@behave.then(
    '{first:d} requests of client "{a}" and {second:d} of client "{b}" were '
    "refused for room"
)
def step(context, first, a, second, b):
    found = context.limited.refusals(a), context.limited.refusals(b)
    assert found == (first, second), context.limited.refused


@behave.then("{size:d} KB are held")
def step(context, size):
    assert context.limited.limiter.held_bytes == size * KB


def open_connections(limited, client, count):
    """Opens connections; returns them, None where one was refused."""

    def connect(number):
        return limited.limiter.connect(
            client, lambda refusal: limited.closed.append((client, number))
        )

    return [connect(number + 1) for number in range(count)]


@behave.when(
    'client "{client}" opens {count:d} connections, of which the first runs a '
    "request"
)
def step(context, client, count):
    opened = open_connections(context.limited, client, count)
    opened[0].set_waiting(waiting=False)


@behave.when(
    'client "{client}" opens {count:d} connections that all run requests'
)
def step(context, client, count):
    for connection in open_connections(context.limited, client, count):
        connection.set_waiting(waiting=False)


@behave.when('client "{client}" opens {count:d} connections')
@behave.when('client "{client}" opens {count:d} connection')
def step(context, client, count):
    context.opened = open_connections(context.limited, client, count)


@behave.then('connections 2, 3 and 4 of client "{client}" were closed')
def step(context, client):
    expected = [(client, number) for number in (2, 3, 4)]
    assert context.limited.closed == expected, context.limited.closed


@behave.then("{count:d} connections are open")
def step(context, count):
    assert context.limited.limiter.connections == count


@behave.then('the connection of client "{client}" was refused')
def step(context, client):
    assert context.opened == [None], context.opened
    reason = request_limiter.NO_CONNECTIONS
    assert context.limited.refusals(client, reason) == 1


@behave.when(
    "{clients:d} clients open, send, are answered, are refused and vanish in "
    "random order"
)
def step(context, clients):
    draw = random.Random(context.seed)
    limiter = context.limited.limiter
    live = []
    context.most = (0, 0)

    def act():
        if draw.random() < 0.3:
            client = f"client-{draw.randrange(clients)}"
            connection = limiter.connect(client, lambda refusal: None)
            if connection is not None:
                live.append(
                    (connection, connection.reserve(lambda refusal: None))
                )
            return
        if not live:
            return
        connection, reservation = draw.choice(live)
        action = draw.randrange(6)
        if action < 3:
            reservation.resize(draw.randrange(BODY_LIMIT))
        elif action == 3:
            reservation.complete()
            connection.set_waiting(waiting=False)
        elif action == 4:
            reservation.refuse(verdicts.not_run("body-timeout", 408))
        else:
            for _ in range(draw.randrange(1, 3)):
                reservation.release()
                connection.close()
            live.remove((connection, reservation))

    for _ in range(20_000):
        act()
        context.most = (
            max(context.most[0], limiter.held_bytes),
            max(context.most[1], limiter.connections),
        )
    for connection, reservation in live:
        reservation.release()
        connection.close()


@behave.then(
    "at no time more than {size:d} KB or {count:d} connections were counted"
)
def step(context, size, count):
    # Complete requests never exceed the limit either: nothing that doesn't
    # fit becomes complete.
    assert context.most[0] <= size * KB, context.most
    assert context.most[1] <= count, context.most
    assert context.most[0] > size * KB / 2, context.most


class CountedHeap:
    """Counts the entries that the functions of heapq visit."""

    def __init__(self, heapq):
        self._heapq = heapq
        self.visited = 0

    def heappush(self, heap, entry):
        """Adds an entry."""
        self.visited += len(heap).bit_length() + 1
        self._heapq.heappush(heap, entry)

    def heappop(self, heap):
        """Removes the smallest entry."""
        self.visited += len(heap).bit_length() + 1
        return self._heapq.heappop(heap)

    def heapify(self, heap):
        """Orders all entries."""
        self.visited += len(heap)
        self._heapq.heapify(heap)


@behave.when(
    "{clients:d} clients hold requests and {events:d} more events follow"
)
def step(context, clients, events):
    draw = random.Random(context.seed)
    reservations = [
        add_request(context.limited, f"client-{number}", 200)
        for number in range(clients)
    ]
    counted = CountedHeap(largest_first.heapq)
    context.add_cleanup(setattr, largest_first, "heapq", largest_first.heapq)
    largest_first.heapq = counted
    for _ in range(events):
        draw.choice(reservations).resize(draw.randrange(400))
    context.visited = counted.visited / events


@behave.then("at most {count:d} entries were visited for each event")
def step(context, count):
    assert context.visited <= count, context.visited


@behave.when("{count:d} requests are refused within {seconds:d} s")
def step(context, count, seconds):
    now_s = [0.0]
    context.counted = []
    context.lines = []
    reporting = refusal_log.RefusalLog(
        lambda *text, **fields: context.lines.append(fields),
        lambda *labels: context.counted.append(labels),
        lambda: now_s[0],
    )
    refusal = verdicts.not_run("body-too-large", 413)
    for number in range(count):
        now_s[0] = seconds * number / count
        reporting.report(refusal, "client")


@behave.then("{count:d} refusals were counted in at most {lines:d} log lines")
def step(context, count, lines):
    assert len(context.counted) == count, len(context.counted)
    assert 1 <= len(context.lines) <= lines, context.lines
